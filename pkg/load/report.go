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

// Summary is the median of several runs with the lowest and the highest.
type Summary struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	Runs   int     `json:"runs"`
}

// String returns median and range.
func (s Summary) String() string { return fmt.Sprintf("%.3g (%.3g-%.3g)", s.Median, s.Low, s.High) }

// Summarise takes one figure out of several runs.
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

// Metric is one of the measures with its name.
type Metric struct {
	Name  string
	Value func(*Results) float64
}

// Metrics lists the measures that comparisons show.
var Metrics = []Metric{
	{"goodput, whole requests a second", func(m *Results) float64 { return m.Goodput }},
	{"goodput while triggers last", func(m *Results) float64 { return m.TriggerGoodput }},
	{"recovery after the triggers, s (-1: never)", func(m *Results) float64 { return m.RecoverySeconds }},
	{"actions that succeeded, part", func(m *Results) float64 { return m.ActionSuccessFraction }},
	{"worst-served organisation, part of its due", func(m *Results) float64 { return m.WorstShareFraction }},
	{"refused within the rate, part", func(m *Results) float64 { return m.WrongRefusalFraction }},
}

// WriteGoodputPlot draws the goodput of runs over time as SVG, one colour a policy.
func WriteGoodputPlot(out io.Writer, title string, byPolicy map[string][]*Results) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "whole requests a second"
	p.Y.Min = 0
	for policy, runs := range byPolicy {
		line, err := plotter.NewLine(medianGoodput(runs))
		if err != nil {
			return eris.Wrap(err, "draw timeline")
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
		return eris.Wrap(err, "draw timeline")
	}
	_, err = writer.WriteTo(out)
	return eris.Wrap(err, "write timeline")
}

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
