// Package replay runs recorded traces through the real scheduler code in virtual time and
// compares the result with the expected outcomes of the trace. Workers, the store and the
// control journal are simulated. Nothing depends on a real clock, so the same trace and seed
// always give the same outcome.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Format is the version of the trace format that this build reads.
const Format = 1

// maxLine is the largest length of a line of a trace, in bytes.
const maxLine = 4 << 20

// Trace is a recorded trace. The file contains a header line and one line for each event, in
// JSON.
type Trace struct {
	Header Header
	Events []Event
}

// Write writes a trace in the format that Load reads.
func (t *Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(t.Header); err != nil {
		return err
	}
	for _, e := range t.Events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// Header is the first line of a trace.
type Header struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	// Seed is the seed of the generator and the default seed of a replay.
	Seed uint64 `json:"seed"`
	// Horizon is the length of the trace. Throughput is measured up to it.
	Horizon Seconds `json:"horizon_s"`
	// Settle is the time after the horizon in which running work may end.
	Settle      Seconds      `json:"settle_s"`
	DataCentres []DataCentre `json:"data_centres"`
	Services    []Service    `json:"services"`
	Classes     []Class      `json:"classes"`
	Teams       []Team       `json:"teams"`
	// Expect holds the expected outcomes.
	Expect Expectations `json:"expect"`
}

// DataCentre is a data centre with identical workers and one cell.
type DataCentre struct {
	Name           model.DataCentre `json:"name"`
	Region         string           `json:"region"`
	Racks          int              `json:"racks"`
	WorkersPerRack int              `json:"workers_per_rack"`
	Cores          float64          `json:"cores"`
	MemoryGB       float64          `json:"memory_gb"`
}

// Service is a latency-critical service with one runner on each worker. P50 and P99 are its
// latencies without batch work at load 1.
type Service struct {
	Name   model.ServiceName `json:"name"`
	P50    float64           `json:"p50_ms"`
	P99    float64           `json:"p99_ms"`
	Target float64           `json:"target_ms"`
}

// Class is a batch class. Slope is its true effect on the services: the slowdown at load 1
// when the class uses a whole worker.
type Class struct {
	Name    model.ClassName `json:"name"`
	Slope   float64         `json:"slope"`
	Urgency string          `json:"urgency"`
	Retries int             `json:"retries"`
	// CheckpointInterval is the interval between the periodic checkpoints of a task.
	CheckpointInterval Seconds `json:"checkpoint_s"`
	// EvictTime is the time that a checkpoint and stop take.
	EvictTime Seconds `json:"evict_s"`
}

// Team is a team with its quota over all data centres.
type Team struct {
	Name     model.TeamName `json:"name"`
	Cores    float64        `json:"cores"`
	MemoryGB float64        `json:"memory_gb"`
}

// Seconds is a duration that is encoded as a number of seconds.
type Seconds float64

// D returns s as a time.Duration, rounded to milliseconds.
func (s Seconds) D() time.Duration {
	return time.Duration(float64(s)*1000+0.5) * time.Millisecond
}

// Event is one line after the header. Exactly one of the pointers is set.
type Event struct {
	// At is the time since the start of the trace.
	At           Seconds      `json:"at"`
	Submit       *Submit      `json:"submit,omitempty"`
	Cancel       *Cancel      `json:"cancel,omitempty"`
	Load         *LoadChange  `json:"load,omitempty"`
	HostDown     *HostFault   `json:"host_down,omitempty"`
	BadWorker    *HostFault   `json:"bad_worker,omitempty"`
	Noise        *Noise       `json:"noise,omitempty"`
	Store        *StoreOutage `json:"store_out,omitempty"`
	Operate      *Operate     `json:"operate,omitempty"`
	OwnerRestart *Restart     `json:"owner_restart,omitempty"`
}

// Submit submits a job of identical tasks.
type Submit struct {
	Job   model.JobID     `json:"job"`
	Team  model.TeamName  `json:"team"`
	Class model.ClassName `json:"class"`
	Tasks int             `json:"tasks"`
	Gang  bool            `json:"gang,omitempty"`
	// Cores and MemoryGB are the declared resources. Workers enforce them as limits.
	Cores    float64 `json:"cores"`
	MemoryGB float64 `json:"memory_gb"`
	// NeededCores is the true CPU demand of a task. 0 means the declared cores. A task that
	// needs more cores than it declared runs proportionally slower.
	NeededCores float64 `json:"needs_cores,omitempty"`
	DeclaredRun Seconds `json:"declared_s"`
	// RunTimes holds the true run time of each task, or one value for all tasks.
	RunTimes []Seconds `json:"run_s"`
	// Faults is the number of attempts of each task that fail because of the task itself.
	Faults int `json:"faults,omitempty"`
}

// Cancel cancels jobs at the same time.
type Cancel struct {
	Jobs []model.JobID `json:"jobs"`
}

// LoadChange sets the load factor of the services in a data centre. 1 is the nominal load.
type LoadChange struct {
	DataCentre model.DataCentre `json:"data_centre"`
	Factor     float64          `json:"factor"`
}

// HostFault affects all workers whose ID starts with Workers: one worker or a rack.
type HostFault struct {
	Workers  string  `json:"workers"`
	Duration Seconds `json:"for_s"`
}

// Noise multiplies the slowdown of services by a class for a time.
type Noise struct {
	Class    model.ClassName `json:"class"`
	Factor   float64         `json:"factor"`
	Duration Seconds         `json:"for_s"`
}

// StoreOutage makes the store unavailable.
type StoreOutage struct {
	Duration Seconds `json:"for_s"`
}

// Operate is an operator command. It is refused when the control sequence is not
// ExpectedSequence; a negative value accepts any sequence.
type Operate struct {
	Actor            string           `json:"actor"`
	ExpectedSequence int64            `json:"saw"`
	Out              model.DataCentre `json:"out,omitempty"`
	In               model.DataCentre `json:"in,omitempty"`
	// Teams replaces the quotas of the teams.
	Teams []Team `json:"teams,omitempty"`
}

// Restart replaces the owner of the cell of a data centre. The new owner recovers from a
// snapshot after the ownership lease has expired.
type Restart struct {
	DataCentre model.DataCentre `json:"data_centre"`
}

// Load reads a trace. Errors contain the line number and the reason.
func Load(r io.Reader) (*Trace, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLine)
	t := &Trace{}
	v := &validator{trace: t}
	for line := 1; sc.Scan(); line++ {
		text := bytes.TrimSpace(sc.Bytes())
		if len(text) == 0 {
			continue
		}
		if err := v.line(text); err != nil {
			return nil, model.Wrap(model.KindInvalid, err, "correct this line of the trace", "trace line %d", line)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "check the file", "read trace")
	}
	if !v.hasHeader {
		return nil, model.Errorf(model.KindInvalid, "start the trace with a header line", "trace is empty")
	}
	return t, nil
}

func decodeStrict(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// declarationOf returns the declaration for a header and a list of teams.
func declarationOf(h *Header, teams []Team) *declaration.Declaration {
	d := &declaration.Declaration{Version: declaration.SchemaVersion, Deployment: h.Name}
	for _, dc := range h.DataCentres {
		d.DataCentres = append(d.DataCentres, declaration.DataCentre{
			Name: dc.Name, Region: dc.Region, Cells: 1, Racks: dc.Racks, WorkersPerRack: dc.WorkersPerRack,
			Worker: declaration.Capacity{Cores: dc.Cores, MemoryGB: dc.MemoryGB},
		})
	}
	for _, s := range h.Services {
		target := time.Duration(s.Target * float64(time.Millisecond))
		d.Services = append(d.Services, declaration.Service{Name: s.Name, TargetP99: declaration.Duration(target)})
	}
	for _, t := range teams {
		d.Teams = append(d.Teams, declaration.Team{Name: t.Name, Quota: declaration.Capacity{Cores: t.Cores, MemoryGB: t.MemoryGB}})
	}
	return d
}
