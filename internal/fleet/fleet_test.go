package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/fsys"
)

const patience = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testMember is a part in a fleet, and what it has been told.
type testMember struct {
	*Fleet
	adminDownUpdates chan []string

	mu        sync.Mutex
	suspected []string // told last
}

func startMember(t *testing.T, name string, peers ...string) *testMember {
	t.Helper()
	m := &testMember{adminDownUpdates: make(chan []string, 100)}
	doubts := func(d []Suspicion) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.suspected = nil
		for _, d := range d {
			m.suspected = append(m.suspected, d.ID)
		}
		slices.Sort(m.suspected)
	}
	c := &Config{Label: "test", Address: "127.0.0.1:0", Peers: peers}
	var err error
	if m.Fleet, err = Start(c, name, nil, slog.New(slog.DiscardHandler), Callbacks{OnAdminDown: func(out []string) { m.adminDownUpdates <- out }, OnSuspicions: doubts}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := m.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // a test may have closed it
			t.Error(err)
		}
	})
	return m
}

// waitForAdminDown waits until a member is told that these are out.
func (m *testMember) waitForAdminDown(t *testing.T, want ...string) {
	t.Helper()
	for end := time.After(patience); ; {
		select {
		case got := <-m.adminDownUpdates:
			if slices.Equal(got, want) {
				return
			}
		case <-end:
			t.Fatalf("never told that %v are out", want)
		}
	}
}

// TestOperatorCallReachesAllMembers starts three parts one after the other on sockets: each catches up, a call at one reaches all, and one that
// leaves is known to have.
func TestOperatorCallReachesAllMembers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a := startMember(t, "a")
	at := a.transport.Address()
	if held, asked, err := a.SetAdminDown(ctx, "s-0", true, true); held != 0 || asked != 0 || err != nil {
		t.Errorf("held by %d of %d, error %v where there is nobody else", held, asked, err)
	}
	b, c := startMember(t, "b", at), startMember(t, "c", at)
	for _, m := range []*testMember{b, c} {
		select {
		case <-m.CaughtUp():
		case <-ctx.Done():
			t.Fatal("never caught up")
		}
		m.waitForAdminDown(t, "s-0")
		if ready, phase := m.Ready(ctx); !ready || phase != "whole" {
			t.Errorf("ready %v, phase %s", ready, phase)
		}
	}
	c.SetServers([]Server{{ID: "s-1", Boot: time.Now().UnixMilli()}, {ID: "s-0"}})
	held, _, err := c.SetAdminDown(ctx, "s-1", true, true)
	if err != nil || held == 0 {
		t.Errorf("held by %d, error %v", held, err)
	}
	a.waitForAdminDown(t, "s-0", "s-1")
	b.waitForAdminDown(t, "s-0", "s-1")
	if known, err := b.Knows(ctx, "s-1"); err != nil || !known {
		t.Errorf("known %v, error %v", known, err)
	}
	if _, _, err := b.SetAdminDown(ctx, "s-0", false, true); err != nil {
		t.Error(err)
	}
	for _, m := range []*testMember{a, b, c} {
		m.waitForAdminDown(t, "s-1")
	}
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		s, err := b.Status(ctx)
		if err != nil {
			t.Fatal(err)
		}
		same := len(s.Members) == 2 && s.NumPresent == 3
		for _, m := range s.Members {
			same = same && m.InSync
		}
		if same && s.Name == "b" && len(s.Servers) == 2 && !s.Servers[0].AdminDown && s.Servers[1].AdminDown {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("status %+v", s)
		}
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		s, err := a.Status(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if i := slices.IndexFunc(s.Members, func(m MemberStatus) bool { return m.Name == "c" }); i >= 0 && s.Members[i].State == "left" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("nobody knows that it left: %+v", s)
		}
	}
	if _, _, err := c.SetAdminDown(ctx, "s-9", true, true); err == nil {
		t.Error("one that has ended takes calls")
	}
}

// TestSuspicionReachesMembersThatListTheServer has six parts on sockets see a server fall silent: each that has it in its list is told, though it saw nothing
// itself; one whose list has another process of it, or none, is not; and the first good answer of anyone ends it.
func TestSuspicionReachesMembersThatListTheServer(t *testing.T) {
	var all []*testMember
	var peers []string
	for i := range 6 {
		m := startMember(t, fmt.Sprint("n", i), peers...)
		all, peers = append(all, m), append(peers, m.transport.Address())
		<-m.CaughtUp()
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		here := 0
		for _, m := range all {
			if s, err := m.Status(ctx); err == nil && s.NumPresent == len(all) {
				here++
			}
		}
		if here == len(all) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the parts never found each other")
		}
	}
	for i, m := range all {
		var list []Server
		for server := range 10 {
			list = append(list, Server{ID: fmt.Sprint("s-", server)})
		}
		if i == 5 {
			list[2].Boot = time.Now().UnixMilli()
			list[3].ID = "other"
		}
		m.SetServers(list)
	}
	// Late alone leads to doubt: four or five wait at the same time, and the collectors ask them to say so. They go on trying,
	// as words end some seconds after the last try and the machine may be slow.
	late := func(servers ...string) {
		for _, m := range all[:5] {
			for _, server := range servers {
				m.Observe(server, failuredetector.Late)
			}
		}
	}
	waitFor(t, "all know of three servers", func() bool {
		late("s-1", "s-2", "s-3")
		s, err := all[5].Status(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Suspicions) < 3 || slices.ContainsFunc(s.Suspicions, func(d SuspicionStatus) bool { return !d.Suspected || len(d.Rows) < 3 }) {
			return false
		}
		for _, d := range s.Suspicions {
			if want := d.ID == "s-1"; d.Listed != want {
				t.Fatalf("status %+v, listed wanted: %v", d, want)
			}
		}
		return all[0].hasSuspected("s-1", "s-2", "s-3") && all[5].hasSuspected("s-1")
	})
	all[2].Observe("s-1", failuredetector.Answered)
	waitFor(t, "one good answer ends the doubt of all", func() bool {
		late("s-2", "s-3")
		return all[5].hasSuspected() && all[0].hasSuspected("s-2", "s-3")
	})
}

// waitFor waits for a condition, which it tries again and again.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// hasSuspected tells whether a member was last told that these, and no others, are in doubt.
func (m *testMember) hasSuspected(want ...string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Equal(m.suspected, want)
}

// TestConfigErrorNamesTheKey reads files: a good one, and ones with a fault, whose error names the key.
func TestConfigErrorNamesTheKey(t *testing.T) {
	dir := t.TempDir()
	for i, tt := range []struct{ text, fault string }{
		{"label = \"x\"\naddress = \"127.0.0.1:7000\"\npeers = [\"127.0.0.1:7001\"]\n[limits]\ncatch_up_ms = 500\n", ""},
		{"label = \"x\"\n", ""},
		{"", "label"},
		{"label = \" x\"\n", "label"},
		{"label = \"x\"\naddress = \"[::1]:7000\"\n", "address"},
		{"label = \"x\"\naddress = \"0.0.0.0:7000\"\n", "address"},
		{"label = \"x\"\npeers = [\"127.0.0.1\"]\n", "peers[0]"},
		{"label = \"x\"\npeers = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n", "peers[1]"},
		{"label = \"x\"\n[limits]\ncatch_up_ms = 5\n", "limits.catch_up_ms"},
		{"label = \"x\"\npears = []\n", "pears"},
		{"label = \"x\"\n[limits]\ncatch_up = 5\n", "limits.catch_up"},
		{"label = \n", "label"},
		{"label = \"x\"\n[policy]\ndeciders = [\"a\", \"b\", \"c\"]\nfirst = \"0\"\nfolder = \"x\"\n", ""},
		{"label = \"x\"\n[policy]\ndeciders = [\"a\", \"b\"]\nfirst = \"0\"\nfolder = \"x\"\n", "policy.deciders"},
		{"label = \"x\"\n[policy]\ndeciders = [\"a\", \"b\", \"b\"]\nfirst = \"0\"\nfolder = \"x\"\n", "policy.deciders[2]"},
		{"label = \"x\"\n[policy]\ndeciders = [\"a\", \"b\", \"c\"]\nfirst = \"none\"\nfolder = \"x\"\n", "policy.first"},
		{"label = \"x\"\n[policy]\ndeciders = [\"a\", \"b\", \"c\"]\nfirst = \"0\"\n", "policy.folder"},
		{"label = \"x\"\n[policy]\ndeciders = [\"a\", \"b\", \"c\"]\nfirst = \"0\"\nfolder = \"x\"\npromise_ms = 9\n", "policy.promise_ms"},
	} {
		file := filepath.Join(dir, fmt.Sprint(i))
		if err := os.WriteFile(file, []byte(tt.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadConfig(file)
		if (err == nil) != (tt.fault == "") || err != nil && !strings.Contains(err.Error(), tt.fault) {
			t.Errorf("%q: error %v, want one on %q", tt.text, err, tt.fault)
		}
	}
	env := map[string]string{}
	get := func(key string) string { return env[key] }
	if c, err := FromEnvironment(get); c != nil || err != nil {
		t.Errorf("%+v, error %v with no file named", c, err)
	}
	env[configVariable] = filepath.Join(dir, "1")
	if _, err := FromEnvironment(get); err == nil {
		t.Error("no address is needed")
	}
	env[addressVariable] = "127.0.0.1:7009"
	if c, err := FromEnvironment(get); err != nil || c.Address != "127.0.0.1:7009" {
		t.Errorf("%+v, error %v", c, err)
	}
}

// TestSnapshotFileOutlastsTheWholeFleet has a fleet of one be lost, with and without a folder: with one it knows what the staff said.
func TestSnapshotFileOutlastsTheWholeFleet(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for _, folder := range []string{t.TempDir(), ""} {
		c := &Config{Label: "test", Address: "127.0.0.1:0", SnapshotFolder: folder}
		told := make(chan []string, 10)
		start := func() *Fleet {
			f, err := Start(c, "a", nil, slog.New(slog.DiscardHandler), Callbacks{OnAdminDown: func(out []string) { told <- out }, OnSuspicions: func([]Suspicion) {}})
			if err != nil {
				t.Fatal(err)
			}
			return f
		}
		first := start()
		if _, _, err := first.SetAdminDown(ctx, "s-1", true, true); err != nil {
			t.Fatal(err)
		}
		if err := first.Close(); err != nil {
			t.Fatal(err)
		}
		second := start()
		known, err := second.Knows(ctx, "s-1")
		if err != nil || known != (folder != "") {
			t.Errorf("known %v, error %v with folder %q", known, err, folder)
		}
		if err := second.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestDamagedSnapshotFileIsRejected cuts a sealed state at each byte and changes each: all are dropped, with a reason.
func TestDamagedSnapshotFileIsRejected(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.state")
	if err := writeSnapshot(fsys.OS{}, file, []byte("what the staff said")); err != nil {
		t.Fatal(err)
	}
	sealed, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := decodeSnapshot(sealed); err != nil || string(text) != "what the staff said" {
		t.Fatalf("%q, error %v", text, err)
	}
	for i := range sealed {
		if _, err := decodeSnapshot(sealed[:i]); err == nil {
			t.Errorf("cut at byte %d it is taken", i)
		}
		bent := slices.Clone(sealed)
		bent[i] ^= 0x20
		if _, err := decodeSnapshot(bent); err == nil {
			t.Errorf("with byte %d changed it is taken", i)
		}
	}
	if err := os.WriteFile(file, sealed[:len(sealed)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := readSnapshot(file, "test"); err == nil || !strings.Contains(err.Error(), "bytes") {
		t.Errorf("error %v", err)
	}
	if items, _, err := readSnapshot(file+"x", "test"); err != nil || items != nil {
		t.Errorf("%v, error %v where there is no file", items, err)
	}
}

// TestPolicyAgentFollowsIncarnation has membership come to a higher life, as that of a former process was higher: the part in the
// policy follows.
func TestPolicyAgentFollowsIncarnation(t *testing.T) {
	c := &Config{Label: "test", Address: "127.0.0.1:0",
		Policy: &PolicyConfig{Voters: []string{"d0", "d1", "d2"}, initialPolicy: []byte("first")}}
	f, err := Start(c, "n0", nil, slog.New(slog.DiscardHandler), Callbacks{CheckPolicy: func(uint64, []byte) string { return "" }})
	if err != nil {
		t.Fatal(err)
	}
	raised := make(chan uint64, 100)
	former := membership.Member{Name: "n0", Address: f.address, Life: membership.Life{Number: 1 << 60, Nonce: 1}}
	f.post(t.Context(), func(now replication.Now) {
		if f.raiseIncarnation == nil {
			t.Error("the part in the policy is not told of the life")
		}
		f.raiseIncarnation = func(life uint64) { raised <- life }
		if err := f.machine.Members.Merge(now.Time, []membership.Member{former}, "n1"); err != nil {
			t.Error(err)
		}
	})
	select {
	case got := <-raised:
		if got != 1<<60+1 {
			t.Errorf("it goes under life %d, want %d", got, uint64(1<<60+1))
		}
	case <-time.After(patience):
		t.Error("the part in the policy is told of no life")
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}
