package operator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/logtrace"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
)

// traceResult is the JSON output of vpier trace.
type traceResult struct {
	File   string `json:"file"`
	Events int    `json:"events"`
	// HorizonSeconds is the time span that the log covers.
	HorizonSeconds float64 `json:"horizon_s"`
}

// trace runs vpier trace.
func (p *Program) trace(a *traceArgs) error {
	t, err := p.convertLog(a)
	if err != nil {
		return err
	}
	if err := writeTrace(a.Out, t); err != nil {
		return err
	}
	result := traceResult{File: a.Out, Events: len(t.Events), HorizonSeconds: float64(t.Header.Horizon)}
	return p.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s over %s\n", a.Out, plural(result.Events, "event"), t.Header.Horizon.D())
	})
}

// convertLog converts the log of nodes with a declaration, or without one the log of
// nodes on the platform, into a trace.
func (p *Program) convertLog(a *traceArgs) (*replay.Trace, error) {
	o := logtrace.Options{Name: strings.TrimSuffix(filepath.Base(a.Out), filepath.Ext(a.Out)), Slope: a.Slope}
	in, err := p.openInput(a.File)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	if a.Deployment == "" {
		return logtrace.ConvertFleet(in, o)
	}
	text, err := p.readInput(a.Deployment)
	if err != nil {
		return nil, err
	}
	doc, err := declaration.Check(a.Deployment, text)
	if err != nil {
		return nil, err
	}
	return logtrace.Convert(in, doc.Declaration, o)
}

// writeTrace writes a trace to a file.
func writeTrace(path string, t *replay.Trace) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "name a file that can be written", "--out")
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	w := bufio.NewWriter(f)
	return errors.Join(t.Write(w), w.Flush())
}
