package replay

import (
	"fmt"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// Outcome is the result of a replay: the four measures, counts, and the
// requirements that were missed.
type Outcome struct {
	Trace  string `json:"trace"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`

	// TailRatio is the largest ratio, over services, of the tail latency with
	// batch work to that without.
	TailRatio float64       `json:"tail_ratio"`
	Services  []ServiceTail `json:"services"`
	// CoreSeconds is the batch work done and not lost up to the horizon.
	CoreSeconds float64 `json:"core_seconds"`
	// Evictions counts evictions by reason.
	Evictions map[string]int `json:"evictions"`
	// OfflineShare is CoreSeconds against the offline packing; OutShare the
	// smallest share, over the times that a data centre was out, of the work
	// that the remaining capacity would do. They are 0 without Reference.
	OfflineShare float64 `json:"offline_share,omitempty"`
	OutShare     float64 `json:"out_share,omitempty"`
	// BestFitEvictions is the count of chosen evictions under best fit.
	BestFitEvictions int `json:"best_fit_evictions,omitempty"`

	Tasks      int `json:"tasks"`
	Starts     int `json:"starts"`
	Done       int `json:"done"`
	Failed     int `json:"failed"`
	Cancelled  int `json:"cancelled"`
	Unrunnable int `json:"unrunnable"`
	Unfinished int `json:"unfinished"`
	// UnrunnableReasons holds the first few distinct reasons.
	UnrunnableReasons []string `json:"unrunnable_reasons,omitempty"`
	// UrgentWorstMs is the longest wait of urgent work that was bound to start
	// at once.
	UrgentStarts  int   `json:"urgent_starts"`
	UrgentWorstMs int64 `json:"urgent_worst_ms"`
	// LostCoreSeconds is the work that was repeated from the last checkpoint.
	LostCoreSeconds float64 `json:"lost_core_seconds"`
	Throttles       int     `json:"throttles"`
	Plans           int     `json:"plans"`
	// Conflicts counts records that the state refused because it had moved on.
	Conflicts int `json:"conflicts"`
	// Operated and Refused count operators' commands.
	Operated int `json:"operated"`
	Refused  int `json:"refused"`

	ViolationCount int         `json:"violation_count"`
	Violations     []Violation `json:"violations,omitempty"`

	windows []window
}

// ServiceTail is the tail latency of a service.
type ServiceTail struct {
	Service model.ServiceName `json:"service"`
	P99Ms   float64           `json:"p99_ms"`
	// AloneMs is the tail latency without batch work.
	AloneMs float64 `json:"alone_ms"`
	Ratio   float64 `json:"ratio"`
}

// ChosenEvictions counts evictions that the scheduler chose, without those that
// a data centre or worker taken out of service forces.
func (o Outcome) ChosenEvictions() int {
	n := 0
	for reason, count := range o.Evictions {
		if reason != "data-centre-out" && reason != "worker-leaving" {
			n += count
		}
	}
	return n
}

// Expectations are the stated outcomes of a trace. A zero value states nothing,
// apart from the requirements, which always hold.
type Expectations struct {
	// MaxTailRatio bounds TailRatio.
	MaxTailRatio float64 `json:"max_tail_ratio,omitempty"`
	// MinOfflineShare and MinOutShare bound the shares from below.
	MinOfflineShare float64 `json:"min_offline_share,omitempty"`
	MinOutShare     float64 `json:"min_out_share,omitempty"`
	// MaxEvictionShare bounds chosen evictions as a share of those of best fit.
	MaxEvictionShare float64 `json:"max_eviction_share,omitempty"`
	// MaxUrgentMs bounds UrgentWorstMs.
	MaxUrgentMs int64 `json:"max_urgent_ms,omitempty"`
	// Unrunnable, Failed and Refused are exact counts when they are set.
	Unrunnable *int `json:"unrunnable,omitempty"`
	Failed     *int `json:"failed,omitempty"`
	Refused    *int `json:"refused,omitempty"`
}

// Check returns the violations of the requirements and of the stated outcomes.
func (o Outcome) Check(stated Expectations) []Violation {
	out := append([]Violation(nil), o.Violations...)
	miss := func(name, format string, args ...any) {
		out = append(out, Violation{Requirement: name, Detail: fmt.Sprintf(format, args...)})
	}
	if stated.MaxTailRatio > 0 && o.TailRatio > stated.MaxTailRatio {
		miss("max_tail_ratio", "%.3f is above %.3f", o.TailRatio, stated.MaxTailRatio)
	}
	if stated.MinOfflineShare > 0 && o.OfflineShare < stated.MinOfflineShare {
		miss("min_offline_share", "%.3f is below %.3f", o.OfflineShare, stated.MinOfflineShare)
	}
	if stated.MinOutShare > 0 && o.OutShare < stated.MinOutShare {
		miss("min_out_share", "%.3f is below %.3f", o.OutShare, stated.MinOutShare)
	}
	if most := stated.MaxEvictionShare * float64(o.BestFitEvictions); stated.MaxEvictionShare > 0 && float64(o.ChosenEvictions()) > most {
		miss("max_eviction_share", "%d evictions are above %.1f, from %d under best fit", o.ChosenEvictions(), most, o.BestFitEvictions)
	}
	if stated.MaxUrgentMs > 0 && o.UrgentWorstMs > stated.MaxUrgentMs {
		miss("max_urgent_ms", "%d ms is above %d ms", o.UrgentWorstMs, stated.MaxUrgentMs)
	}
	checkCount(miss, "unrunnable", stated.Unrunnable, o.Unrunnable)
	checkCount(miss, "failed", stated.Failed, o.Failed)
	checkCount(miss, "refused", stated.Refused, o.Refused)
	return out
}

func checkCount(miss func(string, string, ...any), name string, stated *int, got int) {
	if stated != nil && *stated != got {
		miss(name, "%d, stated %d", got, *stated)
	}
}

// Compare replays a trace under several configurations, in their order.
func Compare(t *Trace, seed uint64, configs ...scheduler.Config) ([]Outcome, error) {
	var out []Outcome
	for _, c := range configs {
		o, err := Run(t, Options{Config: c, Seed: seed})
		if err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	return out, nil
}

// addReferences runs the comparisons that relative outcomes need.
func (s *sim) addReferences(t *Trace, o Options, out *Outcome) error {
	if best := packOffline(t); best > 0 {
		out.OfflineShare = round(out.CoreSeconds / best)
	}
	o.Config.Policy = scheduler.PolicyBestFit
	fit, _, err := runOnce(t, o, true)
	if err != nil {
		return err
	}
	out.BestFitEvictions = fit.ChosenEvictions()
	if len(out.windows) == 0 {
		return nil
	}
	return s.addOutShare(t, o, out)
}

// addOutShare compares the work done while a data centre was out with that of
// the same trace without the change, in proportion to the remaining capacity.
func (s *sim) addOutShare(t *Trace, o Options, out *Outcome) error {
	calm := &Trace{Header: t.Header}
	for _, e := range t.Events {
		if e.Operate != nil && (e.Operate.Out != "" || e.Operate.In != "") {
			continue
		}
		calm.Events = append(calm.Events, e)
	}
	o.Config.Policy = s.config.Policy
	_, other, err := runOnce(calm, o, false)
	if err != nil {
		return err
	}
	for i, w := range out.windows {
		full := other.workIn(w) * remaining(t.Header.DataCentres, w.dc)
		if full <= 0 {
			continue
		}
		share := round(s.workIn(w) / full)
		if i == 0 || share < out.OutShare {
			out.OutShare = share
		}
	}
	return nil
}

// remaining returns the part of all processors outside a data centre.
func remaining(dcs []DataCentre, out model.DataCentre) float64 {
	all, left := 0.0, 0.0
	for _, dc := range dcs {
		cores := float64(dc.Racks*dc.WorkersPerRack) * dc.Cores
		all += cores
		if dc.Name != out {
			left += cores
		}
	}
	return left / all
}
