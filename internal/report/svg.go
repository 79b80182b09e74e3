package report

import (
	"math"
	"strconv"
	"strings"
)

// Size of a plot in SVG units.
const (
	plotWidth    = 760.0
	plotHeight   = 300.0
	marginLeft   = 70.0
	marginRight  = 15.0
	marginTop    = 12.0
	marginBottom = 44.0
)

const (
	// tickCount is the desired number of ticks on an axis.
	tickCount = 6
	// maxPoints limits the drawn points of a series. More points cannot be distinguished at
	// this size.
	maxPoints = 1200
	// maxMarked is the largest number of points in a series that are drawn with marks.
	maxMarked = 60
)

// seriesStyle is the colour and dash pattern of a line. Dash patterns distinguish the lines in
// a print without colours.
type seriesStyle struct{ Color, Dash string }

// seriesStyles are used in turn. The colours can be distinguished with common forms of colour
// blindness.
var seriesStyles = []seriesStyle{
	{"#0072b2", ""}, {"#d55e00", "7 3"}, {"#009e73", "2 3"}, {"#cc79a7", "9 3 2 3"}, {"#e69f00", "4 2"}, {"#56b4e9", "1 2"},
}

// drawing is a plot in the form that the template needs.
type drawing struct {
	Title, XLabel, YLabel string
	Width, Height         float64
	Left, Right           float64
	Top, Bottom           float64
	XTicks, YTicks        []tick
	Lines                 []line
}

// tick is a mark on an axis.
type tick struct {
	At    float64
	Label string
}

// line is a series in the form that the template needs.
type line struct {
	Name string
	seriesStyle
	// Parts holds the uninterrupted parts of the line as values of the SVG points attribute.
	Parts []string
	Marks []mark
}

// mark is a marked point with its tooltip text.
type mark struct {
	X, Y  float64
	Label string
}

// bounds is the value range of both axes.
type bounds struct{ minX, maxX, minY, maxY float64 }

// draw computes the layout of a plot.
func draw(p Plot) drawing {
	b := boundsOf(p)
	xTicks, yTicks := niceTicks(b.minX, b.maxX), niceTicks(b.minY, b.maxY)
	b.minY, b.maxY = yTicks[0], yTicks[len(yTicks)-1]
	d := drawing{
		Title: p.Title, XLabel: p.XLabel, YLabel: p.YLabel, Width: plotWidth, Height: plotHeight,
		Left: marginLeft, Right: plotWidth - marginRight, Top: marginTop, Bottom: plotHeight - marginBottom,
	}
	for _, x := range xTicks {
		if x >= b.minX && x <= b.maxX {
			d.XTicks = append(d.XTicks, tick{b.x(x), format(Value(x))})
		}
	}
	for _, y := range yTicks {
		d.YTicks = append(d.YTicks, tick{b.y(y), format(Value(y))})
	}
	for i, s := range p.Series {
		d.Lines = append(d.Lines, layoutSeries(s, seriesStyles[i%len(seriesStyles)], b))
	}
	return d
}

// boundsOf returns the value range of a plot. The vertical axis includes 0, so that
// differences appear in proportion.
func boundsOf(p Plot) bounds {
	b := bounds{minX: math.Inf(1), maxX: math.Inf(-1)}
	for _, s := range p.Series {
		for _, point := range s.Points {
			if point.X.IsMissing() || point.Y.IsMissing() {
				continue
			}
			b.minX, b.maxX = min(b.minX, float64(point.X)), max(b.maxX, float64(point.X))
			b.minY, b.maxY = min(b.minY, float64(point.Y)), max(b.maxY, float64(point.Y))
		}
	}
	if b.minX > b.maxX {
		b.minX, b.maxX = 0, 1
	}
	if b.minX == b.maxX {
		b.maxX = b.minX + 1
	}
	if b.minY == b.maxY {
		b.maxY = b.minY + 1
	}
	return b
}

// x returns the horizontal position of a value.
func (b bounds) x(v float64) float64 {
	return roundCoordinate(marginLeft + (v-b.minX)/(b.maxX-b.minX)*(plotWidth-marginLeft-marginRight))
}

// y returns the vertical position of a value.
func (b bounds) y(v float64) float64 {
	return roundCoordinate(plotHeight - marginBottom - (v-b.minY)/(b.maxY-b.minY)*(plotHeight-marginTop-marginBottom))
}

// roundCoordinate rounds to one decimal, which is finer than a pixel.
func roundCoordinate(v float64) float64 { return math.Round(v*10) / 10 }

// niceTicks returns ticks that cover the range from low to high, at multiples of 1, 2 or 5
// times a power of ten.
func niceTicks(low, high float64) []float64 {
	rough := (high - low) / tickCount
	power := math.Pow(10, math.Floor(math.Log10(rough)))
	step := 10 * power
	for _, factor := range []float64{1, 2, 5} {
		if factor*power >= rough {
			step = factor * power
			break
		}
	}
	var ticks []float64
	first, last := math.Floor(low/step), math.Ceil(high/step)
	for i := first; i <= last; i++ {
		ticks = append(ticks, i*step)
	}
	return ticks
}

// layoutSeries computes the positions of the points of a series.
func layoutSeries(s Series, style seriesStyle, b bounds) line {
	out := line{Name: s.Name, seriesStyle: style}
	var part []string
	flush := func() {
		if len(part) > 0 {
			out.Parts = append(out.Parts, strings.Join(part, " "))
		}
		part = nil
	}
	points := downsample(s.Points)
	for _, p := range points {
		if p.X.IsMissing() || p.Y.IsMissing() {
			flush()
			continue
		}
		x, y := b.x(float64(p.X)), b.y(float64(p.Y))
		part = append(part, formatCoordinate(x)+","+formatCoordinate(y))
		if len(points) <= maxMarked {
			out.Marks = append(out.Marks, mark{x, y, s.Name + ": " + format(p.X) + ", " + format(p.Y)})
		}
	}
	flush()
	return out
}

// formatCoordinate formats a coordinate without trailing zeros.
func formatCoordinate(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// downsample reduces a long series to the lowest and the highest point of each of many equal
// parts, so that peaks remain visible.
func downsample(points []Point) []Point {
	if len(points) <= maxPoints {
		return points
	}
	const parts = maxPoints / 2
	out := make([]Point, 0, maxPoints)
	for i := range parts {
		out = append(out, extremes(points[i*len(points)/parts:(i+1)*len(points)/parts])...)
	}
	return out
}

// extremes returns the lowest and the highest point of a part in their order. For a part
// without values it returns the first point, which interrupts the line.
func extremes(part []Point) []Point {
	low, high := -1, -1
	for i, p := range part {
		if p.Y.IsMissing() {
			continue
		}
		if low < 0 || p.Y < part[low].Y {
			low = i
		}
		if high < 0 || p.Y > part[high].Y {
			high = i
		}
	}
	switch {
	case low < 0:
		return part[:1]
	case low == high:
		return []Point{part[low]}
	case low < high:
		return []Point{part[low], part[high]}
	}
	return []Point{part[high], part[low]}
}
