package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

func TestBadInputIsOneLineAndExitCode2(t *testing.T) {
	for _, args := range [][]string{
		{"--scenario", "nothing"}, {"--policy", "nobody"}, {"--backends", "0"}, {"--rate", "-1"}, {"--hours", "x"},
		{"--errors", "2"}, {"--slow", "0.5"}, {"--unknown"}, {"surplus"}, {"--rate", "NaN"},
	} {
		is := is.New(t)
		var out, complaints bytes.Buffer
		is.Equal(run(args, &out, &complaints), exitBadInput)
		is.Equal(out.Len(), 0)
		is.Equal(strings.Count(complaints.String(), "\n"), 1)
	}
}

// TestSameSeedSameResult compares whole runs with those that were kept.
func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	var out, complaints bytes.Buffer
	for _, scenario := range []string{"slow", "errors", "stuck", "all-slow", "zone-link", "cold-start"} {
		for _, policy := range []string{"detect", "steady", "deviation"} {
			args := []string{"--scenario", scenario, "--policy", policy, "--hours", "0.1", "--backends", "6", "--seed", "3"}
			is.Equal(run(args, &out, &complaints), 0)
		}
	}
	is.Equal(complaints.String(), "")
	goldie.New(t).Assert(t, "runs", out.Bytes())
}
