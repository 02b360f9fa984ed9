package recorder_test

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/recorder"
	"cowsliptally.example/cowsliptally/spooler"
)

// BenchmarkRequestEvent records the event of an ordinary request with and without a log.
func BenchmarkRequestEvent(b *testing.B) {
	event := fleet.NewEvent(fleet.EventRequest, "41ff88071251d6af", "200",
		fleet.Figure{Name: "revision", Value: 13},
		fleet.Milliseconds("took", 312*time.Millisecond),
		fleet.Milliseconds("left", 2688*time.Millisecond)).
		WithService("ledger").
		WithDetail("r-2axnxvy: glance i-3113671523~1788664018037@sidecar-yongin-7-b6425144 200 310ms ran 309ms")
	clock := clockwork.NewRealClock()
	lines, stop := spooler.Start(io.Discard, clock, metrics.NewRegistry())
	defer func() {
		if err := stop(); err != nil {
			b.Error(err)
		}
	}()
	logger := log.NewWithOptions(lines, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	loggers := map[string][]recorder.Option{"off": nil, "on": {recorder.WithLogger(logger)}}
	for _, name := range []string{"off", "on"} {
		b.Run(name, func(b *testing.B) {
			r := recorder.New("n1", append(loggers[name], recorder.WithClock(clock))...)
			for b.Loop() {
				r.Record(event)
			}
		})
	}
}
