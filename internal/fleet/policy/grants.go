package policy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Time is a reading of the host's monotonic clock.
type Time = time.Duration

// Terms are what the operator chose, the same on all sidecars.
type Terms struct {
	// Length of a promise: for so long one that is cut off serves on, and for so long at most a change waits for it.
	Length time.Duration
	// Short is the length while a change is about to switch.
	Short time.Duration
	// Drift is by what share the clocks of two sidecars may run apart.
	Drift float64
}

// UsualTerms are those where the operator's file says nothing.
var UsualTerms = Terms{Length: 3 * time.Second, Short: 300 * time.Millisecond, Drift: 0.01}

// Check says what is wrong with the terms.
func (t Terms) Check() error {
	switch {
	case t.Short < 50*time.Millisecond || t.Length < 2*t.Short:
		return fmt.Errorf("a promise of %v, of %v while a change switches: 50ms, and twice that, are the least", t.Length, t.Short)
	case t.Drift < 0 || t.Drift > 0.1:
		return fmt.Errorf("clocks that run apart by %v: 0 to 0.1 are allowed", t.Drift)
	}
	return nil
}

// longer is a time as it may be by another's clock, and shorter the same the other way.
func (t Terms) longer(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)) + 1
}

func (t Terms) shorter(d time.Duration) time.Duration {
	return max(time.Duration(float64(d)/(1+t.Drift))-1, 0)
}

// Stamp orders the answers of leaders: those of a later term are later.
type Stamp struct {
	Term  uint64 `cbor:"1,keyasint"`
	Count uint64 `cbor:"2,keyasint"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Term, o.Term), cmp.Compare(s.Count, o.Count))
}

// Question is what a sidecar asks the leader.
type Question struct {
	Sidecar string `cbor:"1,keyasint"`
	Life    uint64 `cbor:"2,keyasint"` // of its process: what was promised to a former one is nothing to it
	Heard   Stamp  `cbor:"3,keyasint"` // the last answer that it has taken in
	Checked uint64 `cbor:"4,keyasint"` // the last document that it has, and has checked whole
	Fault   string `cbor:"5,keyasint"` // what is wrong with that one; "": nothing
}

// Grant is the leader's answer. The times are lengths, to be counted from the question or from the answer.
type Grant struct {
	Stamp  Stamp         `cbor:"1,keyasint"`
	Number uint64        `cbor:"2,keyasint"` // to serve under; 0: nothing is promised
	For    time.Duration `cbor:"3,keyasint"`
	Next   uint64        `cbor:"4,keyasint"` // to serve under after that; 0: that is not known
	In     time.Duration `cbor:"5,keyasint"` // Next's begin
	After  time.Duration `cbor:"6,keyasint"` // and its length
	Check  uint64        `cbor:"7,keyasint"` // a document to be got and checked; 0: none
}

// given is a promise that a sidecar may hold.
type given struct {
	life  uint64
	stamp Stamp
	end   Time // at the latest, by the leader's clock
}

// asker is what the leader knows of a sidecar.
type asker struct {
	life    uint64
	given   []given
	checked uint64
}

// Grants is the leader's side of the promises. It begins with its term and ends with it.
type Grants struct {
	terms  Terms
	stamp  Stamp
	quiet  Time // until then promises of its forerunners may last
	askers map[string]*asker
	wrote  Entry // the last one that it has asked for, and when
	at     Time
	number uint64
	seen   uint64 // entries of the log that it has gone by
	until  Time   // the switch: no promise under the former policy lasts longer; 0: not fixed
}

// NewGrants returns the leader's side for a term that begins now.
func NewGrants(now Time, term uint64, t Terms) *Grants {
	return &Grants{terms: t, stamp: Stamp{Term: term}, quiet: now + t.longer(t.Length), askers: map[string]*asker{}}
}

// Ask answers a sidecar. write is what is to go into the log. Danger: the host must know by a majority, asked after the question
// came, that no other term has begun, and l must be what the log comes to at that point at least (Raft's read index);
// what a deposed leader promised later would be known to nobody.
func (g *Grants) Ask(now Time, l *Ledger, q Question) (a Grant, write []Entry) {
	// Danger: a question that was confirmed and then lay about, with what the log came to by then, would be answered by what
	// this leader has long gone beyond.
	if l.applied < g.seen {
		return Grant{}, nil
	}
	g.seen = l.applied
	s := g.askers[q.Sidecar]
	if s == nil {
		s = &asker{}
		g.askers[q.Sidecar] = s
	}
	if q.Life < s.life {
		return Grant{}, nil // a former process
	}
	if q.Life > s.life { // Danger: the former one may live on for a while: what it was promised goes on counting
		s.life, s.checked = q.Life, 0
	}
	s.given = slices.DeleteFunc(s.given, func(p given) bool { return p.life == q.Life && p.stamp.Compare(q.Heard) < 0 || p.end <= now })
	s.checked = max(s.checked, q.Checked)
	g.stamp.Count++
	a = Grant{Stamp: g.stamp}
	p := l.Pending()
	if p != nil && q.Checked == p.Number && q.Fault != "" && p.State == Proposed {
		write = append(write, Entry{Refuse: &Refuse{p.Number, q.Sidecar + ": " + q.Fault}})
	}
	if p != nil && q.Checked != p.Number {
		a.Check = p.Number
	}
	// Danger: one whose build cannot run what is in force serves nothing; were it promised anything, all changes would
	// wait for its word, the one that lets it serve again among them.
	if q.Fault != "" && q.Checked == l.InForce().Number {
		return a, write
	}
	switch {
	case p == nil || p.State == Proposed:
		a.Number, a.For = l.InForce().Number, g.terms.Length
	case p.State == Committed && g.switches(p) == 0:
		a.Number, a.For = l.InForce().Number, g.terms.Short
	case p.State == Committed: // the switch is on its way into the log
		a.Number, a.For = l.InForce().Number, max(g.until-now, 0)
	case g.switches(p) == 0: // its forerunner has promised the next one, from a time that nobody knows
		if now >= g.quiet {
			g.number, g.until = p.Number, now
		}
	}
	if p != nil && p.State == Switching && g.switches(p) > 0 {
		a.Number, a.For = l.InForce().Number, max(g.until-now, 0)
		a.Next, a.In = p.Number, max(g.until-now, 0)
		a.After = g.terms.Length - a.In // Danger: no promise may outlast what the next leader waits for
	}
	if a.For <= 0 && a.Next == 0 {
		a.Number = 0
		return a, write
	}
	end := now + g.terms.longer(a.For)
	if a.Next > 0 {
		end = now + g.terms.longer(a.In+a.After)
	}
	s.given = append(s.given, given{q.Life, a.Stamp, end})
	return a, write
}

// switches is when a change switches, as this leader has fixed it; 0: it has not.
func (g *Grants) switches(p *Pending) Time {
	if g.number == p.Number {
		return g.until
	}
	return 0
}

// Tick returns what is to go into the log now.
func (g *Grants) Tick(now Time, l *Ledger) (write []Entry) {
	g.seen = max(g.seen, l.applied)
	for name, s := range g.askers {
		s.given = slices.DeleteFunc(s.given, func(p given) bool { return p.end <= now })
		if len(s.given) == 0 {
			delete(g.askers, name)
		}
	}
	p := l.Pending()
	if p == nil || now < g.quiet { // until then it does not know who holds what
		return nil
	}
	switch p.State {
	case Proposed:
		for _, s := range g.askers {
			if s.checked < p.Number {
				return nil
			}
		}
		return g.once(now, Entry{Commit: p.Number})
	case Committed:
		if g.switches(p) == 0 {
			if last := g.last(); last <= now+g.terms.longer(g.terms.Short) {
				g.number, g.until = p.Number, max(last, now+1)
			}
		}
		if g.switches(p) > 0 {
			return g.once(now, Entry{Switch: p.Number})
		}
	case Switching:
		if g.switches(p) == 0 {
			g.number, g.until = p.Number, now
		}
		if now >= g.until {
			return g.once(now, Entry{InForce: p.Number})
		}
	}
	return nil
}

// last is when the last promise is over.
func (g *Grants) last() (end Time) {
	for _, s := range g.askers {
		for _, p := range s.given {
			end = max(end, p.end)
		}
	}
	return end
}

// once returns an entry, and again only after some time: it may have got lost.
func (g *Grants) once(now Time, e Entry) []Entry {
	if g.wrote == e && now-g.at < g.terms.Short {
		return nil
	}
	g.wrote, g.at = e, now
	return []Entry{e}
}

// Waiting lists the sidecars whose promises a change waits for, and how long at most.
func (g *Grants) Waiting(now Time, p Pending) (names []string, most time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(g.askers)) {
		if s := g.askers[name]; s.checked < p.Number {
			names = append(names, name)
			for _, h := range s.given {
				most = max(most, h.end-now)
			}
		}
	}
	return names, max(most, g.quiet-now)
}
