package fleet_test

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	marginPage = "../../docs/restart-margin.md"
	marginPlot = "../../docs/restart-margin.svg"
	// marginResultsHeading begins the part of the page that is generated.
	marginResultsHeading = "## Results\n"
)

func marginFile(name string) string { return "testdata/restart-margin/" + name + ".csv" }

// marginCode is what was measured with one version of the code.
type marginCode struct {
	name  string
	cells map[marginFaults]map[string]string // values by column
}

func readMarginCode(t *testing.T, name string) marginCode {
	file, err := os.Open(marginFile(name))
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	rows, err := csv.NewReader(file).ReadAll()
	require.NoError(t, err)
	code := marginCode{name, map[marginFaults]map[string]string{}}
	for _, row := range rows[1:] {
		values := map[string]string{}
		for i, column := range rows[0] {
			values[column] = row[i]
		}
		code.cells[marginFaults{values["leader"], values["worker"], values["store"]}] = values
	}
	return code
}

// seconds formats milliseconds as seconds.
func seconds(ms string) string {
	n, _ := strconv.Atoi(ms) // written by strconv.FormatInt
	return strconv.FormatFloat(float64(n)/1000, 'f', 1, 64)
}

// marginTables returns the tables of all stores and codes.
func marginTables(codes []marginCode) string {
	var b strings.Builder
	b.WriteString("\n![Longest part of a wait in calm time](restart-margin.svg)\n\nEach field: median and longest time without a run, its longest part in calm time (s), the reason that held the longest one; in brackets the number of waits that break the rule.\n")
	for _, store := range marginStores {
		for _, code := range codes {
			fmt.Fprintf(&b, "\n### Store %s, %s\n\n| leader |", store, code.name)
			for _, worker := range marginWorkerKinds {
				fmt.Fprintf(&b, " %s |", worker)
			}
			b.WriteString("\n|---|" + strings.Repeat("---|", len(marginWorkerKinds)) + "\n")
			for _, leader := range marginLeaders {
				fmt.Fprintf(&b, "| %s |", leader)
				for _, worker := range marginWorkerKinds {
					fmt.Fprintf(&b, " %s |", marginField(code.cells[marginFaults{leader, worker, store}]))
				}
				b.WriteString("\n")
			}
		}
	}
	return b.String()
}

func marginField(v map[string]string) string {
	if v["lost"] == "0" {
		return "none lost"
	}
	text := fmt.Sprintf("%s / %s / %s %s", seconds(v["median_ms"]), seconds(v["longest_ms"]), seconds(v["calm_ms"]), v["reason"])
	if v["broken"] != "0" {
		text += " (**" + v["broken"] + "** of " + v["lost"] + ")"
	}
	return text
}

// Sizes of the plot in SVG units.
const (
	plotCellWidth, plotCellHeight = 44, 16
	plotLabelWidth                = 190
	plotHeadHeight                = 90
	plotStoreGap                  = 26
	plotCodeGap                   = 24
)

// marginSVG draws a field for each combination, coloured by the longest part of a wait in calm time, for
// each store below the other and each code beside the other.
func marginSVG(codes []marginCode) string {
	codeWidth := len(marginWorkerKinds)*plotCellWidth + plotCodeGap
	storeHeight := len(marginLeaders)*plotCellHeight + plotStoreGap
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`+"\n",
		plotLabelWidth+len(codes)*codeWidth, plotHeadHeight+len(marginStores)*storeHeight)
	b.WriteString("<title>Longest part in calm time of a lasting task's time without a run, in seconds</title>\n<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n")
	for c, code := range codes {
		left := plotLabelWidth + c*codeWidth
		fmt.Fprintf(&b, `<text x="%d" y="12" font-weight="bold">%s</text>`+"\n", left, code.name)
		for i, worker := range marginWorkerKinds {
			x := left + i*plotCellWidth + plotCellWidth/2
			fmt.Fprintf(&b, `<text transform="translate(%d,%d) rotate(-35)">%s</text>`+"\n", x, plotHeadHeight-4, worker)
		}
		for s, store := range marginStores {
			for l, leader := range marginLeaders {
				y := plotHeadHeight + s*storeHeight + l*plotCellHeight + plotStoreGap/2
				if c == 0 {
					fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">%s</text>`+"\n", plotLabelWidth-6, y+12, leader)
				}
				for i, worker := range marginWorkerKinds {
					drawMarginField(&b, left+i*plotCellWidth, y, code.cells[marginFaults{leader, worker, store}])
				}
			}
			if c == 0 {
				fmt.Fprintf(&b, `<text x="2" y="%d" font-weight="bold">store %s</text>`+"\n", plotHeadHeight+s*storeHeight+9, store)
			}
		}
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// Colours of the fields from 0 s of calm time up to plotBoundMS, and beyond.
var (
	marginColours = []string{"#f7fbff", "#deebf7", "#c6dbef", "#9ecae1", "#6baed6", "#4292c6"}
	plotOver      = "#e6a000"
	plotBroken    = "#d55e00"
)

// plotBoundMS is the calm time from which on a field counts as a finding.
const plotBoundMS = 6000

func drawMarginField(b *strings.Builder, x, y int, v map[string]string) {
	calm, _ := strconv.Atoi(v["calm_ms"]) // written by strconv.FormatInt
	colour := plotOver
	switch {
	case v["broken"] != "0":
		colour = plotBroken
	case calm < plotBoundMS:
		colour = marginColours[calm*len(marginColours)/plotBoundMS]
	}
	fmt.Fprintf(b, `<g><title>leader %s, worker %s, store %s: median %s, longest %s, calm %s s, %s</title>`, v["leader"], v["worker"], v["store"],
		seconds(v["median_ms"]), seconds(v["longest_ms"]), seconds(v["calm_ms"]), v["reason"])
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%d" height="%d" fill="%s"/>`, x, y, plotCellWidth-1, plotCellHeight-1, colour)
	text := seconds(v["calm_ms"])
	if v["lost"] == "0" {
		text = "–"
	}
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="middle">%s</text></g>`+"\n", x+plotCellWidth/2, y+12, text)
}
