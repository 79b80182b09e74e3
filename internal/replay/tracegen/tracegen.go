// Package tracegen writes the recorded traces of the repository from the shape of
// a deployment, one trace for each scenario. The same shape and seed always give
// the same files. Its test compares the files under testdata/traces with what the
// generator writes, and writes them anew with
//
//	go test ./internal/replay/tracegen -update
package tracegen

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
)

// Write generates the traces for the shape in shapeFile and writes them to the directory out.
// Scenario i uses the seed seed+i. Errors have KindInvalid when the shape cannot be read.
func Write(shapeFile, out string, seed uint64) error {
	data, err := os.ReadFile(shapeFile)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "name a readable shape", "shape")
	}
	var s shape
	if err := json.Unmarshal(data, &s); err != nil {
		return model.Wrap(model.KindInvalid, err, "correct the JSON of the shape", "shape %s", shapeFile)
	}
	for i, sc := range scenarios {
		g := newGenerator(s, sc, seed+uint64(i))
		sc.build(g)
		name := fmt.Sprintf("%s-%s.jsonl", s.Name, sc.name)
		if err := write(filepath.Join(out, name), g); err != nil {
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
	t := replay.Trace{Header: g.header, Events: g.sortedEvents()}
	if err := t.Write(f); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}
