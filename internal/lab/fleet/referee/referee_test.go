package referee

import (
	"slices"
	"testing"
	"time"
)

// good is a record of two sidecars and a call that nothing is wrong with.
func good() Record {
	calls := map[string][]Standing{"s": {{"a.1", true}}}
	return Record{
		Acks: []Ack{{At: time.Second, Server: "s", ID: "a.1", Out: true}},
		Shows: []Show{
			{At: 2 * time.Second, Sidecar: "a", Life: 1, Ready: true, Calls: calls, Out: []string{"s"}, Rows: []Row{{"a", 1, "s", 1}}, Sum: "x"},
			{At: 2 * time.Second, Sidecar: "b", Life: 1, Ready: true, Calls: calls, Out: []string{"s"}, Rows: []Row{{"a", 1, "s", 1}}, Sum: "x"},
			{At: 9 * time.Second, Sidecar: "a", Life: 1, Ready: true, Calls: calls, Out: []string{"s"}, Rows: []Row{{"a", 1, "s", 2}}, Sum: "y"},
			{At: 9 * time.Second, Sidecar: "b", Life: 1, Ready: true, Calls: calls, Out: []string{"s"}, Rows: []Row{{"a", 1, "s", 2}}, Sum: "y"},
		},
		Sends: []Send{{500 * time.Millisecond, "b", "s"}, {2500 * time.Millisecond, "b", "s"}, {5 * time.Second, "b", "r"}},
		Wrote: []Row{{"a", 1, "s", 2}}, Calm: 4 * time.Second, Within: 4 * time.Second, Every: time.Second, Sidecars: []string{"a", "b"},
		Could: func(Ack, string, time.Duration) (time.Duration, bool) { return 1600 * time.Millisecond, true },
		Apart: func(sidecar string, _, _ time.Duration) bool { return sidecar == "c" },
	}
}

// doubt has a show a doubt of a server that lasts so long by then, of a server that was tried without an answer lately, or not.
func doubt(lasts time.Duration, tried bool, ends ...End) func(*Record) {
	return func(r *Record) {
		r.Shows[2].Suspicions = map[string]time.Duration{"r": lasts}
		if r.Ends = ends; tried {
			r.Ends = append(r.Ends, End{8 * time.Second, "b", "r", false})
		}
	}
}

// TestJudge spoils a good record in one way after the other: each is found, and by the rule that it breaks.
func TestJudge(t *testing.T) {
	if b := Judge(good()); len(b) != 0 {
		t.Fatalf("breaches of a good record: %v", b)
	}
	last := func(r *Record) *Show { return &r.Shows[len(r.Shows)-1] }
	for _, tt := range []struct {
		name  string
		rule  string // "": none
		spoil func(*Record)
	}{
		{"copies differ", Equal, func(r *Record) { last(r).Sum = "z" }},
		{"one is silent at the end", Equal, func(r *Record) { r.Shows = r.Shows[:3] }},
		{"a call is forgotten", Remembered, func(r *Record) { last(r).Calls, last(r).Out = nil, nil }},
		{"a call stands that was answered", Remembered, func(r *Record) {
			r.Acks = append(r.Acks, Ack{At: 3 * time.Second, Server: "s", ID: "b.1", Out: true, Knew: []string{"a.1"}})
		}},
		{"two calls that did not know of each other: in wins", Remembered, func(r *Record) {
			r.Acks = append(r.Acks, Ack{At: 3 * time.Second, Server: "s", ID: "b.1"})
			for i := range r.Shows[2:] {
				s := &r.Shows[2+i]
				s.Calls, s.Out = map[string][]Standing{"s": {{"a.1", true}, {"b.1", false}}}, nil
			}
		}},
		{"a call lost with all that held it", "", func(r *Record) {
			r.Acks = append(r.Acks, Ack{At: 3 * time.Second, Server: "s", ID: "c.1", Out: true})
			r.Lost = map[string]bool{"c.1": true}
		}},
		{"a row of a former life", Resurrected, func(r *Record) {
			r.Shows[1].Rows = []Row{{"a", 2, "s", 1}}
			r.Wrote = append(r.Wrote, Row{"a", 2, "s", 1})
		}},
		{"an older version of a row", Resurrected, func(r *Record) { r.Shows[1].Rows, last(r).Rows = last(r).Rows, r.Shows[1].Rows }},
		{"a call stands again", Resurrected, func(r *Record) {
			r.Shows = slices.Insert(r.Shows, 2, Show{At: 3 * time.Second, Sidecar: "b", Life: 1, Calls: map[string][]Standing{"s": {}}})
		}},
		{"and so it may for who has started again", "", func(r *Record) {
			r.Shows = slices.Insert(r.Shows, 2, Show{At: 3 * time.Second, Sidecar: "b", Life: 2, Calls: map[string][]Standing{"s": {}}})
			last(r).Life = 2
		}},
		{"a row that its owner did not write", Owned, func(r *Record) { r.Wrote = []Row{{"a", 1, "s", 1}} }},
		{"a send to a server that is out", Obeyed, func(r *Record) { r.Sends[1].At += 200 * time.Millisecond }},
		{"by one who could not know", "", func(r *Record) {
			r.Sends[1].At += time.Minute
			r.Could = func(Ack, string, time.Duration) (time.Duration, bool) { return 0, false }
		}},
		{"a doubt that lasts and that nobody tries", Bootstrapped, doubt(7*time.Second, false)},
		{"a doubt that outlasts an answer", Bootstrapped, doubt(7*time.Second, true, End{5 * time.Second, "b", "r", true})},
		{"one that began anew since the answer", "", doubt(5*time.Second, true, End{5 * time.Second, "b", "r", true})},
		{"one of which all that was sent was given up", "", doubt(7*time.Second, true)},
		{"one that is given up, behind an answer that is too young to be known", "", doubt(7*time.Second, true, End{8500 * time.Millisecond, "b", "r", true})},
		{"behind an answer to one who is cut off", "", doubt(7*time.Second, true, End{5 * time.Second, "c", "r", true})},
		{"a doubt behind a silence", "", func(r *Record) {
			doubt(7*time.Second, false)(r)
			r.Silent = []Silence{{"r", time.Second, 3500 * time.Millisecond}}
		}},
		{"a silence that nobody knows of", Known, func(r *Record) { r.Silent = []Silence{{"r", 3 * time.Second, 8 * time.Second}} }},
		{"ready without what all others hold", Learnt, func(r *Record) {
			r.Sidecars = nil
			r.Shows = append(r.Shows, Show{At: 9100 * time.Millisecond, Sidecar: "c", Life: 1, Ready: true})
		}},
		{"and not ready", "", func(r *Record) {
			r.Sidecars = nil
			r.Shows = append(r.Shows, Show{At: 9100 * time.Millisecond, Sidecar: "c", Life: 1})
			r.Acks = nil
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := good()
			tt.spoil(&r)
			breaches := Judge(r)
			found := slices.ContainsFunc(breaches, func(b Breach) bool { return b.Rule == tt.rule })
			if tt.rule == "" && len(breaches) > 0 || tt.rule != "" && !found {
				t.Errorf("breaches %v, want of %q", breaches, tt.rule)
			}
		})
	}
}
