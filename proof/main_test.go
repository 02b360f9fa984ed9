package proof

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"

	// The programs' packages, so that changes in them invalidate cached test results.
	_ "cowsliptally.example/cowsliptally/command"
	_ "cowsliptally.example/cowsliptally/standin/logservice/server"
)

var (
	// binaries is the directory of the programs under test.
	binaries string
	soak     = flag.Bool("soak", false, "run seeded schedules of pairs of faults until one fails or the count is reached")
	seed     = flag.Uint64("seed", 1, "seed of the load and of the schedules")
	count    = flag.Int("schedules", 40, "schedules of a soak")
)

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	flag.Parse()
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "proof:", err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	directory, err := os.MkdirTemp("", "cowsliptally-proof-")
	if err != nil {
		return 0, err
	}
	binaries = directory
	build := exec.Command("go", "build", "-o", directory+"/", "..", "../standin/...")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		return 0, err
	}
	code := m.Run()
	return code, os.RemoveAll(directory)
}
