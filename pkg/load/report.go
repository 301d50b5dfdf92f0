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
	policyColour = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
	otherColour  = color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff}
)

// Spread is the median of several runs with the lowest and the highest.
type Spread struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	Runs   int     `json:"runs"`
}

// String returns median and range.
func (s Spread) String() string { return fmt.Sprintf("%.3g (%.3g-%.3g)", s.Median, s.Low, s.High) }

// SpreadOf takes one figure out of several runs.
func SpreadOf(runs []*Measures, figure func(*Measures) float64) Spread {
	if len(runs) == 0 {
		return Spread{}
	}
	list := make([]float64, len(runs))
	for i, m := range runs {
		list[i] = figure(m)
	}
	slices.Sort(list)
	return Spread{Median: list[len(list)/2], Low: list[0], High: list[len(list)-1], Runs: len(list)}
}

// Figure is one of the measures with its name.
type Figure struct {
	Name string
	Of   func(*Measures) float64
}

// Figures lists the measures that comparisons show.
var Figures = []Figure{
	{"goodput, whole requests a second", func(m *Measures) float64 { return m.Goodput }},
	{"goodput while triggers last", func(m *Measures) float64 { return m.DuringTrigger }},
	{"recovery after the triggers, s (-1: never)", func(m *Measures) float64 { return m.RecoverySeconds }},
	{"actions that succeeded, part", func(m *Measures) float64 { return m.ActionsWhole }},
	{"worst-served organisation, part of its due", func(m *Measures) float64 { return m.WorstShare }},
	{"refused within the rate, part", func(m *Measures) float64 { return m.WronglyRefused }},
}

// WriteTimeline draws the goodput of runs over time as SVG, one colour a policy.
func WriteTimeline(out io.Writer, title string, byPolicy map[string][]*Measures) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "whole requests a second"
	p.Y.Min = 0
	for policy, runs := range byPolicy {
		line, err := plotter.NewLine(medianTimeline(runs))
		if err != nil {
			return eris.Wrap(err, "draw timeline")
		}
		line.Color = otherColour
		if policy == "on" {
			line.Color = policyColour
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

func medianTimeline(runs []*Measures) plotter.XYs {
	length := 0
	for _, m := range runs {
		length = max(length, len(m.Timeline))
	}
	points := make(plotter.XYs, length)
	for second := range points {
		spread := SpreadOf(runs, func(m *Measures) float64 {
			if second < len(m.Timeline) {
				return m.Timeline[second]
			}
			return 0
		})
		points[second] = plotter.XY{X: float64(second), Y: spread.Median}
	}
	return points
}
