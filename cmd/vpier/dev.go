package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/vanillapier/vanillapier/internal/dev"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/operator"
)

// runDev runs the system with a simulated platform in this process.
func runDev(ctx context.Context, a operator.DevArgs, out io.Writer) error {
	options := dev.Options{
		Sample: a.Sample, DeclarationFile: a.Deployment, TraceFile: a.Trace, WriteTrace: a.WriteTrace,
		Seed: a.Seed, Nodes: a.Nodes, Keep: a.Keep, Duration: a.Duration, JSON: a.Output == "json",
	}
	if a.LogFile != "" {
		f, err := os.Create(a.LogFile)
		if err != nil {
			return model.Wrap(model.KindInvalid, err, "name a file that can be written", "--log-file")
		}
		defer func() { _ = f.Close() }() // logging is best effort
		options.Logs = f
	}
	err := dev.Run(ctx, options, out)
	if errors.Is(err, dev.ErrRequirementNotMet) {
		return operator.Failed(err)
	}
	return err
}
