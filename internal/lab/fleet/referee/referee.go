// Package referee judges a fleet by what was seen of it from outside. It shares no code with the fleet: it reads records
// of what each sidecar acknowledged and showed, and works out by itself what that should have been.
package referee

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// ActiveCall is a call on a server that a sidecar shows as in force.
type ActiveCall struct {
	ID   string
	Down bool
}

// OperatorCall is a call of the staff that a sidecar has said yes to.
type OperatorCall struct {
	At         time.Duration
	Server     string
	ID         string // that the sidecar gave it
	Down       bool
	KnownCalls []string // the calls on the server that it showed just before
}

// Row is evidence that a sidecar shows.
type Row struct {
	Owner       string
	Incarnation uint64 // lives of one owner count up
	Server      string
	Version     uint64
}

// Snapshot is what one sidecar showed at a time.
type Snapshot struct {
	At          time.Duration
	Sidecar     string
	Incarnation uint64
	Ready       bool                    // it vouches for holding what the fleet holds
	Calls       map[string][]ActiveCall // by server
	AdminDown   []string
	Rows        []Row
	Suspicions  map[string]time.Duration // servers that it puts behind all others by the word of others, and for how long without a break
	Checksum    string                   // of its copy, in any form that is the same for equal copies
}

// Attempt is a first try that a sidecar sent to a server.
type Attempt struct {
	At      time.Duration
	Sidecar string
	Server  string
}

// Outcome is what became of a request at a server, as that saw it.
type Outcome struct {
	At       time.Duration
	Sidecar  string
	Server   string
	Answered bool // false: its sidecar gave it up before
}

// Record is what was seen of a fleet.
type Record struct {
	OperatorCalls []OperatorCall
	Snapshots     []Snapshot // in the order of time
	Attempts      []Attempt
	Outcomes      []Outcome
	WrittenRows   []Row // by their owners, the last version of each row and life
	// Calm is when the last fault was over, and the fleet has Within from then on until all copies must be equal.
	FaultsEnd, ConvergenceTime time.Duration
	SnapshotInterval           time.Duration // between two shows of a sidecar that lives
	Sidecars                   []string      // that must be there in the end
	// Lost are the calls of which every sidecar that held them was killed before it could tell another.
	LostCalls map[string]bool
	// Could tells when the process that a sidecar has at some time could have known of a call at the earliest; false: not by the end
	// of the record. Danger: what a former process knew went with it, where nobody else who was in reach held it.
	KnownSince func(call OperatorCall, sidecar string, at time.Duration) (time.Duration, bool)
	// Silent are the spans in which servers said nothing. Apart tells whether a sidecar was cut off, stood still or was down at
	// any time between two.
	Outages         []Outage
	IsolatedBetween func(sidecar string, from, to time.Duration) bool
}

// Outage is a time in which a server said nothing to anybody.
type Outage struct {
	Server   string
	From, To time.Duration
}

// SuspicionDeadline is how long all sidecars have to doubt a server that has fallen silent, Lingers how long a doubt may last
// behind the silence that led to it, or without any, and Clears how long it may outlast an answer of that server.
const (
	SuspicionDeadline  = 4 * time.Second
	MaxSuspicionLinger = 6 * time.Second
	ClearDeadline      = 2 * time.Second
)

// AdminDownGrace is how long a sidecar that could know of a call may still send to the server.
const AdminDownGrace = time.Second

// Violation is a rule broken.
type Violation struct {
	Rule string
	At   time.Duration
	Text string
}

// String implements fmt.Stringer.
func (b Violation) String() string { return fmt.Sprintf("%s at %v: %s", b.Rule, b.At, b.Text) }

// The rules.
const (
	RuleCopiesEqual         = "copies equal"
	RuleCallsRemembered     = "nothing acknowledged forgotten"
	RuleNothingResurrected  = "nothing resurrected"
	RuleRowsWrittenByOwners = "rows written by their owners alone"
	RuleAdminDownObeyed     = "nothing new to a server out by hand"
	RuleReadyWhenSynced     = "ready only with what the fleet holds"
	RuleOutagesSuspected    = "silent servers known to all"
	RuleSuspicionsCleared   = "no doubt that lasts without silence"
)

// Check returns the breaches of a record, the earliest of each rule and place.
func Check(r Record) (breaches []Violation) {
	breaches = append(breaches, r.checkCopiesEqual()...)
	breaches = append(breaches, r.checkCallsRemembered()...)
	breaches = append(breaches, r.checkNothingResurrected()...)
	breaches = append(breaches, r.checkRowsWrittenByOwners()...)
	breaches = append(breaches, r.checkAdminDownObeyed()...)
	breaches = append(breaches, r.checkReadyWhenSynced()...)
	breaches = append(breaches, r.checkOutagesSuspected()...)
	breaches = append(breaches, r.checkSuspicionsCleared()...)
	return breaches
}

// lastSnapshots is what each sidecar showed last.
func (r Record) lastSnapshots() map[string]Snapshot {
	last := map[string]Snapshot{}
	for _, s := range r.Snapshots {
		last[s.Sidecar] = s
	}
	return last
}

// checkCopiesEqual: once the time is over, all show the same copy.
func (r Record) checkCopiesEqual() (breaches []Violation) {
	last, first := r.lastSnapshots(), ""
	for _, name := range r.Sidecars {
		s, ok := last[name]
		switch {
		case !ok || s.At < r.FaultsEnd+r.ConvergenceTime:
			breaches = append(breaches, Violation{RuleCopiesEqual, s.At, name + " showed nothing any more"})
		case first == "":
			first = name
		case s.Checksum != last[first].Checksum:
			breaches = append(breaches, Violation{RuleCopiesEqual, s.At, fmt.Sprintf("%s holds %s, %s holds %s", name, s.Checksum, first, last[first].Checksum)})
		}
	}
	return breaches
}

// isLost tells whether a call was lost with all that held it: none shows it in the end.
func (r Record) isLost(id string) bool {
	if !r.LostCalls[id] {
		return false
	}
	for _, s := range r.lastSnapshots() {
		for _, calls := range s.Calls {
			if slices.ContainsFunc(calls, func(c ActiveCall) bool { return c.ID == id }) {
				return false
			}
		}
	}
	return true
}

// expectedCalls works out which calls stand: those that no later acknowledged call of a sidecar knew of.
func (r Record) expectedCalls(server string) (standing []ActiveCall) {
	answered := map[string]bool{}
	for _, a := range r.OperatorCalls {
		if a.Server == server && !r.isLost(a.ID) {
			for _, id := range a.KnownCalls {
				answered[id] = true
			}
		}
	}
	for _, a := range r.OperatorCalls {
		if a.Server == server && !answered[a.ID] && !r.isLost(a.ID) {
			standing = append(standing, ActiveCall{a.ID, a.Down})
		}
	}
	slices.SortFunc(standing, func(a, b ActiveCall) int { return strings.Compare(a.ID, b.ID) })
	return standing
}

// remembered: each call that was acknowledged stands, or one that knew of it does; and one that says out is enough.
func (r Record) checkCallsRemembered() (breaches []Violation) {
	servers := map[string]bool{}
	for _, a := range r.OperatorCalls {
		servers[a.Server] = true
	}
	last := r.lastSnapshots()
	for _, server := range slices.Sorted(maps.Keys(servers)) {
		want := r.expectedCalls(server)
		out := slices.ContainsFunc(want, func(s ActiveCall) bool { return s.Down })
		for _, name := range r.Sidecars {
			s := last[name]
			got := slices.Clone(s.Calls[server])
			slices.SortFunc(got, func(a, b ActiveCall) int { return strings.Compare(a.ID, b.ID) })
			if !slices.Equal(got, want) {
				breaches = append(breaches, Violation{RuleCallsRemembered, s.At, fmt.Sprintf("%s holds %v of server %s, want %v", name, got, server, want)})
			}
			if slices.Contains(s.AdminDown, server) != out {
				breaches = append(breaches, Violation{RuleCallsRemembered, s.At, fmt.Sprintf("%s has server %s out %v, want %v", name, server, !out, out)})
			}
		}
	}
	return breaches
}

// resurrected: who has shown an owner's row of one life shows none of an earlier one later; versions of a row do not go
// back; and a call that no longer stood does not stand again.
func (r Record) checkNothingResurrected() (breaches []Violation) {
	type place struct{ sidecar, owner, server string }
	type mark struct{ life, version uint64 }
	lives, rows := map[place]uint64{}, map[place]mark{}
	stood, gone := map[place]bool{}, map[place]bool{}
	life := map[string]uint64{}
	for _, s := range r.Snapshots {
		if s.Incarnation != life[s.Sidecar] { // it starts again from nothing
			life[s.Sidecar] = s.Incarnation
			for _, m := range []map[place]bool{stood, gone} {
				maps.DeleteFunc(m, func(p place, _ bool) bool { return p.sidecar == s.Sidecar })
			}
			maps.DeleteFunc(lives, func(p place, _ uint64) bool { return p.sidecar == s.Sidecar })
			maps.DeleteFunc(rows, func(p place, _ mark) bool { return p.sidecar == s.Sidecar })
		}
		for _, row := range s.Rows {
			who, where := place{s.Sidecar, row.Owner, ""}, place{s.Sidecar, row.Owner, row.Server}
			was := rows[where]
			switch {
			case row.Incarnation < lives[who]:
				breaches = append(breaches, Violation{RuleNothingResurrected, s.At, fmt.Sprintf("%s shows a row of life %d of %s, it has shown one of %d", s.Sidecar, row.Incarnation, row.Owner, lives[who])})
			case row.Incarnation == was.life && row.Version < was.version:
				breaches = append(breaches, Violation{RuleNothingResurrected, s.At, fmt.Sprintf("%s shows version %d of %s's row on %s, it has shown %d", s.Sidecar, row.Version, row.Owner, row.Server, was.version)})
			}
			lives[who], rows[where] = max(lives[who], row.Incarnation), mark{row.Incarnation, row.Version}
		}
		for server, calls := range s.Calls {
			shown := map[string]bool{}
			for _, c := range calls {
				p := place{s.Sidecar, c.ID, server}
				if shown[c.ID] = true; gone[p] {
					breaches = append(breaches, Violation{RuleNothingResurrected, s.At, fmt.Sprintf("%s shows call %s on server %s again", s.Sidecar, c.ID, server)})
				}
				stood[p] = true
			}
			for p := range stood {
				if p.sidecar == s.Sidecar && p.server == server && !shown[p.owner] {
					gone[p] = true
				}
			}
		}
	}
	return breaches
}

// owned: no sidecar shows a version of a row that its owner has not written.
func (r Record) checkRowsWrittenByOwners() (breaches []Violation) {
	type key struct {
		owner, server string
		life          uint64
	}
	written := map[key]uint64{}
	for _, row := range r.WrittenRows {
		k := key{row.Owner, row.Server, row.Incarnation}
		written[k] = max(written[k], row.Version)
	}
	for _, s := range r.Snapshots {
		for _, row := range s.Rows {
			if last := written[key{row.Owner, row.Server, row.Incarnation}]; row.Version > last {
				breaches = append(breaches, Violation{RuleRowsWrittenByOwners, s.At, fmt.Sprintf("%s shows version %d of %s's row on %s, the owner wrote %d", s.Sidecar, row.Version, row.Owner, row.Server, last)})
			}
		}
	}
	return breaches
}

// obeyed: nothing new goes to a server that is out, from any sidecar that could have known for Grace.
func (r Record) checkAdminDownObeyed() (breaches []Violation) {
	if r.KnownSince == nil {
		return nil
	}
	type place struct{ sidecar, server string }
	said := map[place]bool{}
	for _, send := range r.Attempts {
		for i, a := range r.OperatorCalls {
			if a.Server != send.Server || !a.Down || a.At > send.At || r.isLost(a.ID) || said[place{send.Sidecar, send.Server}] {
				continue
			}
			back := slices.ContainsFunc(r.OperatorCalls[i+1:], func(b OperatorCall) bool { return b.Server == a.Server && slices.Contains(b.KnownCalls, a.ID) })
			if known, ok := r.KnownSince(a, send.Sidecar, send.At); ok && !back && send.At > known+AdminDownGrace {
				said[place{send.Sidecar, send.Server}] = true
				breaches = append(breaches, Violation{RuleAdminDownObeyed, send.At, fmt.Sprintf("%s sent to server %s, out since %v, known since %v", send.Sidecar, send.Server, a.At, known)})
			}
		}
	}
	return breaches
}

// known: each sidecar that was there throughout has shown, within some time, that it doubts a server that fell silent.
func (r Record) checkOutagesSuspected() (breaches []Violation) {
	for _, silence := range r.Outages {
		by := silence.From + SuspicionDeadline
		if by > silence.To {
			continue
		}
		for _, name := range r.Sidecars {
			shown := slices.ContainsFunc(r.Snapshots, func(s Snapshot) bool {
				return s.Sidecar == name && s.At >= silence.From && s.At <= by && suspects(s, silence.Server)
			})
			if !shown && !r.IsolatedBetween(name, silence.From, by) {
				breaches = append(breaches, Violation{RuleOutagesSuspected, by, fmt.Sprintf("%s never doubted server %s, silent from %v to %v", name, silence.Server, silence.From, silence.To)})
			}
		}
	}
	return breaches
}

func suspects(s Snapshot, server string) bool {
	_, is := s.Suspicions[server]
	return is
}

// bootstrapped: no sidecar goes on doubting a server that has not been silent for some time. One so slow that sidecars give up all that they
// send it is silent as far as any of them can know: that some have tried of late, and that it has answered nobody since the doubt
// began, is what such a doubt rests on.
func (r Record) checkSuspicionsCleared() (breaches []Violation) {
	type place struct{ sidecar, server string }
	said := map[place]bool{}
	for _, s := range r.Snapshots {
		for server, lasts := range s.Suspicions {
			p, begun := place{s.Sidecar, server}, s.At-lasts
			silent := slices.ContainsFunc(r.Outages, func(x Outage) bool {
				return x.Server == server && s.At >= x.From && s.At <= x.To+MaxSuspicionLinger
			})
			if lasts < MaxSuspicionLinger || silent || said[p] {
				continue
			}
			tried, answered := false, false
			for _, e := range r.Outcomes {
				if e.Server == server && e.At <= s.At {
					tried = tried || !e.Answered && e.At >= s.At-MaxSuspicionLinger
					answered = answered || e.Answered && e.At >= begun && e.At <= s.At-ClearDeadline && !r.IsolatedBetween(e.Sidecar, e.At, s.At) && !r.IsolatedBetween(s.Sidecar, e.At, s.At)
				}
			}
			if answered || !tried {
				said[p] = true
				breaches = append(breaches, Violation{RuleSuspicionsCleared, s.At, fmt.Sprintf("%s has doubted server %s since %v; it was tried without an answer %v, and has answered since %v", s.Sidecar, server, begun, tried, answered)})
			}
		}
	}
	return breaches
}

// learnt: a sidecar that starts or comes back shows itself ready only with all calls that every other one held for long.
func (r Record) checkReadyWhenSynced() (breaches []Violation) {
	life := map[string]uint64{}
	held := map[string]Snapshot{} // by sidecar: what it showed last
	for _, s := range r.Snapshots {
		if s.Ready && life[s.Sidecar] != s.Incarnation { // the first time in this life
			life[s.Sidecar] = s.Incarnation
			for server, calls := range commonCalls(held, s, r.SnapshotInterval) {
				for _, c := range calls {
					if !slices.Contains(s.Calls[server], c) && !r.isSuperseded(c.ID, s.At) {
						breaches = append(breaches, Violation{RuleReadyWhenSynced, s.At, fmt.Sprintf("%s is ready without call %s on server %s, which all others hold", s.Sidecar, c.ID, server)})
					}
				}
			}
		}
		held[s.Sidecar] = s
	}
	return breaches
}

// isSuperseded tells whether a call that knew of this one was acknowledged by then.
func (r Record) isSuperseded(id string, by time.Duration) bool {
	return slices.ContainsFunc(r.OperatorCalls, func(a OperatorCall) bool { return a.At <= by && slices.Contains(a.KnownCalls, id) })
}

// commonCalls is what all others show that live and are ready, where there are two at least.
func commonCalls(held map[string]Snapshot, but Snapshot, every time.Duration) map[string][]ActiveCall {
	var all map[string][]ActiveCall
	n := 0
	for name, s := range held {
		if name == but.Sidecar || !s.Ready || but.At-s.At > every {
			continue
		}
		if n++; all == nil {
			all = map[string][]ActiveCall{}
			for server, calls := range s.Calls {
				all[server] = slices.Clone(calls)
			}
			continue
		}
		for server := range all {
			all[server] = slices.DeleteFunc(all[server], func(c ActiveCall) bool { return !slices.Contains(s.Calls[server], c) })
		}
	}
	if n < 2 {
		return nil
	}
	return all
}
