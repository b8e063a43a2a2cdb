package fleet

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const (
	patience     = 30 * time.Second // timeout for a condition to hold
	pollInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testMember is a member of a fleet with the notifications that it has received.
type testMember struct {
	*Fleet
	adminDownUpdates chan []string

	mu        sync.Mutex
	suspected []string // servers in the last notification
}

// startMember starts a member and closes it when the test ends.
func startMember(t *testing.T, name string, peers ...string) *testMember {
	t.Helper()
	m := &testMember{adminDownUpdates: make(chan []string, 100)}
	callbacks := Callbacks{
		OnAdminDown:  func(servers []string) { m.adminDownUpdates <- servers },
		OnSuspicions: m.onSuspicions,
	}
	c := &Config{Label: "test", Address: "127.0.0.1:0", Peers: peers}
	var err error
	if m.Fleet, err = Start(c, name, nil, slog.New(slog.DiscardHandler), callbacks); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := m.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // the test may have closed it
			t.Error(err)
		}
	})
	return m
}

func (m *testMember) onSuspicions(suspicions []Suspicion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspected = nil
	for _, s := range suspicions {
		m.suspected = append(m.suspected, s.ID)
	}
	slices.Sort(m.suspected)
}

// hasSuspected reports whether the last notification had exactly these suspected servers.
func (m *testMember) hasSuspected(want ...string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Equal(m.suspected, want)
}

// waitForAdminDown waits for a notification that exactly these servers are administratively down.
func (m *testMember) waitForAdminDown(t *testing.T, want ...string) {
	t.Helper()
	for timeout := time.After(patience); ; {
		select {
		case got := <-m.adminDownUpdates:
			if slices.Equal(got, want) {
				return
			}
		case <-timeout:
			t.Fatalf("no notification that exactly %v are administratively down", want)
		}
	}
}

// status returns the member's status, and fails the test if the member does not respond.
func (m *testMember) status(t *testing.T) Status {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	s, err := m.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// waitFor polls a condition until it holds, and fails the test after patience.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", patience, what)
		}
	}
}
