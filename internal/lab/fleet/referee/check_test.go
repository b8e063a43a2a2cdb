package referee

import (
	"slices"
	"testing"
	"time"
)

// validRecord is a record of two sidecars and a call that nothing is wrong with.
func validRecord() Record {
	calls := map[string][]ActiveCall{"s": {{"a.1", true}}}
	return Record{
		OperatorCalls: []OperatorCall{{At: time.Second, Server: "s", ID: "a.1", Down: true}},
		Snapshots: []Snapshot{
			{At: 2 * time.Second, Sidecar: "a", Incarnation: 1, Ready: true, Calls: calls, AdminDown: []string{"s"}, Rows: []Row{{"a", 1, "s", 1}}, Checksum: "x"},
			{At: 2 * time.Second, Sidecar: "b", Incarnation: 1, Ready: true, Calls: calls, AdminDown: []string{"s"}, Rows: []Row{{"a", 1, "s", 1}}, Checksum: "x"},
			{At: 9 * time.Second, Sidecar: "a", Incarnation: 1, Ready: true, Calls: calls, AdminDown: []string{"s"}, Rows: []Row{{"a", 1, "s", 2}}, Checksum: "y"},
			{At: 9 * time.Second, Sidecar: "b", Incarnation: 1, Ready: true, Calls: calls, AdminDown: []string{"s"}, Rows: []Row{{"a", 1, "s", 2}}, Checksum: "y"},
		},
		Attempts:    []Attempt{{500 * time.Millisecond, "b", "s"}, {2500 * time.Millisecond, "b", "s"}, {5 * time.Second, "b", "r"}},
		WrittenRows: []Row{{"a", 1, "s", 2}}, FaultsEnd: 4 * time.Second, ConvergenceTime: 4 * time.Second, SnapshotInterval: time.Second, Sidecars: []string{"a", "b"},
		KnownSince:      func(OperatorCall, string, time.Duration) (time.Duration, bool) { return 1600 * time.Millisecond, true },
		IsolatedBetween: func(sidecar string, _, _ time.Duration) bool { return sidecar == "c" },
	}
}

// withSuspicion has a show a doubt of a server that lasts so long by then, of a server that was tried without an answer
// lately, or not.
func withSuspicion(lasts time.Duration, tried bool, ends ...Outcome) func(*Record) {
	return func(r *Record) {
		r.Snapshots[2].Suspicions = map[string]time.Duration{"r": lasts}
		if r.Outcomes = ends; tried {
			r.Outcomes = append(r.Outcomes, Outcome{8 * time.Second, "b", "r", false})
		}
	}
}

// TestCheck spoils a good record in one way after the other: each is found, and by the rule that it breaks.
func TestCheck(t *testing.T) {
	if b := Check(validRecord()); len(b) != 0 {
		t.Fatalf("breaches of a good record: %v", b)
	}
	last := func(r *Record) *Snapshot { return &r.Snapshots[len(r.Snapshots)-1] }
	for _, tt := range []struct {
		name  string
		rule  Rule // "": none
		spoil func(*Record)
	}{
		{"copies differ", RuleCopiesEqual, func(r *Record) { last(r).Checksum = "z" }},
		{"one is silent at the end", RuleCopiesEqual, func(r *Record) { r.Snapshots = r.Snapshots[:3] }},
		{"a call is forgotten", RuleCallsRemembered, func(r *Record) { last(r).Calls, last(r).AdminDown = nil, nil }},
		{"a call stands that was answered", RuleCallsRemembered, func(r *Record) {
			r.OperatorCalls = append(r.OperatorCalls, OperatorCall{At: 3 * time.Second, Server: "s", ID: "b.1", Down: true, KnownCalls: []string{"a.1"}})
		}},
		{"two calls that did not know of each other: in wins", RuleCallsRemembered, func(r *Record) {
			r.OperatorCalls = append(r.OperatorCalls, OperatorCall{At: 3 * time.Second, Server: "s", ID: "b.1"})
			for i := range r.Snapshots[2:] {
				s := &r.Snapshots[2+i]
				s.Calls, s.AdminDown = map[string][]ActiveCall{"s": {{"a.1", true}, {"b.1", false}}}, nil
			}
		}},
		{"a call lost with all that held it", "", func(r *Record) {
			r.OperatorCalls = append(r.OperatorCalls, OperatorCall{At: 3 * time.Second, Server: "s", ID: "c.1", Down: true})
			r.LostCalls = map[string]bool{"c.1": true}
		}},
		{"a row of a former life", RuleNothingResurrected, func(r *Record) {
			r.Snapshots[1].Rows = []Row{{"a", 2, "s", 1}}
			r.WrittenRows = append(r.WrittenRows, Row{"a", 2, "s", 1})
		}},
		{"an older version of a row", RuleNothingResurrected, func(r *Record) { r.Snapshots[1].Rows, last(r).Rows = last(r).Rows, r.Snapshots[1].Rows }},
		{"a call stands again", RuleNothingResurrected, func(r *Record) {
			r.Snapshots = slices.Insert(r.Snapshots, 2, Snapshot{At: 3 * time.Second, Sidecar: "b", Incarnation: 1, Calls: map[string][]ActiveCall{"s": {}}})
		}},
		{"and so it may for who has started again", "", func(r *Record) {
			r.Snapshots = slices.Insert(r.Snapshots, 2, Snapshot{At: 3 * time.Second, Sidecar: "b", Incarnation: 2, Calls: map[string][]ActiveCall{"s": {}}})
			last(r).Incarnation = 2
		}},
		{"a row that its owner did not write", RuleRowsWrittenByOwners, func(r *Record) { r.WrittenRows = []Row{{"a", 1, "s", 1}} }},
		{"a send to a server that is out", RuleAdminDownObeyed, func(r *Record) { r.Attempts[1].At += 200 * time.Millisecond }},
		{"by one who could not know", "", func(r *Record) {
			r.Attempts[1].At += time.Minute
			r.KnownSince = func(OperatorCall, string, time.Duration) (time.Duration, bool) { return 0, false }
		}},
		{"a doubt that lasts and that nobody tries", RuleSuspicionsCleared, withSuspicion(7*time.Second, false)},
		{"a doubt that outlasts an answer", RuleSuspicionsCleared, withSuspicion(7*time.Second, true, Outcome{5 * time.Second, "b", "r", true})},
		{"one that began anew since the answer", "", withSuspicion(5*time.Second, true, Outcome{5 * time.Second, "b", "r", true})},
		{"one of which all that was sent was given up", "", withSuspicion(7*time.Second, true)},
		{"one that is given up, behind an answer that is too young to be known", "", withSuspicion(7*time.Second, true, Outcome{8500 * time.Millisecond, "b", "r", true})},
		{"behind an answer to one who is cut off", "", withSuspicion(7*time.Second, true, Outcome{5 * time.Second, "c", "r", true})},
		{"a doubt behind a silence", "", func(r *Record) {
			withSuspicion(7*time.Second, false)(r)
			r.Outages = []Outage{{"r", time.Second, 3500 * time.Millisecond}}
		}},
		{"a silence that nobody knows of", RuleOutagesSuspected, func(r *Record) { r.Outages = []Outage{{"r", 3 * time.Second, 8 * time.Second}} }},
		{"ready without what all others hold", RuleReadyWhenSynced, func(r *Record) {
			r.Sidecars = nil
			r.Snapshots = append(r.Snapshots, Snapshot{At: 9100 * time.Millisecond, Sidecar: "c", Incarnation: 1, Ready: true})
		}},
		{"and not ready", "", func(r *Record) {
			r.Sidecars = nil
			r.Snapshots = append(r.Snapshots, Snapshot{At: 9100 * time.Millisecond, Sidecar: "c", Incarnation: 1})
			r.OperatorCalls = nil
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := validRecord()
			tt.spoil(&r)
			breaches := Check(r)
			found := slices.ContainsFunc(breaches, func(b Violation) bool { return b.Rule == tt.rule })
			if tt.rule == "" && len(breaches) > 0 || tt.rule != "" && !found {
				t.Errorf("breaches %v, want of %q", breaches, tt.rule)
			}
		})
	}
}
