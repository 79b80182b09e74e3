package declaration

import (
	"fmt"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Validate checks a provisioned declaration and reports all faults at once.
// The error is a Faults without positions; Document.Validate adds them.
func (d *Declaration) Validate() error { return d.faults().orNil() }

// validator collects the faults of one declaration.
type validator struct {
	decl   *Declaration
	faults Faults
}

// faults returns every fault of the content.
func (d *Declaration) faults() Faults {
	v := &validator{decl: d}
	v.header()
	v.dataCentres()
	v.services()
	v.teams()
	v.batchClasses()
	return v.faults
}

// fault records a fault at path.
func (v *validator) fault(path, remedy, format string, args ...any) {
	v.faults = append(v.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (v *validator) header() {
	if v.decl.Version != SchemaVersion {
		v.fault("version", fmt.Sprintf("write version: %d", SchemaVersion), "version %d is not supported", v.decl.Version)
	}
	if v.decl.Deployment == "" {
		v.fault("deployment", "name the deployment", "deployment is missing")
	}
	if len(v.decl.DataCentres) == 0 {
		v.fault("data_centres", "list at least one data centre", "there is no data centre")
	}
}

func (v *validator) dataCentres() {
	seen := map[model.DataCentre]bool{}
	for i, dc := range v.decl.DataCentres {
		checkName(v, fmt.Sprintf("data_centres[%d].name", i), "data centre", dc.Name, seen)
	}
}

func (v *validator) services() {
	seen := map[model.ServiceName]bool{}
	for i, s := range v.decl.Services {
		path := fmt.Sprintf("services[%d]", i)
		checkName(v, path+".name", "service", s.Name, seen)
		if s.Runners <= 0 {
			v.fault(path+".runners", "give the number of runners, at least 1", "service %q has %d runners", s.Name, s.Runners)
		}
	}
}

func (v *validator) teams() {
	seen := map[model.TeamName]bool{}
	for i, t := range v.decl.Teams {
		checkName(v, fmt.Sprintf("teams[%d].name", i), "team", t.Name, seen)
	}
}

func (v *validator) batchClasses() {
	seen := map[model.ClassName]bool{}
	for i, c := range v.decl.BatchClasses {
		path := fmt.Sprintf("batch_classes[%d]", i)
		checkName(v, path+".name", "batch class", c.Name, seen)
		if _, err := ParseUrgency(c.Urgency); err != nil {
			v.fault(path+".urgency", "write bulk, normal, high or urgent", "unknown urgency %q", c.Urgency)
		}
	}
}

// checkName records a missing or repeated name.
func checkName[N ~string](v *validator, path, what string, name N, seen map[N]bool) {
	if name == "" {
		v.fault(path, "give it a name", "a %s has no name", what)
		return
	}
	if seen[name] {
		v.fault(path, "rename or remove one of them", "%s %q is listed twice", what, name)
	}
	seen[name] = true
}

// ParseUrgency returns the urgency that a batch class states.
func ParseUrgency(s string) (model.Urgency, error) {
	switch s {
	case "bulk":
		return model.UrgencyBulk, nil
	case "normal":
		return model.UrgencyNormal, nil
	case "high":
		return model.UrgencyHigh, nil
	case "urgent":
		return model.UrgencyUrgent, nil
	}
	return 0, model.Errorf(model.KindInvalid, "write bulk, normal, high or urgent", "unknown urgency %q", s)
}
