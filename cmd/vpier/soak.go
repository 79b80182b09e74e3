package main

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/operator"
	"github.com/vanillapier/vanillapier/internal/soak"
)

// errBroken reports that a run broke a promise.
var errBroken = errors.New("a promise was broken")

// runSoak plays the seeds one after the other and reports them.
func runSoak(ctx context.Context, a operator.SoakArgs, out io.Writer) error {
	binary, err := filepath.Abs(a.Binary)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "give the path of vpierd", "--binary")
	}
	var results []soak.Result
	broken := false
	for i := range a.Seeds {
		r, err := soak.Run(ctx, soak.Options{Binary: binary, Seed: a.Seed + uint64(i), Nodes: a.Nodes, Workers: a.Workers, Cells: a.Cells,
			Length: a.Length, Prefix: a.Prefix, Logs: a.Logs})
		if err != nil {
			return err
		}
		results = append(results, r)
		broken = broken || len(r.Broken) > 0
	}
	if err := writeSoak(a, results, out); err != nil {
		return err
	}
	if broken {
		return operator.Failed(errBroken)
	}
	return nil
}

func writeSoak(a operator.SoakArgs, results []soak.Result, out io.Writer) error {
	if a.HTMLFile != "" {
		f, err := os.Create(a.HTMLFile)
		if err != nil {
			return model.Wrap(model.KindInvalid, err, "name a file that can be written", "--html")
		}
		if err := errors.Join(soak.WriteHTML(f, results), f.Close()); err != nil {
			return err
		}
	}
	if a.Output == "json" {
		return soak.WriteJSON(out, results)
	}
	return soak.WriteText(out, results)
}
