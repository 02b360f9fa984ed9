package stepper_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// stripping finds calls that drop or write out the monotonic reading of a time, or that make a
// time from a stored one. Times from elsewhere are compared by the time of day.
var stripping = regexp.MustCompile(`\.(UnixMilli|UnixMicro|UnixNano|Unix|AsTime|MarshalText|MarshalBinary|UnixTime|Truncate|AddDate)\(|\.Round\(0\)|time\.(Unix|UnixMilli|Date|Parse)\(|timestamppb`)

// uses lists the files of the product that rely on the time of day. docs/design/clocks.md says
// for each what a step does to it, and which test steps its clock.
var uses = map[string]int{
	"acceptor/conn.go":                  1,
	"command/history.go":                1,
	"configurator/configurator.go":      1,
	"deduplicator/key.go":               2,
	"logreader/logreader.go":            1,
	"platform/finder/finder.go":         2,
	"platform/receiver/announcement.go": 1,
	"platform/receiver/receiver.go":     1,
	"pooler/upload.go":                  1,
	"replicator/pausedetector.go":       2,
	"translator/event.go":               2,
}

// TestUsesOfTheTimeOfDayAreListed guards against a bound that begins to rely on the time of day.
func TestUsesOfTheTimeOfDayAreListed(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/design/clocks.md")
	is.NoErr(err)
	found := make(map[string]int)
	is.NoErr(filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		path = strings.TrimPrefix(path, "../")
		if err != nil || entry.IsDir() {
			if isTool(path) {
				return filepath.SkipDir
			}
			return err
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		content, err := os.ReadFile(filepath.Join("..", path))
		if err != nil {
			return err
		}
		if count := len(stripping.FindAll(content, -1)); count > 0 {
			found[path] = count
		}
		return nil
	}))
	is.Equal(found, uses)
	for path := range uses {
		is.True(strings.Contains(string(page), "`"+path+"`"))
	}
}

// isTool reports whether a directory holds no part of the program.
func isTool(path string) bool {
	switch path {
	case ".git", "gen", "harness", "tools", "experiment", "slopes", "demo", "review", "standin", "platform/standin", "stepper":
		return true
	}
	return false
}
