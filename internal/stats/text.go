package stats

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// reasonNames are the names in the text of why connections ended.
var reasonNames = [reasonCount]string{
	Gone:     "gone",
	Late:     "late",
	Room:     "room",
	Stopping: "stopping",
}

// Write writes the metrics to w in one call, one "sidecar.NAME=VALUE" on a line, the classes first and sorted by name.
func (f *Figures) Write(w io.Writer, g Gauges) error {
	text := f.appendClasses(nil)
	text = appendMetric(text, "upstream_tries", f.Tries.Load())
	text = appendMetric(text, "in_progress", int64(g.InProgress))
	text = appendMetric(text, "known_servers", int64(g.Known))
	text = appendMetric(text, "skipped_servers", int64(g.Skipped))
	text = appendMetric(text, "loads", f.Loads.Load())
	text = appendMetric(text, "load_errors", f.LoadErrors.Load())
	for reason, name := range reasonNames {
		text = appendMetric(text, "unserved."+name, f.Unserved[reason].Load())
	}
	_, err := w.Write(text)
	return err
}

func (f *Figures) appendClasses(text []byte) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		counters := f.classes[name]
		text = appendMetric(text, "passed."+name, counters.Passed.Load())
		text = appendMetric(text, "dropped."+name, counters.Dropped.Load())
		text = appendMetric(text, "bad_gateway."+name, counters.BadGateway.Load())
	}
	return text
}

func appendMetric(text []byte, name string, value int64) []byte {
	return fmt.Appendf(text, "sidecar.%s=%d\n", name, value)
}
