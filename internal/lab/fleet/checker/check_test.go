package checker

import (
	"slices"
	"testing"
	"time"
)

// snapshot returns a snapshot of a sidecar that violates no rule in validRecord.
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

// validRecord returns a record of two sidecars and one call that violates no rule.
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

// withSuspicion returns a change of a record that adds a suspicion of server r with the given age to a snapshot. The
// record gets the given outcomes, and a recently cancelled request to r if cancelled is true.
func withSuspicion(age time.Duration, cancelled bool, outcomes ...Outcome) func(*Record) {
	return func(r *Record) {
		r.Snapshots[2].Suspicions = map[string]time.Duration{"r": age}
		r.Outcomes = outcomes
		if cancelled {
			r.Outcomes = append(r.Outcomes, Outcome{8 * time.Second, "b", "r", false})
		}
	}
}

// TestCheck checks that each change of a valid record is reported as a violation of the expected rule, or of none.
func TestCheck(t *testing.T) {
	if violations := Check(validRecord()); len(violations) != 0 {
		t.Fatalf("a valid record has the violations %v, want none", violations)
	}
	last := func(r *Record) *Snapshot { return &r.Snapshots[len(r.Snapshots)-1] }
	for _, tt := range []struct {
		name   string
		rule   Rule // "": no violation is expected
		change func(*Record)
	}{
		{"copies of the shared state differ", RuleCopiesEqual, func(r *Record) { last(r).Checksum = "z" }},
		{"sidecar without a snapshot at the end", RuleCopiesEqual, func(r *Record) { r.Snapshots = r.Snapshots[:3] }},
		{"acknowledged call is missing at the end", RuleCallsRemembered, func(r *Record) {
			last(r).Calls, last(r).AdminDown = nil, nil
		}},
		{"superseded call is still in force", RuleCallsRemembered, func(r *Record) {
			r.OperatorCalls = append(r.OperatorCalls, OperatorCall{
				At: 3 * time.Second, Server: "s", ID: "b.1", Down: true, KnownCalls: []string{"a.1"},
			})
		}},
		{"concurrent calls down and up, server shown as up", RuleCallsRemembered, func(r *Record) {
			r.OperatorCalls = append(r.OperatorCalls, OperatorCall{At: 3 * time.Second, Server: "s", ID: "b.1"})
			for i := range r.Snapshots[2:] {
				s := &r.Snapshots[2+i]
				s.Calls, s.AdminDown = map[string][]ActiveCall{"s": {{"a.1", true}, {"b.1", false}}}, nil
			}
		}},
		{"call lost with all sidecars that held it", "", func(r *Record) {
			r.OperatorCalls = append(r.OperatorCalls, OperatorCall{At: 3 * time.Second, Server: "s", ID: "c.1", Down: true})
			r.LostCalls = map[string]bool{"c.1": true}
		}},
		{"row of an earlier incarnation of its owner", RuleNothingResurrected, func(r *Record) {
			r.Snapshots[1].Rows = []Row{{"a", 2, "s", 1}}
			r.WrittenRows = append(r.WrittenRows, Row{"a", 2, "s", 1})
		}},
		{"earlier version of a row", RuleNothingResurrected, func(r *Record) {
			r.Snapshots[1].Rows, last(r).Rows = last(r).Rows, r.Snapshots[1].Rows
		}},
		{"ended call reappears", RuleNothingResurrected, func(r *Record) {
			r.Snapshots = slices.Insert(r.Snapshots, 2, Snapshot{
				At: 3 * time.Second, Sidecar: "b", Incarnation: 1, Calls: map[string][]ActiveCall{"s": {}},
			})
		}},
		{"call reappears after a restart of the sidecar", "", func(r *Record) {
			r.Snapshots = slices.Insert(r.Snapshots, 2, Snapshot{
				At: 3 * time.Second, Sidecar: "b", Incarnation: 2, Calls: map[string][]ActiveCall{"s": {}},
			})
			last(r).Incarnation = 2
		}},
		{"row version that its owner did not write", RuleRowsWrittenByOwners, func(r *Record) {
			r.WrittenRows = []Row{{"a", 1, "s", 1}}
		}},
		{"request to a server administratively down", RuleAdminDownObeyed, func(r *Record) {
			r.Attempts[1].At += 200 * time.Millisecond
		}},
		{"request by a sidecar that the call could not reach", "", func(r *Record) {
			r.Attempts[1].At += time.Minute
			r.KnownSince = func(OperatorCall, string, time.Duration) (time.Duration, bool) { return 0, false }
		}},
		{"suspicion without cancelled requests", RuleSuspicionsCleared, withSuspicion(7*time.Second, false)},
		{"suspicion after a response", RuleSuspicionsCleared,
			withSuspicion(7*time.Second, true, Outcome{5 * time.Second, "b", "r", true})},
		{"suspicion younger than MaxSuspicionLinger", "",
			withSuspicion(5*time.Second, true, Outcome{5 * time.Second, "b", "r", true})},
		{"suspicion with all requests cancelled", "", withSuspicion(7*time.Second, true)},
		{"suspicion with a response within ClearDeadline", "",
			withSuspicion(7*time.Second, true, Outcome{8500 * time.Millisecond, "b", "r", true})},
		{"suspicion with a response to an isolated sidecar", "",
			withSuspicion(7*time.Second, true, Outcome{5 * time.Second, "c", "r", true})},
		{"suspicion after an outage", "", func(r *Record) {
			withSuspicion(7*time.Second, false)(r)
			r.Outages = []Outage{{"r", time.Second, 3500 * time.Millisecond}}
		}},
		{"outage without a suspicion", RuleOutagesSuspected, func(r *Record) {
			r.Outages = []Outage{{"r", 3 * time.Second, 8 * time.Second}}
		}},
		{"ready without a call that all others hold", RuleReadyWhenSynced, func(r *Record) {
			r.Sidecars = nil
			r.Snapshots = append(r.Snapshots, Snapshot{At: 9100 * time.Millisecond, Sidecar: "c", Incarnation: 1, Ready: true})
		}},
		{"not ready and without a call that all others hold", "", func(r *Record) {
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
				t.Errorf("violations are %v, want one of rule %q (empty: none)", violations, tt.rule)
			}
		})
	}
}
