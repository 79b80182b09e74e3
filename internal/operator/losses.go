package operator

import (
	"io"
	"path/filepath"
	"strings"

	"github.com/vanillapier/vanillapier/internal/compare"
	"github.com/vanillapier/vanillapier/internal/losses"
	"github.com/vanillapier/vanillapier/internal/model"
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
	return compare.Write(losses.Report(names, days), compare.Format(p.args.Output), a.HTML, p.Stdout)
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
