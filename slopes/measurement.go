package main

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// measurement holds a cost measured at several sizes.
type measurement struct {
	// name describes what is measured, such as "roster, nodes"; per is what the size
	// counts.
	name, per string
	// unit is the unit of the values.
	unit   string
	sizes  []float64
	values []float64
}

// add appends one point.
func (m *measurement) add(size, value float64) {
	m.sizes = append(m.sizes, size)
	m.values = append(m.values, value)
}

// line is a straight line fitted to a measurement.
type line struct {
	slope, intercept float64
	// slopeError is the standard error of the slope.
	slopeError float64
	// bend is the ratio of the slope over the upper half of the sizes to that over the
	// lower half; it is 1 for a straight line, flat ones included.
	bend float64
}

// fit returns the least-squares line.
func (m measurement) fit() line {
	intercept, slope := stat.LinearRegression(m.sizes, m.values, nil, false)
	mean := stat.Mean(m.sizes, nil)
	var residuals, squares float64
	for i, size := range m.sizes {
		residual := m.values[i] - intercept - slope*size
		residuals += residual * residual
		squares += (size - mean) * (size - mean)
	}
	degreesOfFreedom := float64(len(m.sizes) - 2)
	return line{
		slope:      slope,
		intercept:  intercept,
		slopeError: math.Sqrt(residuals / degreesOfFreedom / squares),
		bend:       m.bend(),
	}
}

// bend returns the ratio of the slopes over the upper and the lower half of the sizes.
func (m measurement) bend() float64 {
	middle := len(m.sizes) / 2
	lower, upper := m.slopeBetween(0, middle), m.slopeBetween(middle, len(m.sizes)-1)
	if lower == upper {
		return 1
	}
	return upper / lower
}

// slopeBetween returns the slope between two points.
func (m measurement) slopeBetween(from, to int) float64 {
	return (m.values[to] - m.values[from]) / (m.sizes[to] - m.sizes[from])
}
