package command

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

func TestWrongInputExitsWithOneLine(t *testing.T) {
	node := []string{"node", "--caller-address=127.0.0.1:1", "--peer-address=127.0.0.1:2", "--log=http://127.0.0.1:3"}
	cases := []struct {
		arguments []string
		wants     []string
	}{
		{[]string{"node"}, []string{"--caller-address", "--zone"}},
		{[]string{"nod"}, []string{"nod", `"node"`}},
		{append(node, "--zone=A"), []string{"--zone", `"A"`, "expected"}},
		{append(node, "--zone=a", "--timeout=x"), []string{"--timeout", `"x"`}},
		{append(node, "--zone=a", "--peers=here"), []string{"--peers", `"here"`, "IP number"}},
		{[]string{"apply", "absent.yaml"}, []string{"absent.yaml"}},
	}
	for _, c := range cases {
		is := is.New(t)
		var out, errs bytes.Buffer
		is.Equal(Main(c.arguments, &out, &errs), exitInput)
		line := errs.String()
		is.Equal(strings.Count(line, "\n"), 1) // one line
		for _, want := range c.wants {
			if !strings.Contains(line, want) {
				t.Errorf("%v: line %q lacks %q", c.arguments, line, want)
			}
		}
	}
}

func TestUnreachableNodeIsNamed(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	is.Equal(Main([]string{"--address=127.0.0.1:1", "export"}, &out, &errs), exitUnavailable)
	is.True(strings.Contains(errs.String(), "127.0.0.1:1"))
}

// TestManualPage compares the page in man with what the program prints; -update writes it.
func TestManualPage(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.Equal(Main([]string{"manual"}, &out, &out), 0)
	golden := goldie.New(t, goldie.WithFixtureDir("../man"), goldie.WithNameSuffix(".1"))
	golden.Assert(t, "cowsliptally", out.Bytes())
}
