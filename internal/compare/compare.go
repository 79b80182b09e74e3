// Package compare replays a recorded trace under several configurations and builds the report
// for a review: the four main metrics side by side and each requirement with its verdict.
package compare

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
	"github.com/vanillapier/vanillapier/internal/report"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// ErrMissed is returned when a requirement or an expected outcome was missed.
var ErrMissed = errors.New("requirements or stated outcomes were missed")

// Config is a configuration under which a trace is replayed.
type Config struct {
	// Name is shown in the report.
	Name string
	// Scheduler is the scheduler configuration.
	Scheduler scheduler.Config
	// Declaration, when set, provides the quotas of the teams that it shares with the trace.
	Declaration *declaration.Declaration
}

// policyFile is the format of a settings file, which is a configuration file that is not a
// declaration.
type policyFile struct {
	// Policy is learned, best-fit or first-fit.
	Policy scheduler.Policy `yaml:"policy"`
	// SlowdownBudget, EvictionsPerMinute and DrainPerSecond replace the defaults of the
	// scheduler when they are above zero.
	SlowdownBudget     float64 `yaml:"slowdown_budget"`
	EvictionsPerMinute int     `yaml:"evictions_per_minute"`
	DrainPerSecond     int     `yaml:"drain_starts_per_second"`
}

// LoadConfig returns the configuration for name, which is a policy, a declaration file or a
// settings file.
func LoadConfig(name string) (Config, error) {
	if policy := scheduler.Policy(name); knownPolicy(policy) {
		return Config{Name: name, Scheduler: scheduler.Config{Policy: policy}}, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return Config{}, model.Wrap(model.KindInvalid, err, "name a policy (learned, best-fit, first-fit), a declaration or a settings file", "configuration %s", name)
	}
	label := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	if isDeclaration(text) {
		return declarationConfig(label, name, text)
	}
	var file policyFile
	if err := yaml.UnmarshalWithOptions(text, &file, yaml.DisallowUnknownField()); err != nil {
		return Config{}, model.Wrap(model.KindInvalid, err, "write policy, slowdown_budget, evictions_per_minute or drain_starts_per_second", "configuration %s", name)
	}
	if file.Policy == "" {
		file.Policy = scheduler.PolicyLearned
	}
	if !knownPolicy(file.Policy) {
		return Config{}, model.Errorf(model.KindInvalid, "use learned, best-fit or first-fit", "configuration %s: unknown policy %q", name, file.Policy)
	}
	return Config{Name: label, Scheduler: scheduler.Config{
		Policy: file.Policy, SlowdownBudget: file.SlowdownBudget,
		EvictionsPerMinute: file.EvictionsPerMinute, DrainPerSecond: file.DrainPerSecond,
	}}, nil
}

func knownPolicy(p scheduler.Policy) bool {
	return p == scheduler.PolicyLearned || p == scheduler.PolicyBestFit || p == scheduler.PolicyFirstFit
}

// isDeclaration distinguishes a declaration from a settings file by the required field
// version.
func isDeclaration(text []byte) bool {
	return bytes.HasPrefix(text, []byte("version:")) || bytes.Contains(text, []byte("\nversion:"))
}

func declarationConfig(label, name string, text []byte) (Config, error) {
	doc, err := declaration.Check(name, text)
	if err != nil {
		return Config{}, err
	}
	limits := doc.Declaration.Limits
	return Config{Name: label, Declaration: doc.Declaration, Scheduler: scheduler.Config{
		Policy: scheduler.PolicyLearned, EvictionsPerMinute: limits.EvictionsPerMinute,
		DrainPerSecond: limits.DrainStartsPerSecond, QuarantineFailures: limits.QuarantineFailures,
	}}, nil
}

// withTeams returns the trace for c. Teams that the declaration of c also lists get their
// quotas from there.
func (c Config) withTeams(t *replay.Trace) *replay.Trace {
	if c.Declaration == nil {
		return t
	}
	out := &replay.Trace{Header: t.Header, Events: t.Events}
	out.Header.Teams = nil
	for _, team := range t.Header.Teams {
		for _, declared := range c.Declaration.Teams {
			if declared.Name == team.Name {
				team.Cores, team.MemoryGB = declared.Quota.Cores, declared.Quota.MemoryGB
			}
		}
		out.Header.Teams = append(out.Header.Teams, team)
	}
	return out
}

// Run replays the trace under all configurations. Seed 0 selects the seed of the trace.
func Run(ctx context.Context, t *replay.Trace, configs []Config, seed uint64) (*report.Report, error) {
	outcomes := make([]replay.Outcome, len(configs))
	for i, c := range configs {
		if err := ctx.Err(); err != nil {
			return nil, model.Wrap(model.KindUnavailable, err, "let the replay end by itself", "the replay was interrupted")
		}
		o, err := replay.Run(c.withTeams(t), replay.Options{Config: c.Scheduler, Seed: seed, Reference: true})
		if err != nil {
			return nil, err
		}
		outcomes[i] = o
	}
	return buildReport(t, configs, outcomes), nil
}

// Load reads a trace from a file.
func Load(path string) (*replay.Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "name a readable trace", "trace")
	}
	defer func() { _ = f.Close() }() // nothing was written
	return replay.Load(f)
}

// Format is the output format of a report.
type Format string

// Formats of Write.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Write writes the report to out, and as HTML to htmlFile unless that is empty. It returns
// ErrMissed when the first configuration, which is the one under review, missed a requirement.
// The other configurations only serve as a comparison.
func Write(r *report.Report, format Format, htmlFile string, out io.Writer) error {
	write := r.WriteText
	if format == FormatJSON {
		write = r.WriteJSON
	}
	if err := write(out); err != nil {
		return err
	}
	if htmlFile != "" {
		if err := writeHTML(r, htmlFile); err != nil {
			return err
		}
	}
	missed := 0
	for _, q := range r.Requirements {
		if q.Results[0].Verdict == report.Fail {
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%s, %d rows: %w", r.Configs[0], missed, ErrMissed)
	}
	return nil
}

func writeHTML(r *report.Report, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "name a file that can be written", "--html")
	}
	return errors.Join(r.WriteHTML(f), f.Close())
}
