package consensus

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestOlderFolderCopy checks that a voter restarted from an older copy of its folder is rejected by the other voters
// and stops with ErrLostState, as it could contradict its later acknowledgements. The other voters make progress.
func TestOlderFolderCopy(t *testing.T) {
	c := newCluster(t, 5, 3, 2)
	c.steps(600)
	v := c.voters[0]
	older := v.persisted
	older.Entries = slices.Clone(older.Entries)
	for range 2 { // two more incarnations, in which the voter acknowledges further entries
		v.start()
		c.steps(300)
		if c.propose(fmt.Sprint("text ", v.incarnation)) == "" {
			t.Fatal("no leader")
		}
		c.steps(200)
	}
	v.persisted, v.incarnation = older, 1
	v.incarnations, v.lostState = map[uint64]uint64{}, true
	v.start()
	refused := 0
	for _, o := range c.voters[1:] {
		text, err := v.machine.seal(nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := o.machine.verifier.open(text); errors.Is(err, errStaleIncarnation) {
			refused++
		}
	}
	if refused != 2 {
		t.Errorf("%d of 2 voters rejected the voter with the older folder", refused)
	}
	c.steps(200)
	if !errors.Is(v.machine.fatalErr, ErrLostState) {
		t.Errorf("voter with the older folder has error %v, want ErrLostState", v.machine.fatalErr)
	}
	v.machine = nil
	c.steps(600)
	c.requireProgress()
}

// TestTruncatedFolder checks that a voter whose log was truncated detects the lost entries from the leader's commit
// index and stops. Incarnations cannot reveal such a loss. The other voters make progress.
func TestTruncatedFolder(t *testing.T) {
	c := newCluster(t, 6, 3, 2)
	c.steps(600)
	for i := range 3 {
		c.propose(fmt.Sprint("text ", i))
		c.steps(200)
	}
	var v *voter
	for _, o := range c.voters {
		if o != c.leader() {
			v = o
		}
	}
	v.persisted.Entries = v.persisted.Entries[:len(v.persisted.Entries)-3]
	v.persisted.HardState.Commit = 1
	v.lostState = true
	v.start()
	c.steps(300)
	if !errors.Is(v.machine.fatalErr, ErrLostState) {
		t.Errorf("voter with the truncated log has error %v, want ErrLostState", v.machine.fatalErr)
	}
	c.requireProgress()
}

// TestEnvelopeVerifier checks that envelopes from unknown senders, another group and earlier incarnations are rejected,
// and that a new incarnation is reported once.
func TestEnvelopeVerifier(t *testing.T) {
	m := newCluster(t, 7, 3, 1).voters[0].machine
	m.verifier.incarnations = map[uint64]uint64{}
	seal := func(e Envelope) []byte {
		t.Helper()
		text, err := cbor.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	group := testBootstrap.GroupID()
	for _, tt := range []struct { // applied in order to the same verifier
		name                     string
		group, from, incarnation uint64
		newIncarnations          map[uint64]uint64
		err                      error
	}{
		{"first envelope of a voter", group, 2, 5, map[uint64]uint64{2: 5}, nil},
		{"same incarnation", group, 2, 5, nil, nil},
		{"earlier incarnation", group, 2, 4, nil, errStaleIncarnation},
		{"later incarnation", group, 2, 7, map[uint64]uint64{2: 7}, nil},
		{"first envelope of another voter", group, 3, 1, map[uint64]uint64{3: 1}, nil},
		{"another group", group + 1, 2, 9, nil, errUnknownSender},
		{"not a member", group, 4, 1, nil, errUnknownSender},
		{"missing incarnation", group, 3, 0, nil, errUnknownSender},
	} {
		t.Run(tt.name, func(t *testing.T) {
			text := seal(Envelope{GroupID: tt.group, From: tt.from, Incarnation: tt.incarnation})
			_, newIncarnations, err := m.verifier.open(text)
			if !maps.Equal(newIncarnations, tt.newIncarnations) || !errors.Is(err, tt.err) {
				t.Errorf("new incarnations %v, want %v; error %v, want %v",
					newIncarnations, tt.newIncarnations, err, tt.err)
			}
		})
	}
	known := map[uint64]uint64{1: 3, 3: 6}
	text := seal(Envelope{GroupID: group, From: 2, Incarnation: 9, Incarnations: known})
	if err := m.Step(text); !errors.Is(err, ErrLostState) || !errors.Is(m.Step(nil), ErrLostState) {
		t.Errorf("error %v after a message whose sender knows a later incarnation, want ErrLostState", err)
	}
	if _, err := New(0, testSettings(1, 0), slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a voter without an incarnation was started")
	}
}
