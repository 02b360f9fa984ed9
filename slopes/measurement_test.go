package main

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestFitFindsLineAndBend(t *testing.T) {
	is := is.New(t)
	straight := measurement{name: "x", sizes: []float64{1, 2, 4, 8}, values: []float64{5, 7, 11, 19}}
	l := straight.fit()
	is.True(math.Abs(l.slope-2) < 1e-9)
	is.True(math.Abs(l.intercept-3) < 1e-9)
	is.True(l.slopeError < 1e-9)
	is.Equal(l.bend, 1.0)
	bent := measurement{name: "y", sizes: []float64{1, 2, 3, 4}, values: []float64{1, 2, 3, 8}}
	is.True(bent.fit().bend > 1)
	var text strings.Builder
	printTable(&text, "part", []measurement{straight})
	is.True(strings.Contains(text.String(), "1: 5, 2: 7, 4: 11, 8: 19"))
}
