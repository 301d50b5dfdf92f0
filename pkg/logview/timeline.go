package logview

import (
	"cmp"
	"image/color"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/plantainramp/plantainramp/pkg/requesttrace"
)

const (
	plotWidth   = 24 * vg.Centimeter
	plotHeight  = 27 * vg.Centimeter
	panels      = 3
	mostCurves  = 8
	millisecond = 1e-3
)

// colours of curves, told apart by people who see colours differently too.
var colours = []color.Color{
	color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	color.RGBA{G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{A: 0xff},
	color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
}

// NoLinesError reports that no line of the window has a time.
type NoLinesError struct{}

// Error implements error.
func (*NoLinesError) Error() string {
	return "no line in the window tells its time; widen --from and --until, or name other logs"
}

// Timeline sums up lines second by second: refusals by reason, fullness of
// services, age of the configuration. Its zero value works.
type Timeline struct {
	first, last time.Time
	refused     map[string]map[int64]float64
	fullness    map[string]map[int64]float64
	age         map[int64]float64
}

// Take adds a line.
func (t *Timeline) Take(l requesttrace.LogLine) {
	at, ok := l.Timestamp()
	if !ok {
		return
	}
	if t.refused == nil {
		t.refused, t.fullness, t.age = map[string]map[int64]float64{}, map[string]map[int64]float64{}, map[int64]float64{}
		t.first, t.last = at, at
	}
	if at.Before(t.first) {
		t.first = at
	}
	if at.After(t.last) {
		t.last = at
	}
	second := at.Unix()
	if l.Message == "request refused" || l.Message == "request lost" {
		note(t.refused, l.StringField("reason"), second, func(old float64) float64 { return old + 1 })
	}
	if age, has := l.NumberField("configAgeMs"); has {
		t.age[second] = max(t.age[second], age*millisecond)
	}
	if l.Message == requesttrace.AdmissionPlanMessage {
		services, _ := l.Fields["fullness"].(map[string]any)
		for name, value := range services {
			full, _ := value.(float64)
			note(t.fullness, name, second, func(old float64) float64 { return max(old, full) })
		}
	}
}

func note(curves map[string]map[int64]float64, name string, second int64, change func(float64) float64) {
	if curves[name] == nil {
		curves[name] = map[int64]float64{}
	}
	curves[name][second] = change(curves[name][second])
}

// Empty tells that no line with a time was taken in.
func (t *Timeline) Empty() bool { return t.refused == nil }

// Write draws the timeline as SVG. It returns *NoLinesError where there is nothing to draw.
func (t *Timeline) Write(out io.Writer) error {
	if t.Empty() {
		return &NoLinesError{}
	}
	ages := map[string]map[int64]float64{"oldest": t.age}
	plots := [][]*plot.Plot{
		{t.panel("refused and lost requests a second, by reason", t.refused, true)},
		{t.panel("fullness of services, calls by slots, while classes are held back", t.fullness, false)},
		{t.panel("age of the configuration that requests were decided by, s", ages, false)},
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: panels, Cols: 1, PadY: vg.Centimeter / 2}
	areas := plot.Align(plots, tiles, draw.New(canvas))
	for i := range plots {
		plots[i][0].Draw(areas[i][0])
	}
	_, err := canvas.WriteTo(out)
	return eris.Wrap(err, "write timeline")
}

// panel draws the highest curves. Seconds without a value count as 0, or are
// left out.
func (t *Timeline) panel(title string, curves map[string]map[int64]float64, zeros bool) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds from " + t.first.UTC().Format(time.RFC3339)
	p.X.Min, p.X.Max, p.Y.Min = 0, max(1, t.last.Sub(t.first).Seconds()), 0
	p.Legend.Top = true
	for i, name := range highest(curves) {
		points := t.points(curves[name], zeros)
		line, err := plotter.NewLine(points)
		if err != nil {
			// Only curves without points cannot be drawn, and they have none to show.
			continue
		}
		line.Color = colours[i%len(colours)]
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return p
}

func (t *Timeline) points(curve map[int64]float64, zeros bool) plotter.XYs {
	var points plotter.XYs
	from := t.first.Unix()
	for second := from; second <= t.last.Unix(); second++ {
		if value, has := curve[second]; has || zeros {
			points = append(points, plotter.XY{X: float64(second - from), Y: value})
		}
	}
	return points
}

// highest returns the names of the curves with the highest sums.
func highest(curves map[string]map[int64]float64) []string {
	sums := map[string]float64{}
	var names []string
	for name, curve := range curves {
		names = append(names, name)
		for _, value := range curve {
			sums[name] += value
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(sums[b], sums[a]), cmp.Compare(a, b))
	})
	return names[:min(len(names), mostCurves)]
}

// String tells what time was taken in.
func (t *Timeline) String() string {
	return t.last.Sub(t.first).Round(time.Millisecond).String() + " from " + t.first.UTC().Format(time.RFC3339)
}
