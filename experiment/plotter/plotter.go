// Package plotter draws the result of a run.
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
	// smooth is the number of steps that one point is averaged over.
	smooth = 4
)

// Plotter draws the share of traffic of backend servers with a fault.
type Plotter struct {
	result model.Result
}

// New returns a plotter of a result.
func New(result model.Result) Plotter {
	return Plotter{result: result}
}

// Write draws to a file; its ending gives the format, such as .svg.
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

// shares returns the points of the line.
func (p Plotter) shares() lines.XYs {
	trace := p.result.Trace
	fair := 1 / float64(p.result.Settings.Backends)
	var points lines.XYs
	for i := smooth; i <= len(trace.All); i += smooth {
		faulty, all := 0, 0
		for j := i - smooth; j < i; j++ {
			faulty += trace.Faulty[j]
			all += trace.All[j]
		}
		if all == 0 {
			continue
		}
		seconds := time.Duration(i-smooth/2) * trace.Step
		points = append(points, lines.XY{X: seconds.Seconds(), Y: float64(faulty) / float64(all) / fair})
	}
	return points
}

// addMark draws the begin of a fault in red, its end in green.
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
