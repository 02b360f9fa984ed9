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
		var stdout, stderr bytes.Buffer
		is.Equal(run(args, &stdout, &stderr), exitBadInput)
		is.Equal(stdout.Len(), 0)
		is.Equal(strings.Count(stderr.String(), "\n"), 1)
	}
}

// TestSameSeedSameResult compares the output of whole runs with the golden file.
func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	var stdout, stderr bytes.Buffer
	for _, scenario := range []string{"slow", "errors", "stuck", "all-slow", "zone-link", "cold-start"} {
		for _, policy := range []string{"detect", "steady", "deviation"} {
			args := []string{"--scenario", scenario, "--policy", policy, "--hours", "0.1", "--backends", "6", "--seed", "3"}
			is.Equal(run(args, &stdout, &stderr), 0)
		}
	}
	is.Equal(stderr.String(), "")
	goldie.New(t).Assert(t, "runs", stdout.Bytes())
}
