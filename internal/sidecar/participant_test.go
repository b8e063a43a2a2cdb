package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/proxy"
)

// fakeParticipant is a Participant whose policy is set by the test.
type fakeParticipant struct {
	callbacks Callbacks
	settings  map[string]any // the sidecar's settings without proxy.OwnSettingKeys

	mu           sync.Mutex
	number       uint64
	wait         time.Duration
	ok           bool
	reads        int
	advanceAfter int // number of reads after which the next policy is in force; 0: the policy does not change
}

func (f *fakeParticipant) Address() string { return "" }

func (f *fakeParticipant) CaughtUp() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (f *fakeParticipant) Ready(context.Context) (bool, string) { return true, "" }

func (f *fakeParticipant) UpdateServers([]ListedServer) {}

func (f *fakeParticipant) Observe(string, balance.Observation) {}

func (f *fakeParticipant) KnowsServer(context.Context, string) (bool, error) { return false, nil }

func (f *fakeParticipant) SetAdminDown(context.Context, string, bool, bool) (int, int, error) {
	return 0, 0, nil
}

func (f *fakeParticipant) Status(context.Context) ([]byte, error) { return nil, nil }

func (f *fakeParticipant) WriteMetrics(context.Context, io.Writer) error { return nil }

func (f *fakeParticipant) Close() error { return nil }

func (f *fakeParticipant) Policy() proxy.Policy { return f }

func (f *fakeParticipant) Handler() http.Handler { return http.NotFoundHandler() }

// Serves implements Policy.
func (f *fakeParticipant) Serves() (uint64, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reads++; f.advanceAfter > 0 && f.reads > f.advanceAfter {
		f.advanceAfter = 0
		f.number++
	}
	return f.number, f.wait, f.ok
}

func (f *fakeParticipant) setPolicy(number uint64, wait time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number, f.wait, f.ok = number, wait, ok
}

// join is a JoinFunc.
func (f *fakeParticipant) join(c *config.Config, _ []string, _ *slog.Logger, callbacks Callbacks) (Participant, error) {
	f.callbacks, f.settings = callbacks, maps.Clone(c.SettingsDocument())
	for _, key := range proxy.LocalSettingKeys {
		delete(f.settings, key)
	}
	return f, nil
}

// policyDocument returns the sidecar's settings as a policy document, without the class of this name; "": with all
// classes.
func (f *fakeParticipant) policyDocument(t *testing.T, without string) []byte {
	t.Helper()
	tree := maps.Clone(f.settings)
	classes := slices.Clone(tree["request_classes"].([]any))
	tree["request_classes"] = slices.DeleteFunc(classes, func(class any) bool {
		return class.(map[string]any)["name"] == without
	})
	text, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// expectCheck fails the test unless the check of a policy document finds the given fault; "": no fault.
func (f *fakeParticipant) expectCheck(t *testing.T, number uint64, text []byte, fault string) {
	t.Helper()
	if got := f.callbacks.CheckPolicy(number, text); (got == "") != (fault == "") || !strings.Contains(got, fault) {
		t.Errorf("policy %d: %q, want %q", number, got, fault)
	}
}
