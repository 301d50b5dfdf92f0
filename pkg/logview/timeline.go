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
	plotWidth             = 24 * vg.Centimeter
	plotHeight            = 27 * vg.Centimeter
	panelCount            = 3
	maxCurves             = 8
	secondsPerMillisecond = 1e-3
)

// curveColours is a palette that colour-blind readers can tell apart.
var curveColours = []color.Color{
	color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	color.RGBA{G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{A: 0xff},
	color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
}

// NoLinesError reports that there is nothing to draw, because no selected line has a
// valid time.
type NoLinesError struct{}

// Error implements error.
func (*NoLinesError) Error() string {
	return "no selected log line has a valid time; widen --from and --until, or name other log files"
}

// Timeline aggregates log lines by second: refusals by reason, fullness of services,
// age of the configuration. Its zero value is empty and ready for use; it is not safe for
// concurrent use.
type Timeline struct {
	// firstTime and lastTime are valid once refusedByReason is set.
	firstTime, lastTime time.Time
	// refusedByReason counts refused and lost requests by reason and Unix second. It is
	// nil until a line with a valid time was added.
	refusedByReason map[string]map[int64]float64
	// fullnessByService holds the highest fullness by service and Unix second.
	fullnessByService map[string]map[int64]float64
	// configAgeSeconds holds the highest age by Unix second.
	configAgeSeconds map[int64]float64
}

// Add adds a line. It ignores lines without a valid time.
func (t *Timeline) Add(line requesttrace.LogLine) {
	at, ok := line.Timestamp()
	if !ok {
		return
	}
	if t.refusedByReason == nil {
		t.refusedByReason, t.fullnessByService, t.configAgeSeconds = map[string]map[int64]float64{}, map[string]map[int64]float64{}, map[int64]float64{}
		t.firstTime, t.lastTime = at, at
	}
	if at.Before(t.firstTime) {
		t.firstTime = at
	}
	if at.After(t.lastTime) {
		t.lastTime = at
	}
	second := at.Unix()
	if line.Message == "request refused" || line.Message == "request lost" {
		updateCurve(t.refusedByReason, line.StringField("reason"), second, func(old float64) float64 { return old + 1 })
	}
	if age, has := line.NumberField("configAgeMs"); has {
		t.configAgeSeconds[second] = max(t.configAgeSeconds[second], age*secondsPerMillisecond)
	}
	if line.Message == requesttrace.AdmissionPlanMessage {
		services, _ := line.Fields["fullness"].(map[string]any)
		for name, value := range services {
			full, _ := value.(float64)
			updateCurve(t.fullnessByService, name, second, func(old float64) float64 { return max(old, full) })
		}
	}
}

// updateCurve replaces the value of a curve at a second by update of it; a missing value
// counts as 0.
func updateCurve(curves map[string]map[int64]float64, name string, second int64, update func(float64) float64) {
	if curves[name] == nil {
		curves[name] = map[int64]float64{}
	}
	curves[name][second] = update(curves[name][second])
}

// Empty reports whether no line with a valid time was added.
func (t *Timeline) Empty() bool { return t.refusedByReason == nil }

// Write draws the timeline as SVG. It returns *NoLinesError if the timeline is empty.
func (t *Timeline) Write(out io.Writer) error {
	if t.Empty() {
		return &NoLinesError{}
	}
	ages := map[string]map[int64]float64{"oldest": t.configAgeSeconds}
	plots := [][]*plot.Plot{
		{t.newPanel("refused and lost requests per second, by reason", t.refusedByReason, true)},
		{t.newPanel("fullness of services (calls / slots) while classes are admitted in part", t.fullnessByService, false)},
		{t.newPanel("age of the configuration used to decide on requests, s", ages, false)},
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: panelCount, Cols: 1, PadY: vg.Centimeter / 2}
	areas := plot.Align(plots, tiles, draw.New(canvas))
	for i := range plots {
		plots[i][0].Draw(areas[i][0])
	}
	_, err := canvas.WriteTo(out)
	return eris.Wrap(err, "write timeline")
}

// newPanel plots the maxCurves curves with the highest sums. Seconds without a value
// count as 0 if zeroFill is set, and are omitted otherwise.
func (t *Timeline) newPanel(title string, curves map[string]map[int64]float64, zeroFill bool) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds from " + t.firstTime.UTC().Format(time.RFC3339)
	p.X.Min, p.X.Max, p.Y.Min = 0, max(1, t.lastTime.Sub(t.firstTime).Seconds()), 0
	p.Legend.Top = true
	for i, name := range highestCurves(curves) {
		points := t.points(curves[name], zeroFill)
		line, err := plotter.NewLine(points)
		if err != nil {
			// plotter rejects a curve without points, which has nothing to show.
			continue
		}
		line.Color = curveColours[i%len(curveColours)]
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return p
}

func (t *Timeline) points(curve map[int64]float64, zeroFill bool) plotter.XYs {
	var points plotter.XYs
	start := t.firstTime.Unix()
	for second := start; second <= t.lastTime.Unix(); second++ {
		if value, has := curve[second]; has || zeroFill {
			points = append(points, plotter.XY{X: float64(second - start), Y: value})
		}
	}
	return points
}

// highestCurves returns the names of the maxCurves curves with the highest sums, highest
// first.
func highestCurves(curves map[string]map[int64]float64) []string {
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
	return names[:min(len(names), maxCurves)]
}

// String returns the length and the start of the period covered.
func (t *Timeline) String() string {
	return t.lastTime.Sub(t.firstTime).Round(time.Millisecond).String() + " from " + t.firstTime.UTC().Format(time.RFC3339)
}
