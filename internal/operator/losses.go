package operator

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/vanillapier/vanillapier/internal/losses"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/report"
)

// losses runs vpier losses.
func (p *Program) losses(a *lossesArgs) error {
	if a.LateShare < 0 || a.LateShare > 1 {
		return model.Errorf(model.KindInvalid, "use a number from 0 to 1", "--late-share %g", a.LateShare)
	}
	var names []string
	var days []*losses.Day
	for _, file := range a.Files {
		d, err := p.readLosses(file, losses.Options{LateShare: a.LateShare})
		if err != nil {
			return err
		}
		names, days = append(names, strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))), append(days, d)
	}
	r := losses.Report(names, days)
	if a.HTML != "" {
		if err := writeHTML(a.HTML, r); err != nil {
			return err
		}
	}
	if p.args.Output == outputJSON {
		return r.WriteJSON(p.Stdout)
	}
	return r.WriteText(p.Stdout)
}

func (p *Program) readLosses(file string, o losses.Options) (*losses.Day, error) {
	in, err := p.openInput(file)
	if err != nil {
		return nil, err
	}
	defer func(in io.Closer) { _ = in.Close() }(in) // it was only read
	d, err := losses.Read(in, o)
	if err != nil {
		return nil, model.Wrap(model.KindOf(err), err, "pass the logs of nodes on the platform", "%s", file)
	}
	return d, nil
}

// writeHTML writes a report to a file.
func writeHTML(path string, r *report.Report) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "name a file that can be written", "--html")
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return r.WriteHTML(f)
}
