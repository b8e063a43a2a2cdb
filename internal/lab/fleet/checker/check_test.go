package checker

import (
	"slices"
	"testing"
	"time"
)

// snapshot returns what a sidecar shows at a time in a record that breaks no rule.
func snapshot(at time.Duration, sidecar string, version uint64, checksum string) Snapshot {
	return Snapshot{
		At:          at,
		Sidecar:     sidecar,
		Incarnation: 1,
		Ready:       true,
		Calls:       map[string][]ActiveCall{"s": {{"a.1", true}}},
		AdminDown:   []string{"s"},
		Rows:        []Row{{"a", 1, "s", version}},
		Checksum:    checksum,
	}
}

// validRecord returns a record of two sidecars and one call that breaks no rule.
func validRecord() Record {
	return Record{
		OperatorCalls: []OperatorCall{{At: time.Second, Server: "s", ID: "a.1", Down: true}},
		Snapshots: []Snapshot{
			snapshot(2*time.Second, "a", 1, "x"),
			snapshot(2*time.Second, "b", 1, "x"),
			snapshot(9*time.Second, "a", 2, "y"),
			snapshot(9*time.Second, "b", 2, "y"),
		},
		Attempts: []Attempt{
			{500 * time.Millisecond, "b", "s"},
			{2500 * time.Millisecond, "b", "s"},
			{5 * time.Second, "b", "r"},
		},
		WrittenRows:      []Row{{"a", 1, "s", 2}},
		FaultsEnd:        4 * time.Second,
		ConvergenceTime:  4 * time.Second,
		SnapshotInterval: time.Second,
		Sidecars:         []string{"a", "b"},
		KnownSince: func(OperatorCall, string, time.Duration) (time.Duration, bool) {
			return 1600 * time.Millisecond, true
		},
		IsolatedBetween: func(sidecar string, _, _ time.Duration) bool { return sidecar == "c" },
	}
}

// withSuspicion returns a change of a record that has a snapshot show a suspicion of the given age of a server. The
// record gets the given outcomes at that server, and a recent cancelled request if it was tried.
func withSuspicion(age time.Duration, tried bool, outcomes ...Outcome) func(*Record) {
	return func(r *Record) {
		r.Snapshots[2].Suspicions = map[string]time.Duration{"r": age}
		r.Outcomes = outcomes
		if tried {
			r.Outcomes = append(r.Outcomes, Outcome{8 * time.Second, "b", "r", false})
		}
	}
}

// TestCheck changes a valid record in one way after the other: each violation is found, by the rule that it breaks.
func TestCheck(t *testing.T) {
	if violations := Check(validRecord()); len(violations) != 0 {
		t.Fatalf("violations in a valid record: %v", violations)
	}
	last := func(r *Record) *Snapshot { return &r.Snapshots[len(r.Snapshots)-1] }
	for _, tt := range []struct {
		name   string
		rule   Rule // "": none
		change func(*Record)
	}{
		{"copies differ", RuleCopiesEqual, func(r *Record) { last(r).Checksum = "z" }},
		{"one is silent at the end", RuleCopiesEqual, func(r *Record) { r.Snapshots = r.Snapshots[:3] }},
		{"a call is forgotten", RuleCallsRemembered, func(r *Record) { last(r).Calls, last(r).AdminDown = nil, nil }},
		{"a call stands that was answered", RuleCallsRemembered, func(r *Record) {
			r.OperatorCalls = append(r.OperatorCalls, OperatorCall{
				At: 3 * time.Second, Server: "s", ID: "b.1", Down: true, KnownCalls: []string{"a.1"},
			})
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
		{"an older version of a row", RuleNothingResurrected, func(r *Record) {
			r.Snapshots[1].Rows, last(r).Rows = last(r).Rows, r.Snapshots[1].Rows
		}},
		{"a call stands again", RuleNothingResurrected, func(r *Record) {
			r.Snapshots = slices.Insert(r.Snapshots, 2, Snapshot{
				At: 3 * time.Second, Sidecar: "b", Incarnation: 1, Calls: map[string][]ActiveCall{"s": {}},
			})
		}},
		{"and so it may for who has started again", "", func(r *Record) {
			r.Snapshots = slices.Insert(r.Snapshots, 2, Snapshot{
				At: 3 * time.Second, Sidecar: "b", Incarnation: 2, Calls: map[string][]ActiveCall{"s": {}},
			})
			last(r).Incarnation = 2
		}},
		{"a row that its owner did not write", RuleRowsWrittenByOwners, func(r *Record) {
			r.WrittenRows = []Row{{"a", 1, "s", 1}}
		}},
		{"a send to a server that is out", RuleAdminDownObeyed, func(r *Record) { r.Attempts[1].At += 200 * time.Millisecond }},
		{"by one who could not know", "", func(r *Record) {
			r.Attempts[1].At += time.Minute
			r.KnownSince = func(OperatorCall, string, time.Duration) (time.Duration, bool) { return 0, false }
		}},
		{"a doubt that lasts and that nobody tries", RuleSuspicionsCleared, withSuspicion(7*time.Second, false)},
		{"a doubt that outlasts an answer", RuleSuspicionsCleared,
			withSuspicion(7*time.Second, true, Outcome{5 * time.Second, "b", "r", true})},
		{"one that began anew since the answer", "",
			withSuspicion(5*time.Second, true, Outcome{5 * time.Second, "b", "r", true})},
		{"one of which all that was sent was given up", "", withSuspicion(7*time.Second, true)},
		{"one that is given up, behind an answer that is too young to be known", "",
			withSuspicion(7*time.Second, true, Outcome{8500 * time.Millisecond, "b", "r", true})},
		{"behind an answer to one who is cut off", "",
			withSuspicion(7*time.Second, true, Outcome{5 * time.Second, "c", "r", true})},
		{"a doubt behind a silence", "", func(r *Record) {
			withSuspicion(7*time.Second, false)(r)
			r.Outages = []Outage{{"r", time.Second, 3500 * time.Millisecond}}
		}},
		{"a silence that nobody knows of", RuleOutagesSuspected, func(r *Record) {
			r.Outages = []Outage{{"r", 3 * time.Second, 8 * time.Second}}
		}},
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
			tt.change(&r)
			violations := Check(r)
			found := slices.ContainsFunc(violations, func(v Violation) bool { return v.Rule == tt.rule })
			if tt.rule == "" && len(violations) > 0 || tt.rule != "" && !found {
				t.Errorf("violations %v, want of %q", violations, tt.rule)
			}
		})
	}
}
