package policyagent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"milletramp.example/milletramp/internal/fleet/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var sixSidecars = []string{"n0", "n1", "n2", "n3", "n4", "n5"}

// TestSettingsCheck: Start refuses settings under which the sidecar could not take its part.
func TestSettingsCheck(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*Settings)
		text   string
	}{
		{"terms out of bounds", func(s *Settings) { s.Terms = policy.Terms{} }, "terms"},
		{"a voter without a folder", func(s *Settings) { s.Folder = "" }, "no folder"},
		{"no initial policy", func(s *Settings) { s.InitialPolicy = nil }, "0 bytes"},
		{"an initial policy too large",
			func(s *Settings) { s.InitialPolicy = make([]byte, policy.MaxDocumentBytes+1) }, "1048577 bytes"},
		{"an initial policy that cannot run", func(s *Settings) { s.InitialPolicy = []byte("bad") }, "no such class"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 0)
			c.faults["n0"] = "no such class"
			settings := c.settings("n0")
			tt.change(&settings)
			agent, err := Start(settings, peer{c, "n0"}, slog.New(slog.DiscardHandler))
			if err == nil {
				agent.Close()
			}
			if !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), tt.text) {
				t.Errorf("error %v, want one that wraps %v and says %q", err, ErrSettings, tt.text)
			}
		})
	}
}

// TestChangeReachesAll: a change proposed anywhere is in force everywhere, a further one that follows the former policy
// is refused, the fault that one sidecar finds refuses a change for all, and documents can be fetched again.
func TestChangeReachesAll(t *testing.T) {
	c := newCluster(t, 6)
	c.waitAllServe(1, sixSidecars...)
	if number := c.proposeInForce("n4", "c1", 1, "second"); number != 2 {
		t.Fatalf("the change has number %d", number)
	}
	c.waitAllServe(2, sixSidecars...)
	o := c.propose("n5", "c2", 1, "other")
	if o.State != policy.Refused || !strings.Contains(o.Reason, "2 is in force") {
		t.Errorf("%+v of one that follows the former policy", o)
	}
	c.withLock(func() { c.faults["n3"] = "class x has no effect" })
	o = c.propose("n0", "c3", 2, "bad")
	if o.State != policy.Refused || !strings.Contains(o.Reason, "n3: class x has no effect") {
		t.Errorf("%+v, one finds a fault", o)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if o := c.agent("n5").Outcome(ctx, "c1"); o.State != policy.InForce {
		t.Errorf("asked for again: %+v", o)
	}
	for number, want := range map[uint64]string{0: "second", 1: "first", 2: "second"} {
		if d, err := c.agent("n4").Document(ctx, number); err != nil || string(d.Text) != want {
			t.Errorf("document %d: %q, error %v", number, d.Text, err)
		}
	}
	_, err := c.agent("n4").Document(ctx, 99)
	var fault *FaultError
	want := "n0: no document 99\nn1: no document 99\nn2: no document 99"
	if !errors.As(err, &fault) || err.Error() != want {
		t.Errorf("document 99: error %q, want %q", err, want)
	}
	s := c.agent("n3").Status(ctx)
	if s.Serves != 2 || len(s.Voters) != 3 || len(s.Unresponsive) != 0 || s.WithoutLease {
		t.Errorf("%+v", s)
	}
	c.checkNoOverlap()
}

// TestPartitionedSidecar: a sidecar that is partitioned during a change stops by itself before the others begin with
// the new policy, and serves again once it has learnt of it. One that is set to serve without a lease does, and says
// so.
func TestPartitionedSidecar(t *testing.T) {
	c := newCluster(t, 5)
	c.start("n5", true)
	c.waitAllServe(1, sixSidecars...)
	c.withLock(func() { c.partitioned["n4"], c.partitioned["n5"] = true, true })
	c.proposeInForce("n3", "c1", 1, "second")
	c.waitAllServe(2, sixSidecars[:4]...)
	if _, _, ok := c.agent("n4").Serves(); ok {
		t.Error("one that is partitioned serves on")
	}
	if n, _, ok := c.agent("n5").Serves(); !ok || n != 1 {
		t.Errorf("one that is to serve on: %d, %v", n, ok)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if s := c.agent("n5").Status(ctx); !s.WithoutLease || len(s.Unresponsive) != 3 {
		t.Errorf("%+v", s)
	}
	c.withLock(func() { clear(c.partitioned) })
	c.waitAllServe(2, sixSidecars...)
	c.checkNoOverlap()
}

// TestVotersLost: with one of three voters lost, changes go on; with two, serving ends with the leases, and goes on
// when they come back with their folders. What was in force still is.
func TestVotersLost(t *testing.T) {
	c := newCluster(t, 5)
	five := sixSidecars[:5]
	c.waitAllServe(1, five...)
	c.kill("n0")
	c.proposeInForce("n4", "c1", 1, "second")
	c.kill("n1")
	c.waitUntil("leases end", func() bool { _, _, ok := c.agent("n4").Serves(); return !ok })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o := c.agent("n4").Propose(ctx, policy.Proposal{ID: "c2", Follows: 2, Text: []byte("third")})
	if o.State == policy.InForce || o.State == policy.Refused {
		t.Errorf("with two lost: %+v", o)
	}
	c.start("n0", false)
	c.start("n1", false)
	c.waitUntil("all serve", func() bool { return c.allServe(2, five...) || c.allServe(3, five...) })
	c.checkNoOverlap()
}

// TestChangesUnderFaults proposes one change after another while calls get lost and sidecars, voters too, are
// partitioned and started anew.
func TestChangesUnderFaults(t *testing.T) {
	c := newCluster(t, 6)
	c.waitAllServe(1, sixSidecars...)
	c.withLock(func() { c.lossRate = 0.15 })
	rng := rand.New(rand.NewPCG(1, 2))
	inForce := uint64(1)
	for i := range 6 {
		faulty := sixSidecars[rng.IntN(len(sixSidecars))]
		switch rng.IntN(3) {
		case 0:
			c.withLock(func() { c.partitioned[faulty] = true })
		case 1:
			c.kill(faulty)
			c.start(faulty, false)
		}
		at := sixSidecars[rng.IntN(len(sixSidecars))]
		if at == faulty {
			at = sixSidecars[(rng.IntN(len(sixSidecars)-1)+1+int(faulty[1]-'0'))%len(sixSidecars)]
		}
		if o := c.propose(at, fmt.Sprint("c", i), inForce, fmt.Sprint("text ", i)); o.State != policy.InForce {
			t.Errorf("change %d, proposed at %s with faults at %s: %+v", i, at, faulty, o)
		} else {
			inForce = o.Number
		}
		c.withLock(func() { clear(c.partitioned) })
	}
	c.withLock(func() { c.lossRate = 0 })
	c.waitAllServe(inForce, sixSidecars...)
	c.checkNoOverlap()
}

// TestRaisedIncarnation has the fleet give a sidecar a higher incarnation, and then a lower one: it requests leases
// under the highest.
func TestRaisedIncarnation(t *testing.T) {
	c := newCluster(t, 1)
	agent := c.agent("n0")
	for _, incarnation := range []uint64{7, 5} {
		agent.RaiseIncarnation(incarnation)
		agent.mu.Lock()
		got := agent.holder.Request().Incarnation
		agent.mu.Unlock()
		if got != 7 {
			t.Errorf("raised to %d: it requests under incarnation %d, want 7", incarnation, got)
		}
	}
}

// logChannel passes on what is logged.
type logChannel chan string

func (l logChannel) Write(text []byte) (int, error) {
	select {
	case l <- string(text):
	default: // the test reads no further lines
	}
	return len(text), nil
}

// TestFolderFailsAtTheStart has a voter's folder fail when it is opened: the sidecar runs on, and votes once the folder
// can be opened.
func TestFolderFailsAtTheStart(t *testing.T) {
	c := newCluster(t, 0)
	blocked := filepath.Join(c.dir, "n0")
	if err := os.WriteFile(blocked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	logged := make(logChannel, 1)
	c.log = slog.NewTextHandler(logged, nil)
	c.start("n0", false)
	if line := <-logged; !strings.Contains(line, syscall.ENOTDIR.Error()) {
		t.Errorf("it logs %q", line)
	}
	for _, name := range voters[1:] {
		c.start(name, false)
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	c.waitAllServe(1, voters...) // none does before all voters are there
}
