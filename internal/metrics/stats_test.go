package metrics

import (
	"strings"
	"testing"
)

// TestWriteFormat checks that every metric, including those with value 0, is written on a line of its own, under its
// name and in order.
func TestWriteFormat(t *testing.T) {
	var counters Counters
	counters.Class("read").Served.Add(3)
	counters.Class("book").Rejected.Add(2)
	counters.Class("book").Failed.Add(1)
	counters.Attempts.Add(7)
	counters.Reloads.Add(4)
	counters.ReloadErrors.Add(5)
	for reason := range reasonCount {
		for range reason + 1 {
			counters.UnservedConns.Count(reason)
		}
	}
	var got strings.Builder
	if err := counters.Write(&got, Gauges{InFlight: 14, ListedServers: 9, AvoidedServers: 2}); err != nil {
		t.Fatal(err)
	}
	want := `sidecar.passed.book=0
sidecar.dropped.book=2
sidecar.bad_gateway.book=1
sidecar.passed.read=3
sidecar.dropped.read=0
sidecar.bad_gateway.read=0
sidecar.upstream_tries=7
sidecar.in_progress=14
sidecar.known_servers=9
sidecar.skipped_servers=2
sidecar.loads=4
sidecar.load_errors=5
sidecar.unserved.gone=1
sidecar.unserved.late=2
sidecar.unserved.room=3
sidecar.unserved.stopping=4
`
	if got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}

// TestClassReturnsSameCounters checks that repeated calls of Class with the same name return the same counters.
func TestClassReturnsSameCounters(t *testing.T) {
	var f Counters
	f.Class("read").Served.Add(1)
	f.Class("read").Served.Add(1)
	if n := f.Class("read").Served.Load(); n != 2 {
		t.Errorf("Served is %d, want 2", n)
	}
}
