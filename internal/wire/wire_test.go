package wire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
)

// openInstanceLine is an OPEN_INSTANCE line with valid settings, without its newline.
const openInstanceLine = "OPEN_INSTANCE\t7\tareas=north,south\tmodels=big,small\tmy_zone=north\tordinal=1\tpeers_total=3\t" +
	"discovery=on_request\tfeedback.how=piggyback\tlimits.try_limit=3\tlimits.probes=true\tnew.key=what\t" +
	"rules.cold_s=9.5\tcharges.cross_zone=0.03\trequest_classes.count=1\trequest_classes.0.name=read\t" +
	"request_classes.0.effect=deduplicated\trequest_classes.0.group=cell\trequest_classes.0.aim_s=0.5\t" +
	"request_classes.0.deadline_s=2\trequest_classes.0.credit=4\trequest_classes.0.window_s=5\t" +
	"tenants.count=1\ttenants.0.name=acme\ttenants.0.allowance_per_s=12\ttier=0\ttiers=back"

// readAll reads events from text until its end or the first error.
func readAll(text string) (events []Event, err error) {
	r := NewReader(strings.NewReader(text))
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, *e)
	}
}

// TestReadEvents checks the events of a batch with all kinds of events except ResponseStarted. Unknown settings, load
// reports and skipped messages are ignored.
func TestReadEvents(t *testing.T) {
	events, err := readAll("FRAME\t8.41225\nSWITCH_TO\t3\n" + openInstanceLine + "\nDEFINE_LIST\t2\t2\n" +
		"ITEM\t10.0.0.1:80\tnorth\tbig\t4\thealthy\t1.5\t6.1\nITEM\t10.0.0.2:80\tsouth\tsmall\t0\tcordoned\t-\t-\n" +
		"ENDPOINTS\t2\tremembered\t41\nDEMAND\t15\tread\tacme\t-\t0.24\t-\t66\n" +
		"RESPONSE\t15\t1\t10.0.0.1:80\tcompleted\t0.0185\t1\tdepth:3,mystery:x,concurrent:4.5\n" +
		"CLIENT_LEFT\t16\nDUE\t77\nPEER_DATA\t2\taGkgNw==\nSTATUS_BACK\t10.0.0.1:80\toverdue\t0.15\t-\nSTOP\nYOUR_TURN\n\n")
	if err != nil {
		t.Fatal(err)
	}
	kinds := []EventKind{BatchStart, SelectInstance, StartInstance, Endpoints, Request, Result, ClientDisconnected, Timer, StopInstance, BatchEnd}
	if len(events) != len(kinds) {
		t.Fatalf("%d events, want %d", len(events), len(kinds))
	}
	for i, k := range kinds {
		if events[i].Kind != k {
			t.Errorf("event %d has kind %d, want %d", i, events[i].Kind, k)
		}
	}
	if events[0].Now != 8412250*time.Microsecond || events[1].Instance != 3 {
		t.Errorf("time %v, instance %d, want 8.41225s and 3", events[0].Now, events[1].Instance)
	}
	s := events[2].Settings
	if s.Seed != 7 || s.Ordinal != 1 || s.Peers != 3 || !s.PollDiscovery ||
		s.SlowStartWindow != 9500*time.Millisecond || len(s.Zones) != 2 || s.Service != "back" || s.Tenants[0].Allowance != 12 {
		t.Errorf("settings %+v", s)
	}
	if c := s.Classes[0]; c.Effect != balance.Deduplicated || c.Scope != balance.ScopePodGroup || c.Priority != 4 || c.LatencyObjective != time.Second/2 {
		t.Errorf("class %+v", c)
	}
	list := events[3].Entries
	if events[3].ListKind != balance.ListRemembered || len(list) != 2 || list[0].Weight != 1.5 || list[0].PodGroup != 4 ||
		list[0].Started != 6100*time.Millisecond || list[1].State != balance.Draining || list[1].Weight != 1 {
		t.Errorf("list %+v", list)
	}
	if e := events[4]; e.ID != 15 || e.Class != "read" || e.Tenant != "acme" || e.Timeout != 240*time.Millisecond || !e.Retry {
		t.Errorf("request %+v", e)
	}
	r := events[5].Result
	if r.ID != 15 || r.Attempt != 1 || r.Outcome != balance.Served || !r.Finished {
		t.Errorf("result %+v", r)
	}
}

// TestMalformedInput checks that malformed input is an error that describes the fault.
func TestMalformedInput(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown message", "FRAME\t1\nHELLO\n", "line 2: unknown message"},
		{"missing field", "FRAME\n", "line 1: FRAME: field 1 is missing"},
		{"malformed number", "FRAME\tsoon\n", "line 1: FRAME"},
		{"malformed boolean", "RESPONSE\t1\t0\ta:1\tcompleted\t0.1\tmaybe\t-\n", "line 1: RESPONSE"},
		{"unknown outcome", "RESPONSE\t1\t0\ta:1\tlost\t0.1\t1\t-\n", "expected a known outcome"},
		{"truncated list", "DEFINE_LIST\t0\t2\nITEM\ta:1\tz\tk\t0\thealthy\t1\t-\n", "list of 2 entries is truncated"},
		{"message instead of an entry", "DEFINE_LIST\t0\t1\nDUE\t1\n", "expected ITEM, got \"DUE\""},
		{"unknown state", "DEFINE_LIST\t0\t1\nITEM\ta:1\tz\tk\t0\tasleep\t1\t-\n", "line 2: ITEM"},
		{"list number out of range", "DEFINE_LIST\t16\t0\n", "0 to 15"},
		{"missing setting", "OPEN_INSTANCE\t1\tordinal=0\n", "peers_total"},
		{"malformed setting", strings.Replace(openInstanceLine, "ordinal=1", "ordinal=x", 1) + "\n", "ordinal"},
		{"unknown effect", strings.Replace(openInstanceLine, "deduplicated", "sometimes", 1) + "\n", "effect"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := readAll(tt.text); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

// TestLongLineIsRead checks that a line longer than the input buffer is read completely.
func TestLongLineIsRead(t *testing.T) {
	events, err := readAll("FRAME\t1\n" + openInstanceLine + "\tnew.list=" + strings.Repeat("a,b,", 50000) + "\nYOUR_TURN\n")
	if err != nil || len(events) != 3 || events[1].Settings.Peers != 3 {
		t.Fatalf("%d events, error %v, want 3 events with all settings", len(events), err)
	}
}

// TestWriteReply checks the lines of a reply with actions of two instances.
func TestWriteReply(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	w.Send(3, 15, "10.0.0.1:80", 80*time.Millisecond)
	w.Timer(3, 1500*time.Microsecond, 77)
	w.Reject(5, 16, 0)
	if err := w.FinishReply(); err != nil {
		t.Fatal(err)
	}
	want := "SPEAKING\t3\nFORWARD\t15\t10.0.0.1:80\t0.08\nAFTER\t0.0015\t77\nSPEAKING\t5\nNOT_NOW\t16\t0\nEND\n"
	if out.String() != want {
		t.Errorf("wrote %q, want %q", out.String(), want)
	}
}

// FuzzReader checks that each error has a line number and that a line yields at most one event.
func FuzzReader(f *testing.F) {
	f.Add("FRAME\t8.41225\nSWITCH_TO\t3\nDUE\t77\nYOUR_TURN\n")
	f.Add(openInstanceLine + "\n")
	f.Add("DEFINE_LIST\t0\t1\nITEM\ta:1\tz\tk\t0\thealthy\t1\t-\nENDPOINTS\t0\tall\t4\nENDPOINTS\t-\trefused\t-\n")
	f.Add("DEMAND\t1\tread\t-\t-\t0.1\t-\t-\nRESPONSE\t1\t0\ta:1\tcompleted\t0.1\t1\tdepth:1\nPEER_DATA\t0\t-\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := readAll(text)
		if err != nil && !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("error without a line number: %v", err)
		}
		if lines := strings.Count(text, "\n") + 1; len(events) > lines {
			t.Errorf("%d events from %d lines", len(events), lines)
		}
	})
}
