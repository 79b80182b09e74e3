package replay

import (
	"fmt"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// validator decodes and checks a trace line by line.
type validator struct {
	trace     *Trace
	hasHeader bool
	lastTime  Seconds
	names     map[string]bool
}

func (v *validator) line(text []byte) error {
	if !v.hasHeader {
		v.hasHeader = true
		return v.header(text)
	}
	var e Event
	if err := decodeStrict(text, &e); err != nil {
		return err
	}
	if err := v.event(&e); err != nil {
		return err
	}
	v.trace.Events = append(v.trace.Events, e)
	return nil
}

func (v *validator) header(text []byte) error {
	h := &v.trace.Header
	if err := decodeStrict(text, h); err != nil {
		return err
	}
	if h.Format != Format {
		return fmt.Errorf("format is %d, this build reads %d", h.Format, Format)
	}
	if h.Horizon <= 0 || len(h.DataCentres) == 0 || len(h.Classes) == 0 {
		return fmt.Errorf("header needs horizon_s, data_centres and classes")
	}
	v.names = map[string]bool{}
	for _, dc := range h.DataCentres {
		if dc.Name == "" || dc.Racks <= 0 || dc.WorkersPerRack <= 0 || dc.Cores <= 0 || dc.MemoryGB <= 0 {
			return fmt.Errorf("data centre %q needs racks, workers_per_rack, cores and memory_gb", dc.Name)
		}
		v.names["dc:"+string(dc.Name)] = true
	}
	for _, c := range h.Classes {
		if _, err := parseUrgency(c.Urgency); err != nil {
			return err
		}
		v.names["class:"+string(c.Name)] = true
	}
	for _, t := range h.Teams {
		v.names["team:"+string(t.Name)] = true
	}
	return nil
}

func (v *validator) event(e *Event) error {
	if e.At < v.lastTime {
		return fmt.Errorf("time %g is before the event above it at %g", e.At, v.lastTime)
	}
	v.lastTime = e.At
	if n := e.kindCount(); n != 1 {
		return fmt.Errorf("an event has exactly one kind, this one has %d", n)
	}
	switch {
	case e.Submit != nil:
		return v.submit(e.Submit)
	case e.Cancel != nil:
		return v.cancel(e.Cancel)
	case e.Load != nil:
		return v.checkKnown("dc", string(e.Load.DataCentre))
	case e.Noise != nil:
		return v.checkKnown("class", string(e.Noise.Class))
	case e.OwnerRestart != nil:
		return v.checkKnown("dc", string(e.OwnerRestart.DataCentre))
	case e.Operate != nil:
		return v.operate(e.Operate)
	}
	return nil
}

func (e *Event) kindCount() int {
	n := 0
	for _, set := range []bool{
		e.Submit != nil, e.Cancel != nil, e.Load != nil, e.HostDown != nil, e.BadWorker != nil,
		e.Noise != nil, e.Store != nil, e.Operate != nil, e.OwnerRestart != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (v *validator) submit(s *Submit) error {
	if s.Job == "" || s.Tasks <= 0 || s.Cores <= 0 {
		return fmt.Errorf("submission of job %q needs job, tasks and cores", s.Job)
	}
	if len(s.RunTimes) != 1 && len(s.RunTimes) != s.Tasks {
		return fmt.Errorf("job %q has %d run times for %d tasks", s.Job, len(s.RunTimes), s.Tasks)
	}
	key := "job:" + string(s.Job)
	if v.names[key] {
		return fmt.Errorf("job %q is submitted twice", s.Job)
	}
	v.names[key] = true
	if s.Team != "" {
		if err := v.checkKnown("team", string(s.Team)); err != nil {
			return err
		}
	}
	return v.checkKnown("class", string(s.Class))
}

func (v *validator) cancel(c *Cancel) error {
	for _, id := range c.Jobs {
		if err := v.checkKnown("job", string(id)); err != nil {
			return err
		}
	}
	return nil
}

func (v *validator) operate(o *Operate) error {
	for _, dc := range []model.DataCentre{o.Out, o.In} {
		if dc == "" {
			continue
		}
		if err := v.checkKnown("dc", string(dc)); err != nil {
			return err
		}
	}
	return nil
}

func (v *validator) checkKnown(kind, name string) error {
	if v.names[kind+":"+name] {
		return nil
	}
	return fmt.Errorf("%s %q is not known at this line", kind, name)
}

// parseUrgency returns the urgency of a class. The default is normal.
func parseUrgency(name string) (model.Urgency, error) {
	if name == "" {
		return model.UrgencyNormal, nil
	}
	return declaration.ParseUrgency(name)
}
