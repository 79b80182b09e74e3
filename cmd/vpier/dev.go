package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/vanillapier/vanillapier/internal/dev"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/operator"
)

// runDev runs the system with a simulated platform in this process.
func runDev(ctx context.Context, a operator.DevArgs, out io.Writer) error {
	log, err := openRunLog(a.LogFile)
	if err != nil {
		return err
	}
	err = log.close(dev.Run(ctx, dev.Options{
		Sample: a.Sample, DeclarationFile: a.Deployment, TraceFile: a.Trace, WriteTrace: a.WriteTrace,
		Seed: a.Seed, Nodes: a.Nodes, Keep: a.Keep, Duration: a.Duration, JSON: a.Output == "json", Logs: log.file,
	}, out))
	if errors.Is(err, dev.ErrRequirementNotMet) {
		return operator.Failed(err)
	}
	return err
}

// runLog is the file for the log lines of the nodes of a run.
type runLog struct {
	file      *os.File
	temporary bool // not asked for; kept only if the run fails
}

// openRunLog creates the named file, or a temporary one if the name is empty.
func openRunLog(name string) (*runLog, error) {
	if name != "" {
		f, err := os.Create(name)
		if err != nil {
			return nil, model.Wrap(model.KindInvalid, err, "name a file that can be written", "--log-file")
		}
		return &runLog{file: f}, nil
	}
	f, err := os.CreateTemp("", "vpier-dev-*.log")
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "make room for temporary files, or use --log-file", "log of the run")
	}
	return &runLog{file: f, temporary: true}, nil
}

// close closes the log after a run with the given result. The error of a run that missed a
// requirement names the file.
func (l *runLog) close(result error) error {
	_ = l.file.Close() // logging is best effort
	if errors.Is(result, dev.ErrRequirementNotMet) {
		return fmt.Errorf("%w; the log lines of the nodes are in %s", result, l.file.Name())
	}
	if l.temporary {
		_ = os.Remove(l.file.Name()) // a leftover is only a temporary file
	}
	return result
}
