package main

import (
	"context"
	"errors"
	"io"

	"github.com/vanillapier/vanillapier/internal/compare"
	"github.com/vanillapier/vanillapier/internal/operator"
)

// runReplay replays a trace under several configurations.
func runReplay(ctx context.Context, a operator.ReplayArgs, out io.Writer) error {
	trace, err := compare.Load(a.Trace)
	if err != nil {
		return err
	}
	var configs []compare.Config
	for _, name := range a.Configs {
		c, err := compare.LoadConfig(name)
		if err != nil {
			return err
		}
		configs = append(configs, c)
	}
	r, err := compare.Run(ctx, trace, configs, a.Seed)
	if err != nil {
		return err
	}
	err = compare.Write(r, compare.Format(a.Output), a.HTMLFile, out)
	if errors.Is(err, compare.ErrMissed) {
		return operator.Failed(err)
	}
	return err
}
