package balance

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestLogLinesAreDocumented checks that docs/oncall.md lists the log lines of this package.
func TestLogLinesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	set := settings()
	set.Classes[0].Name = "par-update"
	b, h := start(t, set, twoEndpoints())
	for i := range RequestID(8) {
		outcome := Served
		to := sendRequest(b, h, i)
		if to == "a" {
			outcome = Errored
		}
		b.Result(h.now, Result{ID: i, Endpoint: to, Outcome: outcome, Took: time.Millisecond, Finished: true})
	}
	if len(h.logs) == 0 {
		t.Fatal("failing endpoints left no log line")
	}
	before := len(h.logs)
	for i := range RequestID(2) { // the second ejection is not logged again
		b.Result(h.now, Result{ID: 100 + i, Endpoint: sendRequest(b, h, 100+i), Outcome: Saturated, Finished: true})
		h.now += classEjectionTime
	}
	if n := len(h.logs) - before; n != 1 {
		t.Errorf("%d log lines for an endpoint that rejects a class twice, want 1", n)
	}
	for _, line := range h.logs {
		for _, e := range b.listed {
			line = strings.ReplaceAll(line, " "+e.ID, " 10.0.0.1:8080")
		}
		if !strings.Contains(string(page), "    "+line+"\n") {
			t.Errorf("docs/oncall.md does not show the line %q", line)
		}
	}
}
