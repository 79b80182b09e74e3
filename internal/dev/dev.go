package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/examples"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/waiting"
)

// Options are the settings of a run.
type Options struct {
	// Sample names a sample deployment of package examples. Default: the first.
	Sample string
	// DeclarationFile and TraceFile replace the sample's files.
	DeclarationFile string
	TraceFile       string
	// Seed replaces the trace's seed when it is not 0.
	Seed uint64
	// Nodes is the number of nodes. Default 6.
	Nodes int
	// Duration limits the replayed part of the trace; 0 replays all of it.
	Duration time.Duration
	// WriteTrace is the path for a generated trace; when set, nothing runs.
	WriteTrace string
	// Keep keeps everything running after the result was written, until the context ends.
	Keep bool
	// JSON writes the result as JSON instead of a table.
	JSON bool
	// Logs receives the nodes' logs. Default: discarded.
	Logs io.Writer
}

const (
	// DefaultNodes is the default of Options.Nodes.
	DefaultNodes = 6
	// readyTimeout bounds the start of all nodes.
	readyTimeout = 20 * time.Second
	// settleTimeout bounds the wait for requests and orders after the last event.
	settleTimeout = 25 * time.Second
)

// ErrRequirementNotMet means that at least one row of the result does not hold.
var ErrRequirementNotMet = errors.New("requirements or stated outcomes do not hold")

// Run starts the platform and the nodes, replays the trace, writes progress and the
// result to out, and returns ErrRequirementNotMet when a row of the result does not hold.
func Run(ctx context.Context, o Options, out io.Writer) error {
	text, trace, err := load(&o)
	if err != nil {
		return err
	}
	doc, err := declaration.Parse("declaration", []byte(text))
	if err != nil {
		return err
	}
	if o.WriteTrace != "" {
		return writeTrace(o.WriteTrace, Generate(doc.Declaration, max(1, o.Seed)))
	}
	progress := out
	if o.JSON {
		progress = io.Discard
	}
	_, _ = fmt.Fprintf(progress, "starting %d nodes and the stand-ins of %s (seed %d)\n", o.Nodes, doc.Declaration.Deployment, o.Seed) // progress is best effort
	c, err := startCluster(doc.Declaration, trace.Header, o.Nodes, o.Seed, o.Logs)
	if err != nil {
		return err
	}
	defer c.close()
	result, err := replay(ctx, c, o, text, trace, progress)
	if err != nil {
		return err
	}
	if err := write(result, o.JSON, out); err != nil {
		return err
	}
	if o.Keep {
		serveUntilInterrupted(ctx, c, progress)
	}
	if n := result.Failed(); n > 0 {
		return fmt.Errorf("%d of the rows, marked NO: %w", n, ErrRequirementNotMet)
	}
	return nil
}

// load reads the declaration and the trace and fills in the defaults of o.
func load(o *Options) (string, *Trace, error) {
	if o.Sample == "" {
		o.Sample = examples.Samples()[0]
	}
	if o.Nodes == 0 {
		o.Nodes = DefaultNodes
	}
	if o.Logs == nil {
		o.Logs = io.Discard
	}
	if o.Nodes < 3 || o.Nodes > 32 {
		return "", nil, model.Errorf(model.KindInvalid, "choose 3 to 32 nodes", "%d nodes", o.Nodes)
	}
	text, err := readInput(o.DeclarationFile, o.Sample+".yaml")
	if err != nil {
		return "", nil, err
	}
	if o.WriteTrace != "" {
		return string(text), nil, nil
	}
	trace, err := loadTrace(o, string(text))
	if err != nil {
		return "", nil, err
	}
	if o.Duration > 0 {
		trace.truncate(o.Duration)
	}
	if o.Seed == 0 {
		o.Seed = trace.Header.Seed
	}
	return string(text), trace, nil
}

// loadTrace reads the recorded trace. It generates one for a declaration file without a
// trace, because the classes and teams in the sample's trace do not match it.
func loadTrace(o *Options, text string) (*Trace, error) {
	if o.DeclarationFile != "" && o.TraceFile == "" {
		doc, err := declaration.Parse(o.DeclarationFile, []byte(text))
		if err != nil {
			return nil, err
		}
		return Generate(doc.Declaration, max(1, o.Seed)), nil
	}
	data, err := readInput(o.TraceFile, o.Sample+".trace.jsonl")
	if err != nil {
		return nil, err
	}
	return LoadTrace(bytes.NewReader(data))
}

// writeTrace writes a trace to a file.
func writeTrace(path string, t *Trace) error {
	f, err := os.Create(path)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "name a file that can be written", "trace file")
	}
	return errors.Join(t.Write(f), f.Close())
}

// readInput reads file, or the sample when file is empty.
func readInput(file, sample string) ([]byte, error) {
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, model.Wrap(model.KindInvalid, err, "name a readable file", "%s", file)
		}
		return data, nil
	}
	data, err := examples.Files.ReadFile(sample)
	if err != nil {
		return nil, model.Errorf(model.KindNotFound, "name one of "+strings.Join(examples.Samples(), ", "), "there is no sample %s", sample)
	}
	return data, nil
}

// replay waits for the cluster to be ready, replays the trace and collects the result.
func replay(ctx context.Context, c *cluster, o Options, text string, trace *Trace, progress io.Writer) (*Result, error) {
	background, stop := context.WithCancel(ctx)
	defer stop()
	b := newBalancer(c)
	go b.run(background)
	s := &scenario{
		cluster: c, callers: newCallers(b), operator: &operator{cluster: c, client: &http.Client{}},
		tracker: &orderTracker{}, monitor: newViewMonitor(c), trace: trace, text: text, progress: progress, begun: time.Now(),
	}
	if err := s.bringUp(ctx, o.Nodes); err != nil {
		return nil, err
	}
	go s.monitor.run(background)
	s.play(ctx)
	s.waitForCompletion(ctx)
	if err := ctx.Err(); err != nil {
		return nil, model.Wrap(model.KindUnavailable, err, "let the run end by itself", "the run was interrupted")
	}
	return &Result{Trace: trace.Header.Name, Seed: o.Seed, Nodes: o.Nodes, Rows: s.result()}, nil
}

// bringUp waits until all nodes have joined, accepts the declaration and waits until all
// nodes are ready.
func (s *scenario) bringUp(ctx context.Context, nodes int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.waitForMembers(ctx, nodes); err != nil {
		return err
	}
	s.logProgress("%d nodes have joined", nodes)
	reply, err := s.operator.proposeAndAccept(ctx, s.text, "first declaration")
	if err != nil {
		return err
	}
	s.logProgress("the declaration is in force (control sequence %d)", reply.Sequence)
	if err := s.waitForCells(ctx); err != nil {
		return err
	}
	err = s.waitForNodes(ctx, nodes)
	s.logProgress("%d nodes hold slots and are ready", nodes)
	return err
}

// waitForMembers waits until all nodes have joined. They are not ready for callers before
// a declaration is accepted.
func (s *scenario) waitForMembers(ctx context.Context, nodes int) error {
	_, admin, _ := s.cluster.running()[0].Addrs()
	for {
		view, err := s.operator.view(ctx, admin)
		if err == nil && len(view.Members) >= nodes {
			return nil
		}
		if !waiting.Sleep(ctx, checkEvery) {
			return model.Errorf(model.KindUnavailable, "look at the nodes' logs with --log-file", "%d of %d nodes joined", len(view.Members), nodes)
		}
	}
}

// waitForNodes waits until all nodes pass the balancer's readiness check.
func (s *scenario) waitForNodes(ctx context.Context, nodes int) error {
	for s.callers.balancer.readyCount() < nodes {
		if !waiting.Sleep(ctx, checkEvery) {
			return model.Errorf(model.KindUnavailable, "look at the nodes' logs with --log-file", "%d of %d nodes became ready", s.callers.balancer.readyCount(), nodes)
		}
	}
	return nil
}

// waitForCells waits until every cell has an owner that accepts work.
func (s *scenario) waitForCells(ctx context.Context) error {
	for {
		owned := 0
		for _, n := range s.cluster.running() {
			status, err := n.Status(ctx)
			if err != nil {
				return err
			}
			owned += len(status.OwnedCells)
		}
		if owned >= len(s.cluster.dcs) {
			s.logProgress("%d cells have owners", owned)
			return nil
		}
		if !waiting.Sleep(ctx, checkEvery) {
			return model.Errorf(model.KindUnavailable, "look at the nodes' logs with --log-file", "%d of %d cells have owners", owned, len(s.cluster.dcs))
		}
	}
}

// waitForCompletion waits until all actions, requests and orders have ended, up to
// settleTimeout.
func (s *scenario) waitForCompletion(ctx context.Context) {
	s.logProgress("the trace has ended; waiting for work in flight")
	done := make(chan struct{})
	go func() {
		s.actions.Wait()
		s.callers.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(settleTimeout):
		s.logProgress("work is still open after %s", settleTimeout)
	case <-ctx.Done():
	}
}

func write(r *Result, asJSON bool, out io.Writer) error {
	if !asJSON {
		return r.WriteText(out)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// serveUntilInterrupted prints the addresses of the nodes and waits until ctx ends.
func serveUntilInterrupted(ctx context.Context, c *cluster, out io.Writer) {
	for i, n := range c.running() {
		callers, admin, _ := n.Addrs()
		_, _ = fmt.Fprintf(out, "node %d: callers http://%s, operators http://%s\n", i+1, callers, admin) // best effort
	}
	_, _ = fmt.Fprintf(out, "platform: %s\noperator token: %s\nstop with Ctrl-C\n", c.platform.URL(), c.token) // best effort
	<-ctx.Done()
}
