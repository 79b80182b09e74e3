// Package operator implements the commands of vpier, the command-line tool for
// operators: validating, comparing, proposing and accepting declarations, taking data
// centres out of service, status, batch orders, trace replay, and the local
// development mode.
package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// ReplayArgs are the arguments of vpier replay.
type ReplayArgs struct {
	// Trace is the path of the recorded trace.
	Trace string
	// Configs are the configurations to compare, at least one: policy names or files.
	Configs []string
	// Seed seeds every random choice of the replay.
	Seed uint64
	// Output is text or json.
	Output string
	// HTMLFile is the path of the HTML report; none when empty.
	HTMLFile string
}

// ReplayFunc replays a trace under several configurations and writes the
// comparison to the writer.
type ReplayFunc func(ctx context.Context, args ReplayArgs, out io.Writer) error

// DevArgs are the arguments of vpier dev.
type DevArgs struct {
	// Seed seeds load and faults; 0 selects the seed of the trace.
	Seed uint64
	// Nodes is the number of nodes to run.
	Nodes int
	// Sample names the built-in sample deployment.
	Sample string
	// Deployment is the path of a declaration that replaces the sample's.
	Deployment string
	// Trace is the path of a recorded trace that replaces the sample's.
	Trace string
	// WriteTrace is the path for a generated trace; when set, no node runs.
	WriteTrace string
	// Keep keeps the endpoints up after the run until interrupted.
	Keep bool
	// Duration limits the replayed part of the trace; 0 replays all of it.
	Duration time.Duration
	// LogFile receives the nodes' logs; they are discarded when it is empty.
	LogFile string
	// Output is text or json.
	Output string
}

// DevFunc runs the system with a simulated platform in this process and writes
// progress and the table of requirements to out.
type DevFunc func(ctx context.Context, args DevArgs, out io.Writer) error

// SoakArgs are the arguments of vpier soak.
type SoakArgs struct {
	// Seed is the first seed, Seeds the number of consecutive seeds.
	Seed  uint64
	Seeds int
	// Nodes and Workers are the numbers of nodes and workers.
	Nodes, Workers int
	// Cells fixes the number of cells; with 0 the nodes choose it.
	Cells int
	// Aim is "leader" for faults that are aimed at the leader of the moment, else empty.
	Aim string
	// Small is the number of nodes on small hosts, in a run with Aim.
	Small int
	// SilentRestarts plays silent restarts of workers that are cut off soon after.
	SilentRestarts bool
	// Length is the time during which faults begin.
	Length time.Duration
	// Prefix limits the schedule to its first faults; 0 keeps all.
	Prefix int
	// Binary is the path of vpierd. Logs is a folder for the nodes' logs; they are
	// discarded when it is empty.
	Binary, Logs string
	// HTMLFile is the path of the HTML report; none when empty.
	HTMLFile string
	// Output is text or json.
	Output string
}

// SoakFunc runs vpier soak. An error marked with Failed means that a guarantee was
// violated.
type SoakFunc func(ctx context.Context, args SoakArgs, out io.Writer) error

// Program is one run of vpier. Stdout, Stderr and Stdin are required.
type Program struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Version is shown by --version.
	Version string
	// Environ lists the environment as NAME=VALUE. It is only used to detect misspelled
	// names; the values are read from the process's environment.
	Environ []string
	// Replay, Dev and Soak implement the commands of the same name; nil when the build
	// does not include them.
	Replay ReplayFunc
	Dev    DevFunc
	Soak   SoakFunc

	// pollInterval is the interval between two polls of a waiting command.
	pollInterval time.Duration
	// newID returns a new request id.
	newID func() string

	args   *rootArgs
	client *client
}

// defaultPollInterval is the default of Program.pollInterval. All nodes apply an accepted
// declaration within 4 s.
const defaultPollInterval = 500 * time.Millisecond

// Run executes the command line argv, without the program name, and returns the exit
// code.
func (p *Program) Run(ctx context.Context, argv []string) int {
	if p.pollInterval == 0 {
		p.pollInterval = defaultPollInterval
	}
	if p.newID == nil {
		p.newID = randomID
	}
	args, stop, err := p.parse(argv)
	if err != nil {
		return p.fail(err)
	}
	if stop {
		return ExitOK
	}
	p.args = args
	if err := p.dispatch(ctx); err != nil {
		return p.fail(err)
	}
	return ExitOK
}

// dispatch runs the selected command.
func (p *Program) dispatch(ctx context.Context) error {
	a := p.args
	switch {
	case a.Check != nil:
		return p.check(a.Check)
	case a.Completion != nil:
		return p.completion(a.Completion)
	case a.TraceSummary != nil:
		return p.traceSummary(a.TraceSummary)
	case a.Trace != nil:
		return p.trace(a.Trace)
	case a.Losses != nil:
		return p.losses(a.Losses)
	case a.Replay != nil:
		return p.replay(ctx, a.Replay)
	case a.Dev != nil:
		return p.dev(ctx, a.Dev)
	case a.Fleet != nil:
		return p.fleet(ctx, a.Fleet)
	case a.Soak != nil:
		return p.soak(ctx, a.Soak)
	case a.Diff != nil:
		return p.diff(ctx, a.Diff)
	}
	if err := p.connect(); err != nil {
		return err
	}
	switch {
	case a.Propose != nil:
		return p.propose(ctx, a.Propose)
	case a.Accept != nil:
		return p.accept(ctx, a.Accept)
	case a.Reject != nil:
		return p.reject(ctx, a.Reject)
	case a.History != nil:
		return p.history(ctx, a.History)
	case a.Drain != nil:
		return p.drain(ctx, a.Drain)
	case a.Return != nil:
		return p.returnDataCentre(ctx, a.Return)
	case a.Status != nil:
		return p.status(ctx, a.Status)
	case a.Submit != nil:
		return p.submit(ctx, a.Submit)
	case a.Cancel != nil:
		return p.cancel(ctx, a.Cancel)
	}
	return model.Errorf(model.KindInvalid, "run vpier --help for the list", "no command is given")
}

// connect creates the client of the nodes.
func (p *Program) connect() error {
	c, err := newClient(p.args.clientArgs)
	p.client = c
	return err
}

// replay runs vpier replay.
func (p *Program) replay(ctx context.Context, a *replayArgs) error {
	if p.Replay == nil {
		return model.Errorf(model.KindInvalid, "use a complete build of vpier", "this build has no replay")
	}
	if len(a.Configs) == 0 {
		return model.Errorf(model.KindInvalid, "give --config once for each configuration to compare", "no configuration is given")
	}
	if err := checkReadable(a.Trace); err != nil {
		return err
	}
	return p.Replay(ctx, ReplayArgs{Trace: a.Trace, Configs: a.Configs, Seed: a.Seed, Output: string(p.args.Output), HTMLFile: a.HTML}, p.Stdout)
}

// Limits of vpier soak. A shared machine can run a few dozen processes.
const (
	maxSoakNodes   = 32
	maxSoakWorkers = 100
	// A run with aimed faults may be as large as the fleets on which they matter.
	aimAtLeader     = "leader"
	maxAimedNodes   = 64
	maxAimedWorkers = 400
	minSoakLength   = 5 * time.Second
	maxSoakLength   = time.Hour
)

// soak runs vpier soak.
func (p *Program) soak(ctx context.Context, a *soakArgs) error {
	maxNodes, maxWorkers := maxSoakNodes, maxSoakWorkers
	if a.Aim != "" {
		maxNodes, maxWorkers = maxAimedNodes, maxAimedWorkers
	}
	switch {
	case p.Soak == nil:
		return model.Errorf(model.KindInvalid, "use a complete build of vpier", "this build has no soak")
	case a.Aim != "" && a.Aim != aimAtLeader:
		return model.Errorf(model.KindInvalid, "give --aim leader, or leave it out", "--aim %s", a.Aim)
	case a.Nodes < 1 || a.Nodes > maxNodes:
		return model.Errorf(model.KindInvalid, fmt.Sprintf("give --nodes from 1 to %d", maxNodes), "%d nodes", a.Nodes)
	case a.Workers < 1 || a.Workers > maxWorkers:
		return model.Errorf(model.KindInvalid, fmt.Sprintf("give --workers from 1 to %d", maxWorkers), "%d workers", a.Workers)
	case a.Cells < 0 || a.Cells > maxSoakNodes:
		return model.Errorf(model.KindInvalid, "give --cells from 0 to 32", "%d cells", a.Cells)
	case a.Small != 0 && (a.Aim == "" || a.Small < 0 || a.Small > a.Nodes || a.Cells > 1):
		return model.Errorf(model.KindInvalid, "give --small from 1 to --nodes, with --aim leader and one cell", "--small %d", a.Small)
	case a.SilentRestarts && a.Aim != "":
		return model.Errorf(model.KindInvalid, "give --silent-restarts or --aim", "--silent-restarts with --aim %s", a.Aim)
	case a.Length < minSoakLength || a.Length > maxSoakLength:
		return model.Errorf(model.KindInvalid, "give --length from 5s to 1h", "--length %s", a.Length)
	case a.Seeds < 1 || a.Prefix < 0:
		return model.Errorf(model.KindInvalid, "give --seeds of 1 or more and --prefix of 0 or more", "%d seeds, prefix %d", a.Seeds, a.Prefix)
	}
	if err := checkReadable(a.Binary); err != nil {
		return err
	}
	return p.Soak(ctx, SoakArgs{Seed: a.Seed, Seeds: a.Seeds, Nodes: a.Nodes, Workers: a.Workers, Cells: a.Cells, Aim: a.Aim, Small: a.Small, SilentRestarts: a.SilentRestarts, Length: a.Length, Prefix: a.Prefix,
		Binary: a.Binary, Logs: a.Logs, HTMLFile: a.HTML, Output: string(p.args.Output)}, p.Stdout)
}

// dev runs vpier dev.
func (p *Program) dev(ctx context.Context, a *devArgs) error {
	if p.Dev == nil {
		return model.Errorf(model.KindInvalid, "use a complete build of vpier", "this build has no dev mode")
	}
	if a.Nodes < minDevNodes || a.Nodes > maxDevNodes {
		return model.Errorf(model.KindInvalid, "give --nodes from 3 to 32", "%d nodes", a.Nodes)
	}
	if a.Duration < 0 {
		return model.Errorf(model.KindInvalid, "give a duration such as 30s, or 0s for all of the trace", "--duration %s", a.Duration)
	}
	for _, path := range []string{a.Deployment, a.Trace} {
		if path == "" {
			continue
		}
		if err := checkReadable(path); err != nil {
			return err
		}
	}
	return p.Dev(ctx, DevArgs{
		Seed: a.Seed, Nodes: a.Nodes, Sample: a.Sample, Deployment: a.Deployment, Trace: a.Trace,
		WriteTrace: a.WriteTrace, Keep: a.Keep, Duration: a.Duration, LogFile: a.LogFile,
		Output: string(p.args.Output),
	}, p.Stdout)
}

// minDevNodes and maxDevNodes bound the number of nodes in one process. With fewer,
// no majority remains when one node is stopped and another one is killed.
const (
	minDevNodes = 3
	maxDevNodes = 32
)
