// Package replay runs recorded traces through the real placement code in
// virtual time and compares the result with the outcomes that the trace states.
// Workers, the store and the control journal are small fakes; nothing is timed
// by a clock, so the same trace and seed always give the same outcome.
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

// Format is the trace format that this build reads.
const Format = 1

// maxLine bounds the length of one line of a trace in bytes.
const maxLine = 4 << 20

// Trace is a recorded trace: a header line and one line for each event, all in
// JSON.
type Trace struct {
	Header Header
	Events []Event
}

// Write writes a trace in the form that Load reads.
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
	// Seed is the generator's seed, and the default seed of a replay.
	Seed uint64 `json:"seed"`
	// Horizon is the length of the trace; throughput is measured up to it.
	Horizon Seconds `json:"horizon_s"`
	// Settle is how long after the horizon running work may take to end.
	Settle      Seconds      `json:"settle_s"`
	DataCentres []DataCentre `json:"data_centres"`
	Services    []Service    `json:"services"`
	Classes     []Class      `json:"classes"`
	Teams       []Team       `json:"teams"`
	// Expect holds the stated outcomes.
	Expect Expectations `json:"expect"`
}

// DataCentre is a data centre with equal workers and one cell.
type DataCentre struct {
	Name           model.DataCentre `json:"name"`
	Region         string           `json:"region"`
	Racks          int              `json:"racks"`
	WorkersPerRack int              `json:"workers_per_rack"`
	Cores          float64          `json:"cores"`
	MemoryGB       float64          `json:"memory_gb"`
}

// Service runs one runner on each worker. P50 and P99 describe its latency
// without batch work at load 1.
type Service struct {
	Name   model.ServiceName `json:"name"`
	P50    float64           `json:"p50_ms"`
	P99    float64           `json:"p99_ms"`
	Target float64           `json:"target_ms"`
}

// Class is a batch class with its true effect on the services: the slowdown at
// load 1 when it uses a whole worker.
type Class struct {
	Name    model.ClassName `json:"name"`
	Slope   float64         `json:"slope"`
	Urgency string          `json:"urgency"`
	Retries int             `json:"retries"`
	// Checkpoint is the interval between checkpoints that a task takes itself.
	Checkpoint Seconds `json:"checkpoint_s"`
	// Evict is the time that a checkpoint and stop take.
	Evict Seconds `json:"evict_s"`
}

// Team is a team with its quota over all data centres.
type Team struct {
	Name     model.TeamName `json:"name"`
	Cores    float64        `json:"cores"`
	MemoryGB float64        `json:"memory_gb"`
}

// Seconds is a time span written as a number of seconds.
type Seconds float64

// D returns s as a time.Duration, rounded to milliseconds.
func (s Seconds) D() time.Duration {
	return time.Duration(float64(s)*1000+0.5) * time.Millisecond
}

// Event is one line after the header. Exactly one of the pointers is set.
type Event struct {
	// At is the time since the start of the trace.
	At      Seconds      `json:"at"`
	Submit  *Submit      `json:"submit,omitempty"`
	Cancel  *Cancel      `json:"cancel,omitempty"`
	Load    *LoadChange  `json:"load,omitempty"`
	Down    *HostFault   `json:"host_down,omitempty"`
	Bad     *HostFault   `json:"bad_worker,omitempty"`
	Noise   *Noise       `json:"noise,omitempty"`
	Store   *StoreOutage `json:"store_out,omitempty"`
	Operate *Operate     `json:"operate,omitempty"`
	Restart *Restart     `json:"owner_restart,omitempty"`
}

// Submit is a job of equal tasks.
type Submit struct {
	Job   model.JobID     `json:"job"`
	Team  model.TeamName  `json:"team"`
	Class model.ClassName `json:"class"`
	Tasks int             `json:"tasks"`
	Gang  bool            `json:"gang,omitempty"`
	// Cores and MemoryGB are declared, and enforced by the workers' guards.
	Cores    float64 `json:"cores"`
	MemoryGB float64 `json:"memory_gb"`
	// Needs is the true use of processors; 0 means as declared. A task that
	// needs more than it declared runs slower by the quotient.
	Needs    float64 `json:"needs_cores,omitempty"`
	Declared Seconds `json:"declared_s"`
	// Run holds the true run time of each task, or one value for all.
	Run []Seconds `json:"run_s"`
	// Faults is the number of attempts of each task that fail by themselves.
	Faults int `json:"faults,omitempty"`
}

// Cancel cancels jobs at once.
type Cancel struct {
	Jobs []model.JobID `json:"jobs"`
}

// LoadChange sets the load factor of the services in a data centre; 1 is normal.
type LoadChange struct {
	DataCentre model.DataCentre `json:"data_centre"`
	Factor     float64          `json:"factor"`
}

// HostFault affects the workers with a prefix: one worker, or a rack.
type HostFault struct {
	Workers string  `json:"workers"`
	For     Seconds `json:"for_s"`
}

// Noise multiplies the effect of a class on services for a time.
type Noise struct {
	Class  model.ClassName `json:"class"`
	Factor float64         `json:"factor"`
	For    Seconds         `json:"for_s"`
}

// StoreOutage makes the store unavailable.
type StoreOutage struct {
	For Seconds `json:"for_s"`
}

// Operate is an operator's command. It fails when the control sequence has
// moved past Saw, unless Saw is negative, which stands for the current one.
type Operate struct {
	Actor string           `json:"actor"`
	Saw   int64            `json:"saw"`
	Out   model.DataCentre `json:"out,omitempty"`
	In    model.DataCentre `json:"in,omitempty"`
	// Teams replaces the teams' quotas.
	Teams []Team `json:"teams,omitempty"`
}

// Restart replaces the owner of a data centre's cell; the new owner recovers
// from a snapshot after the ownership lease has run out.
type Restart struct {
	DataCentre model.DataCentre `json:"data_centre"`
}

// Load reads a trace. Errors name the line and what is wrong with it.
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
	if !v.headed {
		return nil, model.Errorf(model.KindInvalid, "start the trace with a header line", "trace is empty")
	}
	return t, nil
}

func decodeStrict(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// declarationOf returns the declaration that a header and a list of teams stand for.
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
