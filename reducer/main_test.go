package reducer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// seed makes every run draw the same cases; -rapid.seed overrides it.
const seed = "1"

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
