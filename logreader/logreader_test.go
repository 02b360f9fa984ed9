package logreader_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"cowsliptally.example/cowsliptally/explainer"
	"cowsliptally.example/cowsliptally/logreader"
)

// Lines of two nodes in one stream must come out in causal order although the clock of
// one node is three seconds ahead.
func TestRequestInCausalOrder(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("testdata/nodes.log")
	is.NoErr(err)
	reader := logreader.New("a17c")
	is.NoErr(reader.Read(bytes.NewReader(content)))
	is.Equal(reader.Skipped(), 1)
	timeline := explainer.New("a17c", reader.Sources()).InCausalOrder()
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "timeline", []byte(timeline.Text()))
}

func TestStreamsThatCannotBeRead(t *testing.T) {
	is := is.New(t)
	reader := logreader.New("a17c")
	is.True(reader.Read(strings.NewReader(strings.Repeat("x", 2<<20))) != nil)
	is.NoErr(reader.Read(strings.NewReader("")))
	is.Equal(len(reader.Sources()), 0)
}
