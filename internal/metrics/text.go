package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// reasonNames are the names in the text of why connections ended.
var reasonNames = [reasonCount]string{
	ClientClosed: "gone",
	HeadTimeout:  "late",
	Evicted:      "room",
	ShuttingDown: "stopping",
}

// Write writes the metrics to w in one call, one "sidecar.NAME=VALUE" on a line, the classes first and sorted by name.
func (f *Counters) Write(w io.Writer, g Gauges) error {
	text := f.appendClasses(nil)
	text = appendMetric(text, "upstream_tries", f.Attempts.Load())
	text = appendMetric(text, "in_progress", int64(g.InFlight))
	text = appendMetric(text, "known_servers", int64(g.ListedServers))
	text = appendMetric(text, "skipped_servers", int64(g.AvoidedServers))
	text = appendMetric(text, "loads", f.Reloads.Load())
	text = appendMetric(text, "load_errors", f.ReloadErrors.Load())
	for reason, name := range reasonNames {
		text = appendMetric(text, "unserved."+name, f.UnservedConns[reason].Load())
	}
	_, err := w.Write(text)
	return err
}

func (f *Counters) appendClasses(text []byte) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		counters := f.classes[name]
		text = appendMetric(text, "passed."+name, counters.Served.Load())
		text = appendMetric(text, "dropped."+name, counters.Rejected.Load())
		text = appendMetric(text, "bad_gateway."+name, counters.Failed.Load())
	}
	return text
}

func appendMetric(text []byte, name string, value int64) []byte {
	return fmt.Appendf(text, "sidecar.%s=%d\n", name, value)
}
