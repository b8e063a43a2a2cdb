package replication

import (
	"cmp"
	"fmt"
	"strings"
)

// Kind is a kind of replicated state.
type Kind uint8

// Kinds of replicated state.
const (
	KindAdmin Kind = iota
	KindRow
	KindStart
	KindTest
	NumKinds
)

var kindNames = [NumKinds]string{"by hand", "evidence", "starts", "tests"}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k < NumKinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Start is the latest known start of a server's process. In a merge the later start wins.
type Start struct {
	Server string `cbor:"1,keyasint"`
	Boot   int64  `cbor:"2,keyasint"` // Unix milliseconds
}

// Test is the test of a suspected server: the sidecar that runs it and its result. Each step increments the version; of
// two concurrent steps, the one of the tester with the greater name wins.
type Test struct {
	Server  string `cbor:"1,keyasint"`
	Boot    int64  `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Tester  string `cbor:"4,keyasint"`
	Ended   bool   `cbor:"5,keyasint,omitempty"`
	Well    bool   `cbor:"6,keyasint,omitempty"`
	Age     uint32 `cbor:"7,keyasint,omitempty"` // milliseconds since the step, at the time of sending

	writtenAt Time
}

func (t Test) compare(o Test) int {
	return cmp.Or(cmp.Compare(t.Version, o.Version), strings.Compare(t.Tester, o.Tester), cmp.Compare(t.Boot, o.Boot),
		compareBools(t.Ended, o.Ended), compareBools(o.Well, t.Well)) // differ only if one was forged: false wins
}

// check returns an error if a test from a peer is invalid.
func (t Test) check() error {
	nameless := t.Server == "" || t.Tester == ""
	if nameless || len(t.Server) > maxKeyBytes || len(t.Tester) > maxKeyBytes || t.Version == 0 {
		return fmt.Errorf("invalid test of server %.80q by %.80q, version %d", t.Server, t.Tester, t.Version)
	}
	return nil
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func laterTest(a, b Test) Test {
	switch c := a.compare(b); {
	case c < 0:
		return b
	case c == 0:
		a.writtenAt = min(a.writtenAt, b.writtenAt)
	}
	return a
}

// Item is one item of replicated state as sent between sidecars: exactly one of its fields is set.
type Item struct {
	Admin *AdminState `cbor:"1,keyasint,omitempty"`
	Row   *Row        `cbor:"2,keyasint,omitempty"`
	Start *Start      `cbor:"3,keyasint,omitempty"`
	Test  *Test       `cbor:"4,keyasint,omitempty"`
}

// Key identifies an item of replicated state.
type Key struct {
	Kind   Kind
	Server string
	Owner  string // of a KindRow item; "" for other kinds
}

// Key returns the key of an item, or an error unless exactly one field is set.
func (i Item) Key() (Key, error) {
	set, key := 0, Key{}
	if i.Admin != nil {
		set, key = set+1, Key{KindAdmin, i.Admin.Server, ""}
	}
	if i.Row != nil {
		set, key = set+1, Key{KindRow, i.Row.Server, i.Row.Owner}
	}
	if i.Start != nil {
		set, key = set+1, Key{KindStart, i.Start.Server, ""}
	}
	if i.Test != nil {
		set, key = set+1, Key{KindTest, i.Test.Server, ""}
	}
	if set != 1 {
		return Key{}, fmt.Errorf("item has %d kinds, want 1", set)
	}
	return key, nil
}
