package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// TestOperatorCallReachesAllMembers starts three members on sockets one after the other. Each catches up, a call at one
// member reaches all, and the others detect that one leaves.
func TestOperatorCallReachesAllMembers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a := startMember(t, "a")
	address := a.transport.Address()
	if holders, asked, err := a.SetAdminDown(ctx, "s-0", true, true); holders != 0 || asked != 0 || err != nil {
		t.Errorf("confirmed by %d of %d, error %v without another member", holders, asked, err)
	}
	b, c := startMember(t, "b", address), startMember(t, "c", address)
	for _, m := range []*testMember{b, c} {
		select {
		case <-m.CaughtUp():
		case <-ctx.Done():
			t.Fatal("member has not caught up")
		}
		m.waitForAdminDown(t, "s-0")
		if ready, phase := m.Ready(ctx); !ready || phase != "whole" {
			t.Errorf("ready %v, phase %s", ready, phase)
		}
	}
	c.SetServers([]Server{{ID: "s-1", Boot: time.Now().UnixMilli()}, {ID: "s-0"}})
	if holders, _, err := c.SetAdminDown(ctx, "s-1", true, true); err != nil || holders == 0 {
		t.Errorf("confirmed by %d, error %v", holders, err)
	}
	a.waitForAdminDown(t, "s-0", "s-1")
	b.waitForAdminDown(t, "s-0", "s-1")
	if known, err := b.KnowsServer(ctx, "s-1"); err != nil || !known {
		t.Errorf("known %v, error %v", known, err)
	}
	if _, _, err := b.SetAdminDown(ctx, "s-0", false, true); err != nil {
		t.Error(err)
	}
	for _, m := range []*testMember{a, b, c} {
		m.waitForAdminDown(t, "s-1")
	}
	waitFor(t, "the status shows three members in sync, s-0 up and s-1 down", func() bool {
		s := b.status(t)
		inSync := len(s.Members) == 2 && s.NumPresent == 3
		for _, m := range s.Members {
			inSync = inSync && m.InSync
		}
		return inSync && s.Name == "b" &&
			len(s.Servers) == 2 && !s.Servers[0].AdminDown && s.Servers[1].AdminDown
	})
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	waitFor(t, "a has c in state left", func() bool {
		return slices.ContainsFunc(a.status(t).Members, func(m MemberStatus) bool {
			return m.Name == "c" && m.State == "left"
		})
	})
	if _, _, err := c.SetAdminDown(ctx, "s-9", true, true); err == nil {
		t.Error("closed member accepts a call")
	}
}

// startMembers starts n members and waits until each has all of them as present.
func startMembers(t *testing.T, n int) (all []*testMember) {
	t.Helper()
	var peers []string
	for i := range n {
		m := startMember(t, fmt.Sprint("n", i), peers...)
		all = append(all, m)
		peers = append(peers, m.transport.Address())
		<-m.CaughtUp()
	}
	waitFor(t, "each member has all members as present", func() bool {
		return !slices.ContainsFunc(all, func(m *testMember) bool { return m.status(t).NumPresent != n })
	})
	return all
}

// TestSuspicionReachesMembersThatListTheServer has five of six members observe late responses of servers. Each member
// with a server in its list is notified, also without an attempt of its own. A member is not notified if its list has
// the server with another boot time or not at all. The first good response at any member ends the suspicion.
func TestSuspicionReachesMembersThatListTheServer(t *testing.T) {
	all := startMembers(t, 6)
	observers, last := all[:5], all[5]
	for _, m := range all {
		var list []Server
		for server := range 10 {
			list = append(list, Server{ID: fmt.Sprint("s-", server)})
		}
		if m == last {
			list[2].Boot = time.Now().UnixMilli()
			list[3].ID = "other"
		}
		m.SetServers(list)
	}
	// Late responses alone cause a suspicion if several members have them at a time. The observations are repeated, as
	// reports expire some seconds after the last one and the machine may be slow.
	observeLate := func(servers ...string) {
		for _, m := range observers {
			for _, server := range servers {
				m.Observe(server, failuredetector.Late)
			}
		}
	}
	waitFor(t, "members are notified of the suspected servers in their lists", func() bool {
		observeLate("s-1", "s-2", "s-3")
		suspicions := last.status(t).Suspicions
		if len(suspicions) < 3 || slices.ContainsFunc(suspicions, func(s SuspicionStatus) bool {
			return !s.Suspected || len(s.Rows) < 3
		}) {
			return false
		}
		for _, s := range suspicions {
			if want := s.ID == "s-1"; s.Listed != want {
				t.Fatalf("status %+v, want listed %v", s, want)
			}
		}
		return all[0].hasSuspected("s-1", "s-2", "s-3") && last.hasSuspected("s-1")
	})
	all[2].Observe("s-1", failuredetector.Answered)
	waitFor(t, "one good response ends the suspicion at all members", func() bool {
		observeLate("s-2", "s-3")
		return last.hasSuspected() && all[0].hasSuspected("s-2", "s-3")
	})
}

// TestPolicyAgentFollowsIncarnation checks that the policy agent receives the new number when membership raises the
// number of this process's incarnation above that of an earlier process.
func TestPolicyAgentFollowsIncarnation(t *testing.T) {
	const formerNumber = 1 << 60
	c := &Config{
		Label:   "test",
		Address: "127.0.0.1:0",
		Policy:  &PolicyConfig{Voters: []string{"d0", "d1", "d2"}, initialPolicy: []byte("first")},
	}
	callbacks := Callbacks{CheckPolicy: func(uint64, []byte) string { return "" }}
	f, err := Start(c, "n0", nil, slog.New(slog.DiscardHandler), callbacks)
	if err != nil {
		t.Fatal(err)
	}
	raised := make(chan uint64, 100)
	former := membership.Member{
		Name:               "n0",
		Address:            f.address,
		ProcessIncarnation: membership.ProcessIncarnation{Number: formerNumber, Nonce: 1},
	}
	f.post(t.Context(), func(now replication.Now) {
		if f.raiseIncarnation == nil {
			t.Error("loop has no function to raise the incarnation of the policy agent")
		}
		f.raiseIncarnation = func(number uint64) { raised <- number }
		if err := f.machine.Members.Merge(now.Time, []membership.Member{former}, "n1"); err != nil {
			t.Error(err)
		}
	})
	select {
	case got := <-raised:
		if got != formerNumber+1 {
			t.Errorf("policy agent received incarnation %d, want %d", got, uint64(formerNumber+1))
		}
	case <-time.After(patience):
		t.Error("policy agent received no incarnation")
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}
