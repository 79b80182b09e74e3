package owner

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// cellSeparator separates the data centre and the index in a cell id.
const cellSeparator = "."

// CellName returns the id of the cell with the given index in a data centre.
func CellName(dc model.DataCentre, index int) model.CellID {
	return model.CellID(fmt.Sprintf("%s%s%d", dc, cellSeparator, index))
}

// DataCentreOf returns the data centre of a cell.
func DataCentreOf(id model.CellID) model.DataCentre {
	name := string(id)
	if at := strings.LastIndex(name, cellSeparator); at >= 0 {
		name = name[:at]
	}
	return model.DataCentre(name)
}

// CellsOf returns the sorted cells of the accepted declaration.
func CellsOf(view *control.View) []model.CellID {
	if view == nil || view.Declaration == nil {
		return nil
	}
	var cells []model.CellID
	for _, dc := range view.Declaration.DataCentres {
		for i := range max(1, dc.Cells) {
			cells = append(cells, CellName(dc.Name, i))
		}
	}
	slices.Sort(cells)
	return cells
}

// CellOfWorker returns the cell that a worker belongs to. It is empty if the
// declaration does not list the worker's data centre.
func CellOfWorker(view *control.View, h external.Host) model.CellID {
	if view == nil || view.Declaration == nil {
		return ""
	}
	for _, dc := range view.Declaration.DataCentres {
		if dc.Name != h.DataCentre {
			continue
		}
		index := xxhash.Sum64String(h.ID) % uint64(max(1, dc.Cells))
		return CellName(dc.Name, int(index))
	}
	return ""
}
