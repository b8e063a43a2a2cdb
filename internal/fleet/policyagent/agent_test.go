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

// TestSettingsCheck requires that Start rejects invalid settings.
func TestSettingsCheck(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*Settings)
		text   string
	}{
		{"terms out of bounds", func(s *Settings) { s.Terms = policy.Terms{} }, "terms"},
		{"voter without folder", func(s *Settings) { s.Folder = "" }, "no folder"},
		{"no initial policy", func(s *Settings) { s.InitialPolicy = nil }, "0 bytes"},
		{"initial policy too large",
			func(s *Settings) { s.InitialPolicy = make([]byte, policy.MaxDocumentBytes+1) }, "1048577 bytes"},
		{"initial policy that cannot run", func(s *Settings) { s.InitialPolicy = []byte("bad") }, "no such class"},
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
				t.Errorf("error %v, want one that wraps %v and contains %q", err, ErrSettings, tt.text)
			}
		})
	}
}

// TestChangeReachesAll requires that a change proposed at any sidecar is in force at all, that a change which follows
// the former policy is refused, that a fault found by one sidecar refuses a change for all, and that outcomes and
// documents can be fetched later.
func TestChangeReachesAll(t *testing.T) {
	c := newCluster(t, 6)
	c.waitAllServe(1, sixSidecars...)
	if number := c.proposeInForce("n4", "c1", 1, "second"); number != 2 {
		t.Fatalf("the change has number %d, want 2", number)
	}
	c.waitAllServe(2, sixSidecars...)
	o := c.propose("n5", "c2", 1, "other")
	if o.State != policy.Refused || !strings.Contains(o.Reason, "2 is in force") {
		t.Errorf("change that follows the former policy: %+v", o)
	}
	c.withLock(func() { c.faults["n3"] = "class x has no effect" })
	o = c.propose("n0", "c3", 2, "bad")
	if o.State != policy.Refused || !strings.Contains(o.Reason, "n3: class x has no effect") {
		t.Errorf("change in which one sidecar finds a fault: %+v", o)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if o := c.agent("n5").Outcome(ctx, "c1"); o.State != policy.InForce {
		t.Errorf("outcome fetched later: %+v", o)
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

// TestPartitionedSidecar requires that a sidecar that is partitioned during a change stops serving before the others
// serve under the new policy, and serves again after it has received the new policy. With ServeWithoutLease a sidecar
// must continue to serve and report that in its status.
func TestPartitionedSidecar(t *testing.T) {
	c := newCluster(t, 5)
	c.start("n5", true)
	c.waitAllServe(1, sixSidecars...)
	c.withLock(func() { c.partitioned["n4"], c.partitioned["n5"] = true, true })
	c.proposeInForce("n3", "c1", 1, "second")
	c.waitAllServe(2, sixSidecars[:4]...)
	if _, _, ok := c.agent("n4").Serves(); ok {
		t.Error("a partitioned sidecar continues to serve")
	}
	if n, _, ok := c.agent("n5").Serves(); !ok || n != 1 {
		t.Errorf("with ServeWithoutLease: serves under %d, %v; want policy 1", n, ok)
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

// TestVotersLost requires that changes continue with one of three voters down. With two down, serving must end when the
// leases expire, and resume when the voters restart with their folders. The policy in force must be preserved.
func TestVotersLost(t *testing.T) {
	c := newCluster(t, 5)
	five := sixSidecars[:5]
	c.waitAllServe(1, five...)
	c.kill("n0")
	c.proposeInForce("n4", "c1", 1, "second")
	c.kill("n1")
	c.waitUntil("leases expire", func() bool { _, _, ok := c.agent("n4").Serves(); return !ok })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o := c.agent("n4").Propose(ctx, policy.Proposal{ID: "c2", Follows: 2, Text: []byte("third")})
	if o.State == policy.InForce || o.State == policy.Refused {
		t.Errorf("change with two voters down: %+v", o)
	}
	c.start("n0", false)
	c.start("n1", false)
	c.waitUntil("all serve", func() bool { return c.allServe(2, five...) || c.allServe(3, five...) })
	c.checkNoOverlap()
}

// TestChangesUnderFaults proposes a sequence of changes while calls are lost, and sidecars including voters are
// partitioned or restarted.
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
			t.Errorf("change %d, proposed at %s during a fault at %s: %+v", i, at, faulty, o)
		} else {
			inForce = o.Number
		}
		c.withLock(func() { clear(c.partitioned) })
	}
	c.withLock(func() { c.lossRate = 0 })
	c.waitAllServe(inForce, sixSidecars...)
	c.checkNoOverlap()
}

// TestRaisedIncarnation assigns a higher incarnation to a sidecar, and then a lower one. The sidecar must request
// leases with the highest.
func TestRaisedIncarnation(t *testing.T) {
	c := newCluster(t, 1)
	agent := c.agent("n0")
	for _, incarnation := range []uint64{7, 5} {
		agent.RaiseIncarnation(incarnation)
		agent.mu.Lock()
		got := agent.holder.Request().Incarnation
		agent.mu.Unlock()
		if got != 7 {
			t.Errorf("after RaiseIncarnation(%d): request with incarnation %d, want 7", incarnation, got)
		}
	}
}

// logChannel is an io.Writer that sends log lines to a channel.
type logChannel chan string

func (l logChannel) Write(text []byte) (int, error) {
	select {
	case l <- string(text):
	default: // the test reads no further lines
	}
	return len(text), nil
}

// TestFolderOpenFailsAtStart makes opening a voter's folder fail with a system error. The sidecar must keep running,
// and vote when the folder can be opened.
func TestFolderOpenFailsAtStart(t *testing.T) {
	c := newCluster(t, 0)
	blocked := filepath.Join(c.dir, "n0")
	if err := os.WriteFile(blocked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	logged := make(logChannel, 1)
	c.log = slog.NewTextHandler(logged, nil)
	c.start("n0", false)
	if line := <-logged; !strings.Contains(line, syscall.ENOTDIR.Error()) {
		t.Errorf("log line %q, want one that contains %q", line, syscall.ENOTDIR)
	}
	for _, name := range voters[1:] {
		c.start(name, false)
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	c.waitAllServe(1, voters...) // no sidecar serves until all voters are running
}
