package policyagent

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"milletramp.example/milletramp/internal/fleet/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 30 * time.Second

var (
	deciders = []string{"n0", "n1", "n2"}
	short    = policy.Terms{Length: 900 * time.Millisecond, Short: 150 * time.Millisecond, Drift: 0.01}
)

// house is sidecars that call each other directly, unless a pair is cut or the call gets lost.
type house struct {
	t     *testing.T
	dir   string
	terms policy.Terms

	mu    sync.Mutex
	rooms map[string]*Agent
	lives map[string]uint64
	cut   map[string]bool // cut off from all others
	loss  float64
	fault map[string]string // what a sidecar says of documents that begin with "bad"
	begun time.Time
	old   map[uint64]time.Duration // when a look that showed a policy began last
	first map[uint64]time.Duration // when one that showed it ended first
	stop  chan struct{}
	over  sync.WaitGroup
}

// door is a sidecar's way to the others.
type door struct {
	h    *house
	name string
}

var errCut = errors.New("cut off")

func (d door) Call(ctx context.Context, name string, text []byte) ([]byte, error) {
	d.h.mu.Lock()
	to, cut, lost := d.h.rooms[name], d.h.cut[name] || d.h.cut[d.name], rand.Float64() < d.h.loss
	d.h.mu.Unlock()
	if to == nil || cut || lost {
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
		return nil, errCut
	}
	return to.Call(ctx, text)
}

func newHouse(t *testing.T, sidecars int) *house {
	h := &house{t: t, dir: t.TempDir(), terms: short, rooms: map[string]*Agent{}, lives: map[string]uint64{}, cut: map[string]bool{}, fault: map[string]string{},
		begun: time.Now(), old: map[uint64]time.Duration{}, first: map[uint64]time.Duration{}, stop: make(chan struct{})}
	for i := range sidecars {
		h.start(fmt.Sprint("n", i), false)
	}
	t.Cleanup(func() {
		close(h.stop)
		h.over.Wait()
		for name := range h.lives {
			h.end(name)
		}
	})
	return h
}

func (h *house) start(name string, serveOn bool) {
	h.t.Helper()
	h.mu.Lock()
	h.lives[name]++
	life := h.lives[name]
	h.mu.Unlock()
	set := Settings{Name: name, Life: life, Deciders: deciders, First: []byte("first"), Folder: filepath.Join(h.dir, name), Terms: h.terms, ServeOn: serveOn,
		Check: func(_ uint64, text []byte) string {
			if h.mu.Lock(); strings.HasPrefix(string(text), "bad") {
				defer h.mu.Unlock()
				return h.fault[name]
			}
			h.mu.Unlock()
			return ""
		}}
	c, err := Start(set, door{h, name}, slog.New(slog.DiscardHandler))
	if err != nil {
		h.t.Fatal(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rooms[name] = c
	if serveOn {
		return // what it serves without a promise is not held against the others
	}
	h.over.Add(1)
	go func() {
		defer h.over.Done()
		h.look(c)
	}()
}

// look notes under what a sidecar serves, as a request would find it.
func (h *house) look(c *Agent) {
	for {
		select {
		case <-h.stop:
			return
		case <-c.ctx.Done():
			return
		case <-time.After(time.Millisecond):
		}
		before := time.Since(h.begun)
		number, _, ok := c.Serves()
		after := time.Since(h.begun)
		if !ok {
			continue
		}
		h.mu.Lock()
		h.old[number] = max(h.old[number], before)
		if at, seen := h.first[number]; !seen || after < at {
			h.first[number] = after
		}
		h.mu.Unlock()
	}
}

func (h *house) end(name string) {
	h.mu.Lock()
	c := h.rooms[name]
	delete(h.rooms, name)
	h.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

func (h *house) room(name string) *Agent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rooms[name]
}

func (h *house) set(do func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do()
}

// apart fails where two policies were served at once.
func (h *house) apart() {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for number, last := range h.old {
		for next, at := range h.first {
			if next > number && at < last {
				h.t.Errorf("policy %d was served until %v, and %d from %v on", number, last, next, at)
			}
		}
	}
}

func (h *house) until(what string, holds func() bool) {
	h.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("never: %s", what)
		}
	}
}

// all tells whether these serve under a policy.
func (h *house) all(number uint64, names ...string) bool {
	for _, name := range names {
		if n, _, ok := h.room(name).Serves(); !ok || n != number {
			return false
		}
	}
	return true
}

func (h *house) propose(at, id string, follows uint64, text string) policy.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return h.room(at).Propose(ctx, policy.Proposal{ID: id, Author: "x", Follows: follows, Text: []byte(text)})
}

var six = []string{"n0", "n1", "n2", "n3", "n4", "n5"}

// TestChange: all well, a change proposed anywhere is in force everywhere, the next author who follows the former policy is told
// so, one reasoned no refuses a change for all, and a document can be had again.
func TestChange(t *testing.T) {
	h := newHouse(t, 6)
	h.until("all serve", func() bool { return h.all(1, six...) })
	if o := h.propose("n4", "c1", 1, "second"); o.State != policy.InForce || o.Number != 2 {
		t.Fatalf("%+v", o)
	}
	h.until("all serve under it", func() bool { return h.all(2, six...) })
	if o := h.propose("n5", "c2", 1, "other"); o.State != policy.Refused || !strings.Contains(o.Reason, "2 is in force") {
		t.Errorf("%+v of one that follows the former policy", o)
	}
	h.set(func() { h.fault["n3"] = "class x has no effect" })
	if o := h.propose("n0", "c3", 2, "bad"); o.State != policy.Refused || !strings.Contains(o.Reason, "n3: class x has no effect") {
		t.Errorf("%+v, one says no", o)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if o := h.room("n5").Outcome(ctx, "c1"); o.State != policy.InForce {
		t.Errorf("asked again: %+v", o)
	}
	for number, want := range map[uint64]string{0: "second", 1: "first", 2: "second"} {
		if d, err := h.room("n4").Document(ctx, number); err != nil || string(d.Text) != want {
			t.Errorf("document %d: %q, error %v", number, d.Text, err)
		}
	}
	s := h.room("n3").Status(ctx)
	if s.Serves != 2 || len(s.Deciders) != 3 || len(s.Silent) != 0 || s.Waived {
		t.Errorf("%+v", s)
	}
	h.apart()
}

// TestCutOff: a sidecar that is cut off during a change stops by itself before the others begin with the new policy, and serves
// again once it has learnt it. One that was told to serve on goes on, and says so.
func TestCutOff(t *testing.T) {
	h := newHouse(t, 5)
	h.start("n5", true)
	h.until("all serve", func() bool { return h.all(1, six...) })
	h.set(func() { h.cut["n4"], h.cut["n5"] = true, true })
	if o := h.propose("n3", "c1", 1, "second"); o.State != policy.InForce {
		t.Fatalf("%+v", o)
	}
	h.until("the others serve under it", func() bool { return h.all(2, six[:4]...) })
	if _, _, ok := h.room("n4").Serves(); ok {
		t.Error("one that is cut off serves on")
	}
	if n, _, ok := h.room("n5").Serves(); !ok || n != 1 {
		t.Errorf("one that is to serve on: %d, %v", n, ok)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if s := h.room("n5").Status(ctx); !s.Waived || len(s.Silent) != 3 {
		t.Errorf("%+v", s)
	}
	h.set(func() { clear(h.cut) })
	h.until("all serve under it", func() bool { return h.all(2, six...) })
	h.apart()
}

// TestDecidersLost: with one of three deciders lost changes go on; with two, serving ends when the promise does, and goes on when
// they come back with their folders. What was in force is.
func TestDecidersLost(t *testing.T) {
	h := newHouse(t, 5)
	five := six[:5]
	h.until("all serve", func() bool { return h.all(1, five...) })
	h.end("n0")
	if o := h.propose("n4", "c1", 1, "second"); o.State != policy.InForce {
		t.Fatalf("with one lost: %+v", o)
	}
	h.end("n1")
	h.until("promises end", func() bool { _, _, ok := h.room("n4").Serves(); return !ok })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if o := h.room("n4").Propose(ctx, policy.Proposal{ID: "c2", Follows: 2, Text: []byte("third")}); o.State == policy.InForce || o.State == policy.Refused {
		t.Errorf("with two lost: %+v", o)
	}
	h.start("n0", false)
	h.start("n1", false)
	h.until("all serve", func() bool { return h.all(2, five...) || h.all(3, five...) })
	h.apart()
}

// TestUnderFaults proposes one change after another while messages get lost and sidecars, deciders too, are cut off and started anew.
func TestUnderFaults(t *testing.T) {
	h := newHouse(t, 6)
	h.until("all serve", func() bool { return h.all(1, six...) })
	h.set(func() { h.loss = 0.15 })
	rng := rand.New(rand.NewPCG(1, 2))
	now := uint64(1)
	for i := range 6 {
		who := six[rng.IntN(len(six))]
		switch rng.IntN(3) {
		case 0:
			h.set(func() { h.cut[who] = true })
		case 1:
			h.end(who)
			h.start(who, false)
		}
		at := six[rng.IntN(len(six))]
		if at == who {
			at = six[(rng.IntN(len(six)-1)+1+int(who[1]-'0'))%len(six)]
		}
		if o := h.propose(at, fmt.Sprint("c", i), now, fmt.Sprint("text ", i)); o.State != policy.InForce {
			t.Errorf("change %d, proposed at %s with faults at %s: %+v", i, at, who, o)
		} else {
			now = o.Number
		}
		h.set(func() { clear(h.cut) })
	}
	h.set(func() { h.loss = 0 })
	h.until("all serve under the last", func() bool { return h.all(now, six...) })
	h.apart()
}

var sizes = flag.String("policyagent.sizes", "", "numbers of sidecars, by commas, that TestFigures times changes at")

// TestFigures prints how long changes take, from proposing to in force, with the usual promise: all well, with one of ten sidecars
// silent, and with a fifth of all calls lost.
func TestFigures(t *testing.T) {
	if *sizes == "" {
		t.Skip("no sizes are named by -policyagent.sizes")
	}
	for _, text := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 10 {
			t.Fatalf("size %q", text)
		}
		h := newHouse(t, 0)
		h.terms = policy.DefaultTerms
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint("n", i))
			h.start(all[i], false)
		}
		h.until("all serve", func() bool { return h.all(1, all...) })
		now := uint64(1)
		change := func(what string, by string) {
			var took []time.Duration
			for i := range 5 {
				begun := time.Now()
				o := h.propose(by, fmt.Sprint(what, i), now, fmt.Sprint(what, " text ", i))
				took = append(took, time.Since(begun).Round(10*time.Millisecond))
				if o.State != policy.InForce {
					t.Fatalf("%d sidecars, %s: %+v", n, what, o)
				}
				now = o.Number
			}
			slices.Sort(took)
			t.Logf("%d sidecars, %s: %v to %v, median %v", n, what, took[0], took[len(took)-1], took[len(took)/2])
		}
		change("all well", "n3")
		h.set(func() { h.loss = 0.2 })
		change("a fifth of the calls lost", "n4")
		h.set(func() {
			h.loss = 0
			for i := 3; i < n; i += 10 {
				h.cut[all[i]] = true
			}
		})
		change("one of ten silent", "n4") // the first of them finds promises that are waited for
		h.apart()
		for _, name := range all {
			h.end(name)
		}
	}
}

// TestRaisedLife has the fleet come to a higher life of a sidecar, and then be told of a lower one: it asks under the
// highest.
func TestRaisedLife(t *testing.T) {
	h := newHouse(t, 1)
	c := h.room("n0")
	for _, life := range []uint64{7, 5} {
		c.Raise(life)
		c.mu.Lock()
		if got := c.holder.Request().Incarnation; got != 7 {
			t.Errorf("it asks under life %d, want 7", got)
		}
		c.mu.Unlock()
	}
}
