// Package plan says, as data, what goes wrong in a fleet and what its staff does meanwhile. The same plan can be played by
// sidecars stepped in simulated time and by processes with relays between them. A seed draws one; a plan that shows a
// breach can be made shorter.
package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is what a fault does.
type Kind string

// The kinds of faults. Those of links hit all messages from the sidecars in From to those in To while they last.
const (
	Drop      Kind = "drop"      // a share of the messages gets lost
	Delay     Kind = "delay"     // they come later, unevenly: so also out of order
	Duplicate Kind = "duplicate" // a share comes twice
	Narrow    Kind = "narrow"    // so many bytes a second go through
	Cut       Kind = "cut"       // nothing goes through; one way where the other is not named

	Kill Kind = "kill" // the processes in From end at once; they start again behind the fault, from nothing
	Stop Kind = "stop" // they stand still, with what comes for them waiting
	// Upgrade has another process take the place of each in From; the two overlap for a time.
	Upgrade Kind = "upgrade"
	Clock   Kind = "clock" // their clock of day is off by Amount seconds

	Mute Kind = "mute" // the servers in From take requests and say nothing
	Slow Kind = "slow" // they answer Amount seconds late
)

// Fault is one thing that goes wrong for some time.
type Fault struct {
	Kind   Kind
	At     time.Duration
	For    time.Duration
	From   []int // sidecars
	To     []int // Drop to Cut: sidecars
	Amount float64
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	text := fmt.Sprintf("%8v for %7v  %-9s", f.At, f.For, f.Kind)
	if f.Amount != 0 {
		text += fmt.Sprintf(" %g", f.Amount)
	}
	text += " " + list(f.From)
	if len(f.To) > 0 {
		text += " -> " + list(f.To)
	}
	return text
}

// list writes sidecars as runs: 0-3,7.
func list(of []int) string {
	var parts []string
	for i := 0; i < len(of); {
		j := i
		for j+1 < len(of) && of[j+1] == of[j]+1 {
			j++
		}
		if j == i {
			parts = append(parts, fmt.Sprint(of[i]))
		} else {
			parts = append(parts, fmt.Sprintf("%d-%d", of[i], of[j]))
		}
		i = j + 1
	}
	return strings.Join(parts, ",")
}

// Call is a call of the staff.
type Call struct {
	At      time.Duration
	Sidecar int
	Server  int
	Out     bool
}

// Plan is what happens to a fleet.
type Plan struct {
	Seed     uint64
	Sidecars int
	Servers  int
	Length   time.Duration // of the faults and calls; what comes behind it is calm
	Faults   []Fault
	Calls    []Call
	Changes  []Change
}

// Change is a proposal of a policy, at a sidecar's console.
type Change struct {
	At      time.Duration
	Sidecar int
}

// String implements fmt.Stringer.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d sidecars, %d servers, %v\n", p.Seed, p.Sidecars, p.Servers, p.Length)
	for _, f := range p.Faults {
		fmt.Fprintln(&b, f)
	}
	for _, c := range p.Calls {
		fmt.Fprintf(&b, "%8v sidecar %d: server %d %s\n", c.At, c.Sidecar, c.Server, map[bool]string{true: "out", false: "back"}[c.Out])
	}
	for _, c := range p.Changes {
		fmt.Fprintf(&b, "%8v sidecar %d: a change of policy\n", c.At, c.Sidecar)
	}
	return b.String()
}

// Link is what a directed pair of sidecars does to messages at one moment.
type Link struct {
	Cut       bool
	Drop      float64       // share
	Duplicate float64       // share
	Delay     time.Duration // at the most: it is drawn evenly from none to this
	Rate      float64       // bytes a second; 0: no bound
}

// Link is what the pair does at a time.
func (p Plan) Link(at time.Duration, from, to int) (l Link) {
	if from == to { // two processes of one sidecar: they are on one machine
		return Link{}
	}
	for _, f := range p.Faults {
		if at < f.At || at >= f.At+f.For || !slices.Contains(f.From, from) || !slices.Contains(f.To, to) {
			continue
		}
		switch f.Kind {
		case Cut:
			l.Cut = true
		case Drop:
			l.Drop = max(l.Drop, f.Amount)
		case Duplicate:
			l.Duplicate = max(l.Duplicate, f.Amount)
		case Delay:
			l.Delay = max(l.Delay, time.Duration(f.Amount*float64(time.Second)))
		case Narrow:
			if l.Rate == 0 || f.Amount < l.Rate {
				l.Rate = f.Amount
			}
		}
	}
	return l
}

// Clock is by how much a sidecar's clock of day is off at a time.
func (p Plan) Clock(at time.Duration, sidecar int) (off time.Duration) {
	for _, f := range p.Faults {
		if f.Kind == Clock && at >= f.At && at < f.At+f.For && slices.Contains(f.From, sidecar) {
			off += time.Duration(f.Amount * float64(time.Second))
		}
	}
	return off
}

// End is when the last fault and call are over.
func (p Plan) End() (end time.Duration) {
	for _, f := range p.Faults {
		end = max(end, f.At+f.For)
	}
	for _, c := range p.Calls {
		end = max(end, c.At)
	}
	for _, c := range p.Changes {
		end = max(end, c.At)
	}
	return end
}

// Without returns the plan without one of its faults or calls, counted through both. ok is false behind the last.
func (p Plan) Without(i int) (shorter Plan, ok bool) {
	switch {
	case i < len(p.Faults):
		p.Faults = slices.Delete(slices.Clone(p.Faults), i, i+1)
	case i < len(p.Faults)+len(p.Calls):
		p.Calls = slices.Delete(slices.Clone(p.Calls), i-len(p.Faults), i-len(p.Faults)+1)
	default:
		return p, false
	}
	return p, true
}

// Shrink takes out of a plan what it can do without and still be bad.
func Shrink(p Plan, bad func(Plan) bool) Plan {
	for i := 0; ; {
		shorter, ok := p.Without(i)
		switch {
		case !ok:
			return p
		case bad(shorter):
			p = shorter
		default:
			i++
		}
	}
}

// Server tells how a server does at a time.
func (p Plan) Server(at time.Duration, server int) (mute bool, late time.Duration) {
	for _, f := range p.Faults {
		if at < f.At || at >= f.At+f.For || !slices.Contains(f.From, server) {
			continue
		}
		switch f.Kind {
		case Mute:
			mute = true
		case Slow:
			late += time.Duration(f.Amount * float64(time.Second))
		}
	}
	return mute, late
}

// DrawServers draws a plan in which servers fall silent and others are slow, while messages between sidecars get lost, come
// late and twice, and one sidecar or two are cut off or stand still for a time.
func DrawServers(seed uint64, sidecars int, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x73657276))
	p := Plan{Seed: seed, Sidecars: sidecars, Servers: 8, Length: length}
	order := r.Perm(p.Servers)
	long := length / 2
	span := func(k Kind, servers []int, amount float64) {
		at := length/6 + time.Duration(r.Int64N(int64(length-length/6-long))).Round(time.Millisecond)
		p.Faults = append(p.Faults, Fault{Kind: k, At: at, For: long, From: servers, Amount: amount})
	}
	span(Mute, order[:1+r.IntN(2)], 0)
	span(Slow, order[2:3+r.IntN(2)], 0.3+0.5*r.Float64())
	var all []int
	for i := range sidecars {
		all = append(all, i)
	}
	for range 1 + r.IntN(3) {
		f := Fault{At: time.Duration(r.Int64N(int64(length))).Round(time.Millisecond), For: length / 4, From: all, To: all}
		switch r.IntN(5) {
		case 0:
			f.Kind, f.Amount = Drop, 0.1+0.2*r.Float64()
		case 1:
			f.Kind, f.Amount = Delay, 0.1+0.2*r.Float64()
		case 2:
			f.Kind, f.Amount = Duplicate, 0.5*r.Float64()
		case 3:
			who := r.IntN(sidecars)
			others := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == who })
			f.Kind, f.From, f.To = Cut, []int{who}, others
			p.Faults = append(p.Faults, Fault{Kind: Cut, At: f.At, For: f.For, From: others, To: f.From})
		case 4:
			f.Kind, f.From, f.To = Stop, []int{r.IntN(sidecars)}, nil
		}
		p.Faults = append(p.Faults, f)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// Draw draws a plan of some length. A sixth of it is calm at first, for the fleet to find itself; no fault takes more than half.
func Draw(seed uint64, sidecars int, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x706c616e))
	p := Plan{Seed: seed, Sidecars: sidecars, Servers: 4, Length: length}
	at := func() time.Duration {
		return length/6 + time.Duration(r.Int64N(int64(length-length/6))).Round(time.Millisecond)
	}
	some := func(most int) (who []int) {
		who = r.Perm(sidecars)[:1+r.IntN(max(1, most))]
		slices.Sort(who)
		return who
	}
	rest := func(who []int) (others []int) {
		for i := range sidecars {
			if !slices.Contains(who, i) {
				others = append(others, i)
			}
		}
		return others
	}
	all := rest(nil)
	for range 1 + r.IntN(4) {
		f := Fault{At: at(), For: length/30 + time.Duration(r.Int64N(int64(length/2))).Round(time.Millisecond)}
		switch r.IntN(9) {
		case 0:
			f.Kind, f.Amount, f.From, f.To = Drop, 0.1+0.5*r.Float64(), all, all
		case 1:
			f.Kind, f.Amount, f.From, f.To = Delay, 0.1+r.Float64(), some(sidecars), all
		case 2:
			f.Kind, f.Amount, f.From, f.To = Duplicate, 0.5*r.Float64(), all, all
		case 3:
			f.Kind, f.Amount, f.From, f.To = Narrow, 500+4000*r.Float64(), some(sidecars), all
		case 4: // heard by none
			f.Kind, f.From = Cut, some(2)
			f.To = rest(f.From)
		case 5: // into groups: two faults, one for each way
			f.Kind, f.From = Cut, some(sidecars-1)
			f.To = rest(f.From)
			p.Faults = append(p.Faults, Fault{Kind: Cut, At: f.At, For: f.For, From: f.To, To: f.From})
		case 6:
			f.Kind, f.From = Kill, some(sidecars)
		case 7:
			f.Kind, f.From = Stop, some(sidecars/2)
		case 8:
			f.Kind, f.From, f.Amount = Clock, some(2), float64(r.IntN(7200)-3600)
			f.For = p.Length // a clock that is off stays so
		}
		p.Faults = append(p.Faults, f)
	}
	for range 2 + r.IntN(6) {
		p.Calls = append(p.Calls, Call{At: at(), Sidecar: r.IntN(sidecars), Server: r.IntN(p.Servers), Out: r.IntN(3) > 0})
	}
	slices.SortFunc(p.Calls, func(a, b Call) int { return int(a.At - b.At) })
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// DrawUpgrades draws a plan, a sixth of it calm at first, in which sidecars are upgraded, one or two of them while they are cut off, others while messages get
// lost or come late; the staff calls at them shortly before, meanwhile and behind it.
func DrawUpgrades(seed uint64, sidecars int, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x75706772))
	p := Plan{Seed: seed, Sidecars: sidecars, Servers: 4, Length: length}
	within := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))).Round(time.Millisecond) }
	var all []int
	for i := range sidecars {
		all = append(all, i)
	}
	order := r.Perm(sidecars)
	for n, who := range order[:2+r.IntN(2)] {
		at := length/4 + within(length/4)
		p.Faults = append(p.Faults, Fault{Kind: Upgrade, At: at, For: 500*time.Millisecond + within(time.Second), From: []int{who}})
		if n == 0 || r.IntN(3) == 0 { // alone on its side of a cut, or with another
			side := []int{who}
			if n == 0 && r.IntN(2) == 0 {
				side = append(side, order[len(order)-1])
			}
			slices.Sort(side)
			others := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return slices.Contains(side, i) })
			begins := max(at-length/6-within(length/12), length/6)
			ends := at + length/6 + within(length/6)
			p.Faults = append(p.Faults, Fault{Kind: Cut, At: begins, For: ends - begins, From: side, To: others})
			if r.IntN(3) > 0 { // else one way
				p.Faults = append(p.Faults, Fault{Kind: Cut, At: begins, For: ends - begins, From: others, To: side})
			}
		}
		if r.IntN(3) == 0 { // and again, back to where it was
			p.Faults = append(p.Faults, Fault{Kind: Upgrade, At: at + length/3, For: 500*time.Millisecond + within(time.Second), From: []int{who}})
		}
		for range 1 + r.IntN(3) {
			p.Calls = append(p.Calls, Call{At: at - length/12 + within(length/6), Sidecar: who, Server: r.IntN(p.Servers), Out: r.IntN(3) > 0})
		}
	}
	switch f := (Fault{At: length/6 + within(length/3), For: length / 2, From: all, To: all}); r.IntN(4) {
	case 0:
		f.Kind, f.Amount = Drop, 0.1+0.2*r.Float64()
		p.Faults = append(p.Faults, f)
	case 1:
		f.Kind, f.Amount = Delay, 0.1+0.2*r.Float64()
		p.Faults = append(p.Faults, f)
	case 2:
		f.Kind, f.Amount = Duplicate, 0.5*r.Float64()
		p.Faults = append(p.Faults, f)
	}
	for range 1 + r.IntN(3) {
		p.Calls = append(p.Calls, Call{At: length/6 + within(length*5/6), Sidecar: r.IntN(sidecars), Server: r.IntN(p.Servers), Out: r.IntN(2) > 0})
	}
	slices.SortStableFunc(p.Calls, func(a, b Call) int { return int(a.At - b.At) })
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// DrawChanges draws a plan, a sixth of it calm at first, in which the policy is changed some times while messages get lost and come
// late, sidecars are cut off, stand still, are killed and are upgraded, deciders (the first three) among them.
func DrawChanges(seed uint64, sidecars int, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x706f6c69))
	p := Plan{Seed: seed, Sidecars: sidecars, Servers: 2, Length: length}
	within := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))).Round(time.Millisecond) }
	var all []int
	for i := range sidecars {
		all = append(all, i)
	}
	some := func(most int) (who, others []int) {
		who = r.Perm(sidecars)[:1+r.IntN(most)]
		slices.Sort(who)
		return who, slices.DeleteFunc(slices.Clone(all), func(i int) bool { return slices.Contains(who, i) })
	}
	for range 3 {
		at := length/6 + within(length*2/3)
		p.Changes = append(p.Changes, Change{At: at, Sidecar: r.IntN(sidecars)})
		f := Fault{At: max(at-length/20+within(length/10), length/6), For: length/20 + within(length/4)}
		switch r.IntN(7) {
		case 0:
			f.Kind, f.Amount, f.From, f.To = Drop, 0.1+0.3*r.Float64(), all, all
		case 1:
			f.Kind, f.Amount, f.From, f.To = Delay, 0.05+0.3*r.Float64(), all, all
		case 2: // heard by none
			f.Kind = Cut
			f.From, f.To = some(2)
		case 3: // into groups
			f.Kind = Cut
			f.From, f.To = some(sidecars / 2)
			p.Faults = append(p.Faults, Fault{Kind: Cut, At: f.At, For: f.For, From: f.To, To: f.From})
		case 4:
			f.Kind = Kill
			f.From, _ = some(2)
		case 5:
			f.Kind = Stop
			f.From, _ = some(2)
		case 6:
			f.Kind = Upgrade
			f.From, _ = some(1)
		}
		p.Faults = append(p.Faults, f)
	}
	slices.SortStableFunc(p.Changes, func(a, b Change) int { return int(a.At - b.At) })
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}
