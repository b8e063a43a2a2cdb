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

// Standing is a call on a server that a sidecar shows as in force.
type Standing struct {
	ID  string
	Out bool
}

// Ack is a call of the staff that a sidecar has said yes to.
type Ack struct {
	At     time.Duration
	Server string
	ID     string // that the sidecar gave it
	Out    bool
	Knew   []string // the calls on the server that it showed just before
}

// Row is evidence that a sidecar shows.
type Row struct {
	Owner   string
	Life    uint64 // lives of one owner count up
	Server  string
	Version uint64
}

// Show is what one sidecar showed at a time.
type Show struct {
	At         time.Duration
	Sidecar    string
	Life       uint64
	Ready      bool                  // it vouches for holding what the fleet holds
	Calls      map[string][]Standing // by server
	Out        []string
	Rows       []Row
	Suspicions map[string]time.Duration // servers that it puts behind all others by the word of others, and for how long without a break
	Sum        string                   // of its copy, in any form that is the same for equal copies
}

// Send is a first try that a sidecar sent to a server.
type Send struct {
	At      time.Duration
	Sidecar string
	Server  string
}

// End is what became of a request at a server, as that saw it.
type End struct {
	At       time.Duration
	Sidecar  string
	Server   string
	Answered bool // false: its sidecar gave it up before
}

// Record is what was seen of a fleet.
type Record struct {
	Acks  []Ack
	Shows []Show // in the order of time
	Sends []Send
	Ends  []End
	Wrote []Row // by their owners, the last version of each row and life
	// Calm is when the last fault was over, and the fleet has Within from then on until all copies must be equal.
	Calm, Within time.Duration
	Every        time.Duration // between two shows of a sidecar that lives
	Sidecars     []string      // that must be there in the end
	// Lost are the calls of which every sidecar that held them was killed before it could tell another.
	Lost map[string]bool
	// Could tells when the process that a sidecar has at some time could have known of a call at the earliest; false: not by the end
	// of the record. Danger: what a former process knew went with it, where nobody else who was in reach held it.
	Could func(call Ack, sidecar string, at time.Duration) (time.Duration, bool)
	// Silent are the spans in which servers said nothing. Apart tells whether a sidecar was cut off, stood still or was down at
	// any time between two.
	Silent []Silence
	Apart  func(sidecar string, from, to time.Duration) bool
}

// Silence is a time in which a server said nothing to anybody.
type Silence struct {
	Server   string
	From, To time.Duration
}

// KnownWithin is how long all sidecars have to doubt a server that has fallen silent, Lingers how long a doubt may last
// behind the silence that led to it, or without any, and Clears how long it may outlast an answer of that server.
const (
	KnownWithin = 4 * time.Second
	Lingers     = 6 * time.Second
	Clears      = 2 * time.Second
)

// Grace is how long a sidecar that could know of a call may still send to the server.
const Grace = time.Second

// Breach is a rule broken.
type Breach struct {
	Rule string
	At   time.Duration
	Text string
}

// String implements fmt.Stringer.
func (b Breach) String() string { return fmt.Sprintf("%s at %v: %s", b.Rule, b.At, b.Text) }

// The rules.
const (
	Equal        = "copies equal"
	Remembered   = "nothing acknowledged forgotten"
	Resurrected  = "nothing resurrected"
	Owned        = "rows written by their owners alone"
	Obeyed       = "nothing new to a server out by hand"
	Learnt       = "ready only with what the fleet holds"
	Known        = "silent servers known to all"
	Bootstrapped = "no doubt that lasts without silence"
)

// Judge returns the breaches of a record, the earliest of each rule and place.
func Judge(r Record) (breaches []Breach) {
	breaches = append(breaches, r.equal()...)
	breaches = append(breaches, r.remembered()...)
	breaches = append(breaches, r.resurrected()...)
	breaches = append(breaches, r.owned()...)
	breaches = append(breaches, r.obeyed()...)
	breaches = append(breaches, r.learnt()...)
	breaches = append(breaches, r.known()...)
	breaches = append(breaches, r.bootstrapped()...)
	return breaches
}

// last is what each sidecar showed last.
func (r Record) last() map[string]Show {
	last := map[string]Show{}
	for _, s := range r.Shows {
		last[s.Sidecar] = s
	}
	return last
}

// equal: once the time is over, all show the same copy.
func (r Record) equal() (breaches []Breach) {
	last, first := r.last(), ""
	for _, name := range r.Sidecars {
		s, ok := last[name]
		switch {
		case !ok || s.At < r.Calm+r.Within:
			breaches = append(breaches, Breach{Equal, s.At, name + " showed nothing any more"})
		case first == "":
			first = name
		case s.Sum != last[first].Sum:
			breaches = append(breaches, Breach{Equal, s.At, fmt.Sprintf("%s holds %s, %s holds %s", name, s.Sum, first, last[first].Sum)})
		}
	}
	return breaches
}

// lost tells whether a call was lost with all that held it: none shows it in the end.
func (r Record) lost(id string) bool {
	if !r.Lost[id] {
		return false
	}
	for _, s := range r.last() {
		for _, calls := range s.Calls {
			if slices.ContainsFunc(calls, func(c Standing) bool { return c.ID == id }) {
				return false
			}
		}
	}
	return true
}

// expect works out which calls stand: those that no later acknowledged call of a sidecar knew of.
func (r Record) expect(server string) (standing []Standing) {
	answered := map[string]bool{}
	for _, a := range r.Acks {
		if a.Server == server && !r.lost(a.ID) {
			for _, id := range a.Knew {
				answered[id] = true
			}
		}
	}
	for _, a := range r.Acks {
		if a.Server == server && !answered[a.ID] && !r.lost(a.ID) {
			standing = append(standing, Standing{a.ID, a.Out})
		}
	}
	slices.SortFunc(standing, func(a, b Standing) int { return strings.Compare(a.ID, b.ID) })
	return standing
}

// remembered: each call that was acknowledged stands, or one that knew of it does; and one that says out is enough.
func (r Record) remembered() (breaches []Breach) {
	servers := map[string]bool{}
	for _, a := range r.Acks {
		servers[a.Server] = true
	}
	last := r.last()
	for _, server := range slices.Sorted(maps.Keys(servers)) {
		want := r.expect(server)
		out := slices.ContainsFunc(want, func(s Standing) bool { return s.Out })
		for _, name := range r.Sidecars {
			s := last[name]
			got := slices.Clone(s.Calls[server])
			slices.SortFunc(got, func(a, b Standing) int { return strings.Compare(a.ID, b.ID) })
			if !slices.Equal(got, want) {
				breaches = append(breaches, Breach{Remembered, s.At, fmt.Sprintf("%s holds %v of server %s, want %v", name, got, server, want)})
			}
			if slices.Contains(s.Out, server) != out {
				breaches = append(breaches, Breach{Remembered, s.At, fmt.Sprintf("%s has server %s out %v, want %v", name, server, !out, out)})
			}
		}
	}
	return breaches
}

// resurrected: who has shown an owner's row of one life shows none of an earlier one later; versions of a row do not go
// back; and a call that no longer stood does not stand again.
func (r Record) resurrected() (breaches []Breach) {
	type place struct{ sidecar, owner, server string }
	type mark struct{ life, version uint64 }
	lives, rows := map[place]uint64{}, map[place]mark{}
	stood, gone := map[place]bool{}, map[place]bool{}
	life := map[string]uint64{}
	for _, s := range r.Shows {
		if s.Life != life[s.Sidecar] { // it starts again from nothing
			life[s.Sidecar] = s.Life
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
			case row.Life < lives[who]:
				breaches = append(breaches, Breach{Resurrected, s.At, fmt.Sprintf("%s shows a row of life %d of %s, it has shown one of %d", s.Sidecar, row.Life, row.Owner, lives[who])})
			case row.Life == was.life && row.Version < was.version:
				breaches = append(breaches, Breach{Resurrected, s.At, fmt.Sprintf("%s shows version %d of %s's row on %s, it has shown %d", s.Sidecar, row.Version, row.Owner, row.Server, was.version)})
			}
			lives[who], rows[where] = max(lives[who], row.Life), mark{row.Life, row.Version}
		}
		for server, calls := range s.Calls {
			shown := map[string]bool{}
			for _, c := range calls {
				p := place{s.Sidecar, c.ID, server}
				if shown[c.ID] = true; gone[p] {
					breaches = append(breaches, Breach{Resurrected, s.At, fmt.Sprintf("%s shows call %s on server %s again", s.Sidecar, c.ID, server)})
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
func (r Record) owned() (breaches []Breach) {
	type key struct {
		owner, server string
		life          uint64
	}
	written := map[key]uint64{}
	for _, row := range r.Wrote {
		k := key{row.Owner, row.Server, row.Life}
		written[k] = max(written[k], row.Version)
	}
	for _, s := range r.Shows {
		for _, row := range s.Rows {
			if last := written[key{row.Owner, row.Server, row.Life}]; row.Version > last {
				breaches = append(breaches, Breach{Owned, s.At, fmt.Sprintf("%s shows version %d of %s's row on %s, the owner wrote %d", s.Sidecar, row.Version, row.Owner, row.Server, last)})
			}
		}
	}
	return breaches
}

// obeyed: nothing new goes to a server that is out, from any sidecar that could have known for Grace.
func (r Record) obeyed() (breaches []Breach) {
	if r.Could == nil {
		return nil
	}
	type place struct{ sidecar, server string }
	said := map[place]bool{}
	for _, send := range r.Sends {
		for i, a := range r.Acks {
			if a.Server != send.Server || !a.Out || a.At > send.At || r.lost(a.ID) || said[place{send.Sidecar, send.Server}] {
				continue
			}
			back := slices.ContainsFunc(r.Acks[i+1:], func(b Ack) bool { return b.Server == a.Server && slices.Contains(b.Knew, a.ID) })
			if known, ok := r.Could(a, send.Sidecar, send.At); ok && !back && send.At > known+Grace {
				said[place{send.Sidecar, send.Server}] = true
				breaches = append(breaches, Breach{Obeyed, send.At, fmt.Sprintf("%s sent to server %s, out since %v, known since %v", send.Sidecar, send.Server, a.At, known)})
			}
		}
	}
	return breaches
}

// known: each sidecar that was there throughout has shown, within some time, that it doubts a server that fell silent.
func (r Record) known() (breaches []Breach) {
	for _, silence := range r.Silent {
		by := silence.From + KnownWithin
		if by > silence.To {
			continue
		}
		for _, name := range r.Sidecars {
			shown := slices.ContainsFunc(r.Shows, func(s Show) bool {
				return s.Sidecar == name && s.At >= silence.From && s.At <= by && doubts(s, silence.Server)
			})
			if !shown && !r.Apart(name, silence.From, by) {
				breaches = append(breaches, Breach{Known, by, fmt.Sprintf("%s never doubted server %s, silent from %v to %v", name, silence.Server, silence.From, silence.To)})
			}
		}
	}
	return breaches
}

func doubts(s Show, server string) bool {
	_, is := s.Suspicions[server]
	return is
}

// bootstrapped: no sidecar goes on doubting a server that has not been silent for some time. One so slow that sidecars give up all that they
// send it is silent as far as any of them can know: that some have tried of late, and that it has answered nobody since the doubt
// began, is what such a doubt rests on.
func (r Record) bootstrapped() (breaches []Breach) {
	type place struct{ sidecar, server string }
	said := map[place]bool{}
	for _, s := range r.Shows {
		for server, lasts := range s.Suspicions {
			p, begun := place{s.Sidecar, server}, s.At-lasts
			silent := slices.ContainsFunc(r.Silent, func(x Silence) bool {
				return x.Server == server && s.At >= x.From && s.At <= x.To+Lingers
			})
			if lasts < Lingers || silent || said[p] {
				continue
			}
			tried, answered := false, false
			for _, e := range r.Ends {
				if e.Server == server && e.At <= s.At {
					tried = tried || !e.Answered && e.At >= s.At-Lingers
					answered = answered || e.Answered && e.At >= begun && e.At <= s.At-Clears && !r.Apart(e.Sidecar, e.At, s.At) && !r.Apart(s.Sidecar, e.At, s.At)
				}
			}
			if answered || !tried {
				said[p] = true
				breaches = append(breaches, Breach{Bootstrapped, s.At, fmt.Sprintf("%s has doubted server %s since %v; it was tried without an answer %v, and has answered since %v", s.Sidecar, server, begun, tried, answered)})
			}
		}
	}
	return breaches
}

// learnt: a sidecar that starts or comes back shows itself ready only with all calls that every other one held for long.
func (r Record) learnt() (breaches []Breach) {
	life := map[string]uint64{}
	held := map[string]Show{} // by sidecar: what it showed last
	for _, s := range r.Shows {
		if s.Ready && life[s.Sidecar] != s.Life { // the first time in this life
			life[s.Sidecar] = s.Life
			for server, calls := range common(held, s, r.Every) {
				for _, c := range calls {
					if !slices.Contains(s.Calls[server], c) && !r.answered(c.ID, s.At) {
						breaches = append(breaches, Breach{Learnt, s.At, fmt.Sprintf("%s is ready without call %s on server %s, which all others hold", s.Sidecar, c.ID, server)})
					}
				}
			}
		}
		held[s.Sidecar] = s
	}
	return breaches
}

// answered tells whether a call that knew of this one was acknowledged by then.
func (r Record) answered(id string, by time.Duration) bool {
	return slices.ContainsFunc(r.Acks, func(a Ack) bool { return a.At <= by && slices.Contains(a.Knew, id) })
}

// common is what all others show that live and are ready, where there are two at least.
func common(held map[string]Show, but Show, every time.Duration) map[string][]Standing {
	var all map[string][]Standing
	n := 0
	for name, s := range held {
		if name == but.Sidecar || !s.Ready || but.At-s.At > every {
			continue
		}
		if n++; all == nil {
			all = map[string][]Standing{}
			for server, calls := range s.Calls {
				all[server] = slices.Clone(calls)
			}
			continue
		}
		for server := range all {
			all[server] = slices.DeleteFunc(all[server], func(c Standing) bool { return !slices.Contains(s.Calls[server], c) })
		}
	}
	if n < 2 {
		return nil
	}
	return all
}
