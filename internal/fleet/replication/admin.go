package replication

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Dot names an operator's call, in the sense of dotted version vectors (Preguica et al. 2010): the Count'th that one
// incarnation of a sidecar took. The nonce alone tells incarnations apart; the name is for people.
type Dot struct {
	By    string `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
	Count uint64 `cbor:"3,keyasint"`
}

// String implements fmt.Stringer.
func (d Dot) String() string { return fmt.Sprintf("%s.%x.%d", d.By, d.Nonce, d.Count) }

// compare orders dots by incarnation.
func (d Dot) compare(o Dot) int { return cmp.Compare(d.Nonce, o.Nonce) }

// OperatorCall is a call of an operator that no later one has replaced.
type OperatorCall struct {
	Dot  Dot   `cbor:"1,keyasint"`
	Down bool  `cbor:"2,keyasint"`
	At   Stamp `cbor:"3,keyasint"` // for people; it decides nothing
}

// compare orders calls by the incarnation that took them.
func (c OperatorCall) compare(o OperatorCall) int { return c.Dot.compare(o.Dot) }

// AdminState is what operators have said of one server: the calls that no call made with knowledge of them has
// replaced, and for each incarnation how many of its calls have been seen. A call replaces those that its sidecar had
// seen. Two concurrent calls both stand until a third one, and meanwhile the server is down if either says so. No clock
// decides: a sidecar whose clock is an hour ahead would overrule all others for an hour.
type AdminState struct {
	Server   string         `cbor:"1,keyasint"`
	Standing []OperatorCall `cbor:"2,keyasint"` // by nonce; one of each incarnation at most
	Seen     []Dot          `cbor:"3,keyasint"` // by nonce; the last one of each incarnation
	// Listed is when some sidecar last had the server in its list, in Unix hours.
	Listed int64 `cbor:"4,keyasint"`
}

// Down reports whether the server is administratively down: one standing call that says so is enough.
func (s AdminState) Down() bool {
	return slices.ContainsFunc(s.Standing, func(c OperatorCall) bool { return c.Down })
}

// equal reports whether two states of one server are the same.
func (s AdminState) equal(o AdminState) bool {
	return s.Listed == o.Listed && slices.Equal(s.Standing, o.Standing) && slices.Equal(s.Seen, o.Seen)
}

// Disputed reports whether concurrent calls say different things.
func (s AdminState) Disputed() bool {
	return s.Down() && slices.ContainsFunc(s.Standing, func(c OperatorCall) bool { return !c.Down })
}

// seenCount returns how many calls of an incarnation have been seen.
func (s AdminState) seenCount(nonce uint64) uint64 {
	if i, ok := slices.BinarySearchFunc(s.Seen, Dot{Nonce: nonce}, Dot.compare); ok {
		return s.Seen[i].Count
	}
	return 0
}

// standingCall returns the call of an incarnation that stands, if any.
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

// mergeAdminStates returns the join of two states. It is associative, commutative and idempotent: a call stands if each
// side either has it standing or has not seen it.
func mergeAdminStates(a, b AdminState) AdminState {
	out := AdminState{Server: a.Server, Listed: max(a.Listed, b.Listed)}
	addStanding := func(from, other AdminState) {
		for _, c := range from.Standing {
			counterpart, stands := other.standingCall(c.Dot.Nonce)
			switch {
			case stands && counterpart.Dot.Count == c.Dot.Count:
				c = laterCall(c, counterpart)
			case other.seenCount(c.Dot.Nonce) >= c.Dot.Count:
				continue // the other side knows what took its place
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

// laterDot returns the later of two dots of one incarnation. Two of the same count differ only where one was forged.
func laterDot(a, b Dot) Dot {
	if cmp.Or(cmp.Compare(a.Count, b.Count), strings.Compare(a.By, b.By)) < 0 {
		return b
	}
	return a
}

// laterCall decides between two texts of one call, which differ only where one was forged: down wins.
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

// withCall returns the state after a further call of an incarnation, which replaces all calls that were seen here.
func (s AdminState) withCall(by string, nonce uint64, down bool, at Stamp) AdminState {
	dot := Dot{by, nonce, s.seenCount(nonce) + 1}
	next := AdminState{Server: s.Server, Standing: []OperatorCall{{dot, down, at}}, Seen: []Dot{dot}, Listed: s.Listed}
	for i := range s.Seen { // all that was seen has this call in its place
		if s.Seen[i].Nonce != nonce {
			next.Seen = append(next.Seen, s.Seen[i])
		}
	}
	slices.SortFunc(next.Seen, Dot.compare)
	return next
}

// check returns what is wrong with a state that a peer sent.
func (s AdminState) check() error {
	switch {
	case s.Server == "" || len(s.Server) > maxKeyBytes:
		return fmt.Errorf("a server's id of %d bytes, 1 to %d are allowed", len(s.Server), maxKeyBytes)
	case len(s.Seen) == 0 || len(s.Seen) > maxIncarnations:
		return fmt.Errorf("server %q: calls of %d lives, 1 to %d are allowed", s.Server, len(s.Seen), maxIncarnations)
	case !slices.IsSortedFunc(s.Seen, Dot.compare) || !slices.IsSortedFunc(s.Standing, OperatorCall.compare):
		return fmt.Errorf("server %q: calls out of order", s.Server)
	case len(s.Standing) == 0:
		return fmt.Errorf("server %q: no call stands", s.Server)
	}
	for i, d := range s.Seen {
		if d.Count == 0 || len(d.By) > maxKeyBytes || i > 0 && d.Nonce == s.Seen[i-1].Nonce {
			return fmt.Errorf("server %q: calls of life %x given twice or not at all", s.Server, d.Nonce)
		}
	}
	for i, c := range s.Standing {
		duplicate := i > 0 && c.Dot.Nonce == s.Standing[i-1].Dot.Nonce
		unseen := c.Dot.Count == 0 || s.seenCount(c.Dot.Nonce) < c.Dot.Count
		if duplicate || unseen || len(c.Dot.By) > maxKeyBytes {
			return fmt.Errorf("server %q: call %d of life %x stands and was not seen",
				s.Server, c.Dot.Count, c.Dot.Nonce)
		}
	}
	return nil
}
