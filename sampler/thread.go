package sampler

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"cowsliptally.example/cowsliptally/fault"
)

// thread holds the processor times of a thread since it began.
type thread struct {
	ran, waited time.Duration
}

// readThreads returns the threads of a process by their identifiers; none once it has ended.
func readThreads(directory string, process int) (map[string]thread, error) {
	tasks := filepath.Join(directory, strconv.Itoa(process), "task")
	entries, err := os.ReadDir(tasks)
	if err != nil && !hasEnded(err) {
		return nil, err
	}
	threads := make(map[string]thread, len(entries))
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(tasks, entry.Name(), "schedstat"))
		if hasEnded(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if threads[entry.Name()], err = parseThread(string(content)); err != nil {
			return nil, err
		}
	}
	return threads, nil
}

// hasEnded reports whether a read failed because its process or thread has ended.
func hasEnded(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH)
}

// parseThread parses the content of a schedstat file.
func parseThread(content string) (thread, error) {
	var ran, waited, slices int64
	if _, err := fmt.Sscan(content, &ran, &waited, &slices); err != nil {
		return thread{}, fault.New("read thread", KindFormat, "%q: %w", content, err)
	}
	return thread{ran: time.Duration(ran), waited: time.Duration(waited)}, nil
}
