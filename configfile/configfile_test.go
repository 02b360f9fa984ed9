package configfile_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/configfile"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

func wanted(t *testing.T) *cowsliptallyv1.Configuration {
	t.Helper()
	data, err := os.ReadFile("testdata/fleet.yaml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := configfile.Decode("fleet.yaml", data)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func current() *cowsliptallyv1.Configuration {
	return &cowsliptallyv1.Configuration{
		Revision:  7,
		Services:  []*cowsliptallyv1.Service{{Name: "ledger", MinHealthySlots: 4, Rule: &cowsliptallyv1.TrustRule{Lean: "detect"}}, {Name: "old", Rule: &cowsliptallyv1.TrustRule{}}},
		Routes:    []*cowsliptallyv1.Route{{Name: "gone", Service: "old", PathPrefix: "/"}},
		Overrides: []*cowsliptallyv1.Override{{Backend: "b1", Decision: "out"}},
	}
}

func TestDescribeMatchesGoldenFile(t *testing.T) {
	text := configfile.Describe(current(), configfile.Diff(current(), wanted(t), configfile.Prune))
	goldie.New(t).Assert(t, "diff", []byte(text))
}

func TestOverridesAreNeverPruned(t *testing.T) {
	is := is.New(t)
	for _, change := range configfile.Diff(current(), wanted(t), configfile.Prune) {
		is.Equal(change.GetDeleteOverride(), "")
	}
	is.Equal(len(configfile.Diff(wanted(t), wanted(t), configfile.Prune)), 0)
}

func TestEncodedFileDecodesToSame(t *testing.T) {
	is := is.New(t)
	data, err := configfile.Encode(current())
	is.NoErr(err)
	read, err := configfile.Decode("export", data)
	is.NoErr(err)
	is.True(proto.Equal(read, current()))
}

func TestErrorsShowPosition(t *testing.T) {
	for text, part := range map[string]string{
		"services: [{name: a}, {name: a}]":             `service "a" twice`,
		"servces: []":                                  `f.yaml:1:1 unknown field "servces"`,
		"services: [{name: a, min_healthy_slots: -1}]": "f.yaml:1",
	} {
		_, err := configfile.Decode("f.yaml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("%s: error %v, want one with %q", text, err, part)
		}
	}
}
