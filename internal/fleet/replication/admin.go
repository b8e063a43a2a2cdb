package replication

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Dot identifies an operator's call, in the sense of dotted version vectors (Preguica et al. 2010). Count is the number
// of the call among those that one incarnation of a sidecar recorded on one server. Incarnations are distinguished by
// the nonce alone; the sidecar's name is for operators.
type Dot struct {
	By    string `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
	Count uint64 `cbor:"3,keyasint"`
}

// String implements fmt.Stringer.
func (d Dot) String() string { return fmt.Sprintf("%s.%x.%d", d.By, d.Nonce, d.Count) }

// compare orders dots by the nonce of their incarnation.
func (d Dot) compare(o Dot) int { return cmp.Compare(d.Nonce, o.Nonce) }

// OperatorCall is a call of an operator that sets a server administratively down or up.
type OperatorCall struct {
	Dot  Dot   `cbor:"1,keyasint"`
	Down bool  `cbor:"2,keyasint"`
	At   Stamp `cbor:"3,keyasint"` // for operators; not used for conflict resolution
}

// compare orders calls by the nonce of the incarnation that recorded them.
func (c OperatorCall) compare(o OperatorCall) int { return c.Dot.compare(o.Dot) }

// AdminState is the state of the operators' calls on one server: the standing calls, which no later call has replaced,
// and for each incarnation the number of its calls that have been seen. A call replaces the calls that its sidecar had
// seen. Two concurrent calls both stand until a third call replaces them; until then the server is down if either call
// sets it down. No clock is involved: a sidecar whose clock is an hour ahead would overrule all others for an hour.
type AdminState struct {
	Server   string         `cbor:"1,keyasint"`
	Standing []OperatorCall `cbor:"2,keyasint"` // sorted by nonce; at most one per incarnation
	Seen     []Dot          `cbor:"3,keyasint"` // sorted by nonce; the latest one per incarnation
	// Listed is the last Unix hour at which any sidecar had the server in its endpoint list.
	Listed int64 `cbor:"4,keyasint"`
}

// Down reports whether the server is administratively down: one standing call that sets it down is enough.
func (s AdminState) Down() bool {
	return slices.ContainsFunc(s.Standing, func(c OperatorCall) bool { return c.Down })
}

// equal reports whether two states of one server are equal.
func (s AdminState) equal(o AdminState) bool {
	return s.Listed == o.Listed && slices.Equal(s.Standing, o.Standing) && slices.Equal(s.Seen, o.Seen)
}

// Disputed reports whether concurrent calls conflict: one sets the server down, another one up.
func (s AdminState) Disputed() bool {
	return s.Down() && slices.ContainsFunc(s.Standing, func(c OperatorCall) bool { return !c.Down })
}

// seenCount returns the number of calls of an incarnation that have been seen.
func (s AdminState) seenCount(nonce uint64) uint64 {
	if i, ok := slices.BinarySearchFunc(s.Seen, Dot{Nonce: nonce}, Dot.compare); ok {
		return s.Seen[i].Count
	}
	return 0
}

// standingCall returns the standing call of an incarnation, if any.
func (s AdminState) standingCall(nonce uint64) (OperatorCall, bool) {
	i, ok := slices.BinarySearchFunc(
		s.Standing,
		nonce,
		func(c OperatorCall, n uint64) int { return cmp.Compare(c.Dot.Nonce, n) },
	)
	if !ok {
		return OperatorCall{}, false
	}
	return s.Standing[i], true
}

// mergeAdminStates returns the join of two states. It is associative, commutative and idempotent: a call stands if on
// each side it either stands or has not been seen.
func mergeAdminStates(a, b AdminState) AdminState {
	out := AdminState{Server: a.Server, Listed: max(a.Listed, b.Listed)}
	addStanding := func(from, other AdminState) {
		for _, c := range from.Standing {
			counterpart, stands := other.standingCall(c.Dot.Nonce)
			switch {
			case stands && counterpart.Dot.Count == c.Dot.Count:
				c = laterCall(c, counterpart)
			case other.seenCount(c.Dot.Nonce) >= c.Dot.Count:
				continue // the other side has seen a call that replaces it
			}
			if _, added := out.standingCall(c.Dot.Nonce); !added {
				i, _ := slices.BinarySearchFunc(out.Standing, c, OperatorCall.compare)
				out.Standing = slices.Insert(out.Standing, i, c)
			}
		}
	}
	addStanding(a, b)
	addStanding(b, a)
	for i, j := 0, 0; i < len(a.Seen) || j < len(b.Seen); {
		switch {
		case j == len(b.Seen) || i < len(a.Seen) && a.Seen[i].Nonce < b.Seen[j].Nonce:
			out.Seen, i = append(out.Seen, a.Seen[i]), i+1
		case i == len(a.Seen) || b.Seen[j].Nonce < a.Seen[i].Nonce:
			out.Seen, j = append(out.Seen, b.Seen[j]), j+1
		default:
			out.Seen, i, j = append(out.Seen, laterDot(a.Seen[i], b.Seen[j])), i+1, j+1
		}
	}
	return out
}

// laterDot returns the later of two dots of one incarnation. Dots with the same count differ only if one was forged.
func laterDot(a, b Dot) Dot {
	if cmp.Or(cmp.Compare(a.Count, b.Count), strings.Compare(a.By, b.By)) < 0 {
		return b
	}
	return a
}

// laterCall selects one of two versions of one call, which differ only if one was forged: down wins.
func laterCall(a, b OperatorCall) OperatorCall {
	switch {
	case a.Down != b.Down:
		if b.Down {
			return b
		}
		return a
	case cmp.Or(a.At.compare(b.At), strings.Compare(a.Dot.By, b.Dot.By)) < 0:
		return b
	}
	return a
}

// withCall returns the state after a further call of an incarnation, which replaces all calls that have been seen.
func (s AdminState) withCall(by string, nonce uint64, down bool, at Stamp) AdminState {
	dot := Dot{by, nonce, s.seenCount(nonce) + 1}
	next := AdminState{Server: s.Server, Standing: []OperatorCall{{dot, down, at}}, Seen: []Dot{dot}, Listed: s.Listed}
	for i := range s.Seen { // the new call replaces all calls that have been seen
		if s.Seen[i].Nonce != nonce {
			next.Seen = append(next.Seen, s.Seen[i])
		}
	}
	slices.SortFunc(next.Seen, Dot.compare)
	return next
}

// check returns an error if a state from a peer is invalid.
func (s AdminState) check() error {
	switch {
	case s.Server == "" || len(s.Server) > maxKeyBytes:
		return fmt.Errorf("server ID has %d bytes, want 1 to %d", len(s.Server), maxKeyBytes)
	case len(s.Seen) == 0 || len(s.Seen) > maxIncarnations:
		return fmt.Errorf("server %q: calls of %d incarnations, want 1 to %d", s.Server, len(s.Seen), maxIncarnations)
	case !slices.IsSortedFunc(s.Seen, Dot.compare) || !slices.IsSortedFunc(s.Standing, OperatorCall.compare):
		return fmt.Errorf("server %q: calls are not sorted by nonce", s.Server)
	case len(s.Standing) == 0:
		return fmt.Errorf("server %q: no standing call", s.Server)
	}
	for i, d := range s.Seen {
		if d.Count == 0 || len(d.By) > maxKeyBytes || i > 0 && d.Nonce == s.Seen[i-1].Nonce {
			return fmt.Errorf("server %q: invalid or duplicate dot of incarnation %x", s.Server, d.Nonce)
		}
	}
	for i, c := range s.Standing {
		duplicate := i > 0 && c.Dot.Nonce == s.Standing[i-1].Dot.Nonce
		unseen := c.Dot.Count == 0 || s.seenCount(c.Dot.Nonce) < c.Dot.Count
		if duplicate || unseen || len(c.Dot.By) > maxKeyBytes {
			return fmt.Errorf("server %q: standing call %d of incarnation %x is a duplicate or not a seen call",
				s.Server, c.Dot.Count, c.Dot.Nonce)
		}
	}
	return nil
}
