package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"
)

// printTable prints the measurements of one part with their fitted lines.
func printTable(w io.Writer, part string, measurements []measurement) {
	fmt.Fprintf(w, "\ngo run ./slopes %s\n", part)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "what\tper\tunit\tslope\t± error\tintercept\tbend\tvalues at sizes")
	for _, m := range measurements {
		l := m.fit()
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%.2g\t%.4g\t%.2f\t%s\n",
			m.name, m.per, m.unit, l.slope, l.slopeError, l.intercept, l.bend, points(m))
	}
	_ = table.Flush()
}

// points lists the values at their sizes.
func points(m measurement) string {
	texts := make([]string, 0, len(m.sizes))
	for i, size := range m.sizes {
		texts = append(texts, fmt.Sprintf("%g: %.4g", size, m.values[i]))
	}
	return strings.Join(texts, ", ")
}

// machine describes when and where the measurements ran.
func machine() string {
	return fmt.Sprintf("%s, %s/%s, %d processors (%s), %s",
		time.Now().Format("2006-01-02 15:04"), runtime.GOOS, runtime.GOARCH, runtime.NumCPU(),
		processorModel(), runtime.Version())
}

// processorModel returns the processor's name if /proc/cpuinfo has it.
func processorModel() string {
	text, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return "unknown processor"
	}
	for row := range strings.Lines(string(text)) {
		if name, value, found := strings.Cut(row, ":"); found && strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return "unknown processor"
}
