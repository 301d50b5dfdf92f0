package load

import (
	"fmt"
	"image/color"
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

var (
	policyOnColour  = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
	policyOffColour = color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff}
)

// Summary holds the median, lowest and highest value of a metric over several runs.
type Summary struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	Runs   int     `json:"runs"`
}

// String returns the median, and the range in parentheses.
func (s Summary) String() string { return fmt.Sprintf("%.3g (%.3g-%.3g)", s.Median, s.Low, s.High) }

// Summarise summarises one metric of several runs. The median of an even number of runs is
// the higher of the two middle values.
func Summarise(runs []*Results, metric func(*Results) float64) Summary {
	if len(runs) == 0 {
		return Summary{}
	}
	list := make([]float64, len(runs))
	for i, m := range runs {
		list[i] = metric(m)
	}
	slices.Sort(list)
	return Summary{Median: list[len(list)/2], Low: list[0], High: list[len(list)-1], Runs: len(list)}
}

// Metric names one of the measures in Results and returns its value.
type Metric struct {
	Name  string
	Value func(*Results) float64
}

// Metrics lists the metrics that the load commands print.
var Metrics = []Metric{
	{"goodput, successful requests per second", func(m *Results) float64 { return m.Goodput }},
	{"goodput during triggers", func(m *Results) float64 { return m.TriggerGoodput }},
	{"recovery time after triggers, s (-1: never)", func(m *Results) float64 { return m.RecoverySeconds }},
	{"actions that succeeded, fraction", func(m *Results) float64 { return m.ActionSuccessFraction }},
	{"worst-served organisation, fraction of its fair share", func(m *Results) float64 { return m.WorstShareFraction }},
	{"refused for rate while within it, fraction", func(m *Results) float64 { return m.WrongRefusalFraction }},
}

// WriteGoodputPlot draws the median goodput of the runs of each policy over time, as SVG.
// Policy "on" has its own colour, all others share one.
func WriteGoodputPlot(out io.Writer, title string, byPolicy map[string][]*Results) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "successful requests per second"
	p.Y.Min = 0
	for policy, runs := range byPolicy {
		line, err := plotter.NewLine(medianGoodput(runs))
		if err != nil {
			return eris.Wrap(err, "draw goodput plot")
		}
		line.Color = policyOffColour
		if policy == "on" {
			line.Color = policyOnColour
		}
		p.Add(line)
		p.Legend.Add("policy "+policy, line)
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return eris.Wrap(err, "draw goodput plot")
	}
	_, err = writer.WriteTo(out)
	return eris.Wrap(err, "write goodput plot")
}

// medianGoodput returns the median goodput of each second; a run counts as 0 after its
// end.
func medianGoodput(runs []*Results) plotter.XYs {
	length := 0
	for _, m := range runs {
		length = max(length, len(m.SuccessesPerSecond))
	}
	points := make(plotter.XYs, length)
	for second := range points {
		summary := Summarise(runs, func(m *Results) float64 {
			if second < len(m.SuccessesPerSecond) {
				return m.SuccessesPerSecond[second]
			}
			return 0
		})
		points[second] = plotter.XY{X: float64(second), Y: summary.Median}
	}
	return points
}
