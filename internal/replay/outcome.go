package replay

import (
	"fmt"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// Outcome is the result of a replay: the four main metrics, counts and missed requirements.
type Outcome struct {
	Trace  string `json:"trace"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`

	// TailRatio is the largest ratio, over all services, of the tail latency with batch work
	// to the tail latency without it.
	TailRatio float64       `json:"tail_ratio"`
	Services  []ServiceTail `json:"services"`
	// CoreSeconds is the batch work done up to the horizon, without lost work.
	CoreSeconds float64 `json:"core_seconds"`
	// Evictions counts evictions by reason.
	Evictions map[string]int `json:"evictions"`
	// OfflineShare is the ratio of CoreSeconds to the work of the offline packing. OutShare is
	// the smallest ratio, over the periods with a data centre out of service, of the work done
	// to the work that the remaining capacity would do. Both are 0 without Options.Reference.
	OfflineShare float64 `json:"offline_share,omitempty"`
	OutShare     float64 `json:"out_share,omitempty"`
	// BestFitEvictions is the number of chosen evictions under the best-fit policy.
	BestFitEvictions int `json:"best_fit_evictions,omitempty"`

	Tasks      int `json:"tasks"`
	Starts     int `json:"starts"`
	Done       int `json:"done"`
	Failed     int `json:"failed"`
	Cancelled  int `json:"cancelled"`
	Unrunnable int `json:"unrunnable"`
	Unfinished int `json:"unfinished"`
	// UnrunnableReasons holds the first three distinct reasons.
	UnrunnableReasons []string `json:"unrunnable_reasons,omitempty"`
	// UrgentWorstMs is the longest wait of urgent work that was required to start at once.
	UrgentStarts  int   `json:"urgent_starts"`
	UrgentWorstMs int64 `json:"urgent_worst_ms"`
	// LostCoreSeconds is the work that was lost since the last checkpoint and had to be
	// repeated.
	LostCoreSeconds float64 `json:"lost_core_seconds"`
	Throttles       int     `json:"throttles"`
	Plans           int     `json:"plans"`
	// Conflicts counts records that the state rejected because it had changed since planning.
	Conflicts int `json:"conflicts"`
	// Operated and Refused count operator commands.
	Operated int `json:"operated"`
	Refused  int `json:"refused"`

	ViolationCount int         `json:"violation_count"`
	Violations     []Violation `json:"violations,omitempty"`

	outWindows []outWindow
}

// ServiceTail is the tail latency of a service.
type ServiceTail struct {
	Service model.ServiceName `json:"service"`
	P99Ms   float64           `json:"p99_ms"`
	// AloneMs is the tail latency without batch work.
	AloneMs float64 `json:"alone_ms"`
	Ratio   float64 `json:"ratio"`
}

// ChosenEvictions returns the number of evictions chosen by the scheduler, without evictions
// forced by a data centre or worker that is taken out of service.
func (o Outcome) ChosenEvictions() int {
	n := 0
	for reason, count := range o.Evictions {
		if reason != "data-centre-out" && reason != "worker-leaving" {
			n += count
		}
	}
	return n
}

// Expectations are the expected outcomes of a trace. A zero value sets no expectation. The
// requirements always apply.
type Expectations struct {
	// MaxTailRatio is the upper limit of TailRatio.
	MaxTailRatio float64 `json:"max_tail_ratio,omitempty"`
	// MinOfflineShare and MinOutShare are the lower limits of OfflineShare and OutShare.
	MinOfflineShare float64 `json:"min_offline_share,omitempty"`
	MinOutShare     float64 `json:"min_out_share,omitempty"`
	// MaxEvictionShare limits the chosen evictions, as a share of those under best fit.
	MaxEvictionShare float64 `json:"max_eviction_share,omitempty"`
	// MaxUrgentMs is the upper limit of UrgentWorstMs.
	MaxUrgentMs int64 `json:"max_urgent_ms,omitempty"`
	// Unrunnable, Failed and Refused are exact counts when they are set.
	Unrunnable *int `json:"unrunnable,omitempty"`
	Failed     *int `json:"failed,omitempty"`
	Refused    *int `json:"refused,omitempty"`
}

// Check returns the violations of the requirements and of the expected outcomes.
func (o Outcome) Check(expected Expectations) []Violation {
	out := append([]Violation(nil), o.Violations...)
	addMiss := func(name, format string, args ...any) {
		out = append(out, Violation{Requirement: name, Detail: fmt.Sprintf(format, args...)})
	}
	if expected.MaxTailRatio > 0 && o.TailRatio > expected.MaxTailRatio {
		addMiss("max_tail_ratio", "%.3f is above %.3f", o.TailRatio, expected.MaxTailRatio)
	}
	if expected.MinOfflineShare > 0 && o.OfflineShare < expected.MinOfflineShare {
		addMiss("min_offline_share", "%.3f is below %.3f", o.OfflineShare, expected.MinOfflineShare)
	}
	if expected.MinOutShare > 0 && o.OutShare < expected.MinOutShare {
		addMiss("min_out_share", "%.3f is below %.3f", o.OutShare, expected.MinOutShare)
	}
	if limit := expected.MaxEvictionShare * float64(o.BestFitEvictions); expected.MaxEvictionShare > 0 && float64(o.ChosenEvictions()) > limit {
		addMiss("max_eviction_share", "%d evictions are above %.1f, from %d under best fit", o.ChosenEvictions(), limit, o.BestFitEvictions)
	}
	if expected.MaxUrgentMs > 0 && o.UrgentWorstMs > expected.MaxUrgentMs {
		addMiss("max_urgent_ms", "%d ms is above %d ms", o.UrgentWorstMs, expected.MaxUrgentMs)
	}
	checkCount(addMiss, "unrunnable", expected.Unrunnable, o.Unrunnable)
	checkCount(addMiss, "failed", expected.Failed, o.Failed)
	checkCount(addMiss, "refused", expected.Refused, o.Refused)
	return out
}

func checkCount(addMiss func(string, string, ...any), name string, expected *int, got int) {
	if expected != nil && *expected != got {
		addMiss(name, "%d, stated %d", got, *expected)
	}
}

// Compare replays a trace under several configurations and returns the outcomes in their
// order.
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

// addReferences runs the reference replays and sets the relative metrics of out.
func (s *sim) addReferences(t *Trace, o Options, out *Outcome) error {
	if best := packOffline(t); best > 0 {
		out.OfflineShare = round(out.CoreSeconds / best)
	}
	o.Config.Policy = scheduler.PolicyBestFit
	bestFit, _, err := runOnce(t, o, true)
	if err != nil {
		return err
	}
	out.BestFitEvictions = bestFit.ChosenEvictions()
	if len(out.outWindows) == 0 {
		return nil
	}
	return s.addOutShare(t, o, out)
}

// addOutShare compares the work done while a data centre was out of service with the work of
// the same trace without data centre changes, scaled to the remaining capacity.
func (s *sim) addOutShare(t *Trace, o Options, out *Outcome) error {
	unchanged := &Trace{Header: t.Header}
	for _, e := range t.Events {
		if e.Operate != nil && (e.Operate.Out != "" || e.Operate.In != "") {
			continue
		}
		unchanged.Events = append(unchanged.Events, e)
	}
	o.Config.Policy = s.config.Policy
	_, other, err := runOnce(unchanged, o, false)
	if err != nil {
		return err
	}
	for i, w := range out.outWindows {
		full := other.workDuring(w) * remainingCapacity(t.Header.DataCentres, w.dc)
		if full <= 0 {
			continue
		}
		share := round(s.workDuring(w) / full)
		if i == 0 || share < out.OutShare {
			out.OutShare = share
		}
	}
	return nil
}

// remainingCapacity returns the share of all cores that are not in the data centre out.
func remainingCapacity(dcs []DataCentre, out model.DataCentre) float64 {
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
