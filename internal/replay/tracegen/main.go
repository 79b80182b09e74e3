// Command tracegen writes the recorded traces of the repository. It reads the
// shape of a deployment and writes one trace for each scenario:
//
//	go run ./internal/replay/tracegen --shape testdata/shapes/NAME.json --out testdata/traces --seed 1
//
// The same shape and seed always give the same files.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Shape string `arg:"--shape,required" help:"file with the shape of the deployment"`
	Out   string `arg:"--out,required" help:"directory that the traces are written to"`
	Seed  uint64 `arg:"--seed" default:"1" help:"seed of the generator"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	data, err := os.ReadFile(args.Shape)
	if err != nil {
		return fmt.Errorf("read shape: %w", err)
	}
	var s shape
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode shape %s: %w", args.Shape, err)
	}
	for i, sc := range scenarios {
		g := newGenerator(s, sc, args.Seed+uint64(i))
		sc.build(g)
		name := fmt.Sprintf("%s-%s.jsonl", s.Name, sc.name)
		if err := write(filepath.Join(args.Out, name), g); err != nil {
			return err
		}
	}
	return nil
}

func write(path string, g *generator) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create trace: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	enc := json.NewEncoder(f)
	if err := enc.Encode(g.header); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	for _, e := range g.sorted() {
		if err := enc.Encode(e); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
	}
	return nil
}
