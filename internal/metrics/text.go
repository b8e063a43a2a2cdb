package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// reasonNames are the metric name suffixes of the close reasons.
var reasonNames = [reasonCount]string{
	ClientClosed: "gone",
	HeadTimeout:  "late",
	Evicted:      "room",
	ShuttingDown: "stopping",
}

// Write writes the metrics to w with one call of w.Write, one "sidecar.NAME=VALUE" per line. The metrics of the classes
// come first, sorted by class name.
func (c *Counters) Write(w io.Writer, g Gauges) error {
	text := c.appendClasses(nil)
	text = appendMetric(text, "upstream_tries", c.Attempts.Load())
	text = appendMetric(text, "in_progress", int64(g.InFlight))
	text = appendMetric(text, "known_servers", int64(g.ListedServers))
	text = appendMetric(text, "skipped_servers", int64(g.AvoidedServers))
	text = appendMetric(text, "loads", c.Reloads.Load())
	text = appendMetric(text, "load_errors", c.ReloadErrors.Load())
	for reason, name := range reasonNames {
		text = appendMetric(text, "unserved."+name, c.UnservedConns[reason].Load())
	}
	_, err := w.Write(text)
	return err
}

// appendClasses appends the metrics of all classes to text, sorted by class name.
func (c *Counters) appendClasses(text []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.classes)) {
		counters := c.classes[name]
		text = appendMetric(text, "passed."+name, counters.Served.Load())
		text = appendMetric(text, "dropped."+name, counters.Rejected.Load())
		text = appendMetric(text, "bad_gateway."+name, counters.Failed.Load())
	}
	return text
}

func appendMetric(text []byte, name string, value int64) []byte {
	return fmt.Appendf(text, "sidecar.%s=%d\n", name, value)
}
