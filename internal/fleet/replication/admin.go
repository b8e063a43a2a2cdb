package replication

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Dot names a call of the staff: the Count'th that a life of a sidecar took. The nonce alone tells lives apart; the name
// is for people.
type Dot struct {
	By    string `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
	Count uint64 `cbor:"3,keyasint"`
}

// String implements fmt.Stringer.
func (d Dot) String() string { return fmt.Sprintf("%s.%x.%d", d.By, d.Nonce, d.Count) }

// compare orders dots by life alone where both are of one life.
func (d Dot) compare(o Dot) int { return cmp.Compare(d.Nonce, o.Nonce) }

// OperatorCall is one call of the staff that no later one has taken the place of.
type OperatorCall struct {
	Dot  Dot   `cbor:"1,keyasint"`
	Down bool  `cbor:"2,keyasint"`
	At   Stamp `cbor:"3,keyasint"` // for people; it decides nothing
}

// AdminState is what the staff has said of one server: the calls that nobody who knew of them has answered with another, and
// of each life how many calls have been seen. A call takes the place of those that its sidecar had seen; two that did not
// know of each other stand beside each other until a third, and then out wins. No clock has a say in it. Danger: a
// sidecar whose clock is an hour ahead would have the last word for an hour.
type AdminState struct {
	Server   string         `cbor:"1,keyasint"`
	Standing []OperatorCall `cbor:"2,keyasint"` // by nonce; one of each life at most
	Seen     []Dot          `cbor:"3,keyasint"` // by nonce; the last one of each life
	// Listed is when some sidecar last had the server in its list, in Unix hours.
	Listed int64 `cbor:"4,keyasint"`
}

// Down tells whether the server is out: one standing call that says so is enough.
func (h AdminState) Down() bool {
	return slices.ContainsFunc(h.Standing, func(c OperatorCall) bool { return c.Down })
}

// Disputed tells whether calls stand beside each other that say different things.
func (h AdminState) Disputed() bool {
	return h.Down() && slices.ContainsFunc(h.Standing, func(c OperatorCall) bool { return !c.Down })
}

// seenCount is how many calls of a life have been seen.
func (h AdminState) seenCount(nonce uint64) uint64 {
	if i, ok := slices.BinarySearchFunc(h.Seen, Dot{Nonce: nonce}, Dot.compare); ok {
		return h.Seen[i].Count
	}
	return 0
}

// standingCall is the call of a life that stands.
func (h AdminState) standingCall(nonce uint64) (OperatorCall, bool) {
	i, ok := slices.BinarySearchFunc(h.Standing, nonce, func(c OperatorCall, n uint64) int { return cmp.Compare(c.Dot.Nonce, n) })
	if !ok {
		return OperatorCall{}, false
	}
	return h.Standing[i], true
}

// mergeAdminStates is what is known to whoever knows both. It is associative, commutative and idempotent: a call stands if
// each side either has it standing or has not seen it.
func mergeAdminStates(a, b AdminState) AdminState {
	out := AdminState{Server: a.Server, Listed: max(a.Listed, b.Listed)}
	keep := func(from, other AdminState) {
		for _, c := range from.Standing {
			twin, stands := other.standingCall(c.Dot.Nonce)
			switch {
			case stands && twin.Dot.Count == c.Dot.Count:
				c = laterCall(c, twin)
			case other.seenCount(c.Dot.Nonce) >= c.Dot.Count:
				continue // the other side knows what took its place
			}
			if _, twice := out.standingCall(c.Dot.Nonce); !twice {
				i, _ := slices.BinarySearchFunc(out.Standing, c, func(x, y OperatorCall) int { return x.Dot.compare(y.Dot) })
				out.Standing = slices.Insert(out.Standing, i, c)
			}
		}
	}
	keep(a, b)
	keep(b, a)
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

// laterDot is the later of two of one life. Two of the same count differ only where somebody made one up.
func laterDot(a, b Dot) Dot {
	if cmp.Or(cmp.Compare(a.Count, b.Count), strings.Compare(a.By, b.By)) < 0 {
		return b
	}
	return a
}

// laterCall decides between two texts of one call, which differ only where somebody made one up: out wins.
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

// withCall is what a further call of a life makes of h: the calls that it had seen stand no longer.
func (h AdminState) withCall(by string, nonce uint64, out bool, at Stamp) AdminState {
	dot := Dot{by, nonce, h.seenCount(nonce) + 1}
	own := AdminState{Server: h.Server, Standing: []OperatorCall{{dot, out, at}}, Seen: []Dot{dot}, Listed: h.Listed}
	for i := range h.Seen { // all that was seen has this call in its place
		if h.Seen[i].Nonce != nonce {
			own.Seen = append(own.Seen, h.Seen[i])
		}
	}
	slices.SortFunc(own.Seen, Dot.compare)
	return own
}

// check says what is wrong with what a peer says.
func (h AdminState) check() error {
	switch {
	case h.Server == "" || len(h.Server) > maxKeyBytes:
		return fmt.Errorf("a server's id of %d bytes, 1 to %d are allowed", len(h.Server), maxKeyBytes)
	case len(h.Seen) == 0 || len(h.Seen) > maxLives:
		return fmt.Errorf("server %q: calls of %d lives, 1 to %d are allowed", h.Server, len(h.Seen), maxLives)
	case !slices.IsSortedFunc(h.Seen, Dot.compare) || !slices.IsSortedFunc(h.Standing, func(a, b OperatorCall) int { return a.Dot.compare(b.Dot) }):
		return fmt.Errorf("server %q: calls out of order", h.Server)
	case len(h.Standing) == 0:
		return fmt.Errorf("server %q: no call stands", h.Server)
	}
	for i, d := range h.Seen {
		if d.Count == 0 || len(d.By) > maxKeyBytes || i > 0 && d.Nonce == h.Seen[i-1].Nonce {
			return fmt.Errorf("server %q: calls of life %x given twice or not at all", h.Server, d.Nonce)
		}
	}
	for i, c := range h.Standing {
		if i > 0 && c.Dot.Nonce == h.Standing[i-1].Dot.Nonce || c.Dot.Count == 0 || h.seenCount(c.Dot.Nonce) < c.Dot.Count || len(c.Dot.By) > maxKeyBytes {
			return fmt.Errorf("server %q: call %d of life %x stands and was not seen", h.Server, c.Dot.Count, c.Dot.Nonce)
		}
	}
	return nil
}
