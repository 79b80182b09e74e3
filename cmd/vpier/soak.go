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

// errViolation reports that a soak run violated a guarantee.
var errViolation = errors.New("a promise was broken")

// runSoak runs the seeds one after the other and reports the results.
func runSoak(ctx context.Context, a operator.SoakArgs, out io.Writer) error {
	binary, err := filepath.Abs(a.Binary)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "give the path of vpierd", "--binary")
	}
	var results []soak.Result
	violated := false
	for i := range a.Seeds {
		r, err := soak.Run(ctx, soak.Options{Binary: binary, Seed: a.Seed + uint64(i), Nodes: a.Nodes, Workers: a.Workers, Cells: a.Cells,
			Aim: a.Aim != "", Small: a.Small, SilentRestarts: a.SilentRestarts, Length: a.Length, Prefix: a.Prefix, Logs: a.Logs})
		if err != nil {
			return err
		}
		results = append(results, r)
		violated = violated || len(r.Violations) > 0
	}
	if err := writeSoak(a, results, out); err != nil {
		return err
	}
	if violated {
		return operator.Failed(errViolation)
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
