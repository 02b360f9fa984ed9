// Package plotter plots the result of a run.
package plotter

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	lines "gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"cowsliptally.example/cowsliptally/experiment/model"
)

const (
	width  = 10 * vg.Inch
	height = 4 * vg.Inch
	// stepsPerPoint is the number of trace steps averaged into one point.
	stepsPerPoint = 4
)

// Plotter plots the share of traffic of backend servers with a fault over time.
type Plotter struct {
	result model.Result
}

// New returns a Plotter of a result.
func New(result model.Result) Plotter {
	return Plotter{result: result}
}

// Write writes the plot to a file; the file extension gives the format, such as .svg.
func (p Plotter) Write(path string) error {
	canvas := plot.New()
	s := p.result.Settings
	canvas.Title.Text = fmt.Sprintf("%s, %s, seed %d", s.Scenario, s.Policy, s.Seed)
	canvas.X.Label.Text = "time [s]"
	canvas.Y.Label.Text = "part of a fair share"
	shares, err := lines.NewLine(p.shares())
	if err != nil {
		return err
	}
	shares.Color = color.RGBA{R: 0x1f, G: 0x4e, B: 0x9e, A: 0xff}
	canvas.Add(shares)
	for i, mark := range p.result.Trace.Marks {
		if err := addMark(canvas, mark, i%2 == 0); err != nil {
			return err
		}
	}
	canvas.Y.Min = 0
	return canvas.Save(width, height, path)
}

// shares returns the traffic of backend servers with a fault, relative to the fair
// share of one.
func (p Plotter) shares() lines.XYs {
	trace := p.result.Trace
	fairShare := 1 / float64(p.result.Settings.Backends)
	var points lines.XYs
	for i := stepsPerPoint; i <= len(trace.All); i += stepsPerPoint {
		faulty, all := 0, 0
		for j := i - stepsPerPoint; j < i; j++ {
			faulty += trace.Faulty[j]
			all += trace.All[j]
		}
		if all == 0 {
			continue
		}
		seconds := time.Duration(i-stepsPerPoint/2) * trace.Step
		points = append(points, lines.XY{X: seconds.Seconds(), Y: float64(faulty) / float64(all) / fairShare})
	}
	return points
}

// addMark draws the beginning of a fault in red, its end in green.
func addMark(canvas *plot.Plot, at time.Duration, begin bool) error {
	line, err := lines.NewLine(lines.XYs{{X: at.Seconds(), Y: 0}, {X: at.Seconds(), Y: 1}})
	if err != nil {
		return err
	}
	line.Color = color.RGBA{G: 0x90, A: 0xff}
	if begin {
		line.Color = color.RGBA{R: 0xc0, A: 0xff}
	}
	canvas.Add(line)
	return nil
}
