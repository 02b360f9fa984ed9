package indexer_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/indexer"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

type entry struct {
	name  string
	value int
}

func (e entry) Key() string { return e.name }

func check(t *rapid.T, index indexer.Index[string, entry], want map[string]int) {
	got := map[string]int{}
	for e := range index.All() {
		got[e.name] = e.value
	}
	if !maps.Equal(got, want) || index.Len() != len(want) {
		t.Fatalf("index with Len %d holds %v, want %v", index.Len(), got, want)
	}
	for name, value := range want {
		if e, found := index.Get(name); !found || e.value != value {
			t.Fatalf("Get(%q) returned %v, want value %d", name, e, value)
		}
	}
	if _, found := index.Get("absent"); found {
		t.Fatal("the index holds a key that was never added")
	}
}

func TestIndexMatchesMapAndOldVersionsAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var index, old indexer.Index[string, entry]
		want, oldWant := map[string]int{}, map[string]int{}
		keys := rapid.IntRange(1, 400).Draw(t, "keys")
		for step := range rapid.IntRange(1, 600).Draw(t, "steps") {
			name := strconv.Itoa(rapid.IntRange(0, keys).Draw(t, "name"))
			if rapid.IntRange(0, 3).Draw(t, "operation") > 0 {
				index = index.With(entry{name: name, value: step})
				want[name] = step
			} else {
				index = index.Without(name)
				delete(want, name)
			}
			if step%50 == 0 {
				check(t, old, oldWant)
				old, oldWant = index, maps.Clone(want)
			}
		}
		check(t, index, want)
		check(t, old, oldWant)
		values := slices.Collect(index.All())
		built := indexer.FromValues(append(values, values...))
		check(t, built, want)
		check(t, built.With(entry{name: "more"}).Without("more"), want)
	})
}
