package matcher_test

import (
	"fmt"
	"os"
	"testing"

	"flag"

	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/matcher"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	fmt.Println("rapid seed 7")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// rank returns the precedence of a matching route: by length of its prefix, then with a
// host, then with a method.
func rank(r fleet.Route) [3]int {
	score := [3]int{len(r.PathPrefix), min(1, len(r.Host)), min(1, len(r.Method))}
	return score
}

// TestFindsTheLongestRoute guards against a route that the index misses or ranks
// wrongly; it compares the index with a scan over all routes.
func TestFindsTheLongestRoute(t *testing.T) {
	word := func(choices ...string) *rapid.Generator[string] { return rapid.SampledFrom(choices) }
	rapid.Check(t, func(t *rapid.T) {
		configuration := fleet.Configuration{}.WithRevision(1)
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			configuration = configuration.WithRoute(fleet.Route{
				Name:       fmt.Sprint("r", i),
				Service:    fleet.ServiceName(word("ledger", "intake").Draw(t, "service")),
				Host:       word("", "h").Draw(t, "host"),
				Method:     word("", "GET", "POST").Draw(t, "method"),
				PathPrefix: word("", "/", "/a", "/a/b", "/b").Draw(t, "prefix"),
			})
		}
		service := fleet.ServiceName(word("", "ledger").Draw(t, "service"))
		host, method := word("h", "i").Draw(t, "host"), word("GET", "PUT").Draw(t, "method")
		path := word("/", "/a", "/a/b/c", "/c").Draw(t, "path")

		got, found := matcher.New(configuration).Match(service, host, method, path)
		best, exists := fleet.Route{}, false
		for _, r := range configuration.Routes() {
			matches := r.Matches(host, method, path) && (service == "" || r.Service == service)
			if matches && (!exists || greater(rank(r), rank(best))) {
				best, exists = r, true
			}
		}
		if found != exists || got != best {
			t.Fatalf("got %v, want %v", got, best)
		}
	})
}

func greater(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] > b[i]
		}
	}
	return false
}
