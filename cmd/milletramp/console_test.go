package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// testConsole answers each path with a status and a text; other paths are not found.
func testConsole(t *testing.T, answers map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, known := answers[r.URL.Path]
		if !known {
			http.Error(w, "no such call", http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(text))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestConsoleCommands runs the commands that call consoles: their exit status is the one that their help states.
func TestConsoleCommands(t *testing.T) {
	bin := build(t)
	document := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(document, []byte(`{"a":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	const (
		served     = `{"serves_under":4,"deciders":[{"decider":"n0","in_force":4,"settled":true,"deciders":["n0"]}]}`
		leaseless  = `{"serves_under":4,"without_a_promise":true}`
		agreeing   = `{"name":"n0","sums":{"evidence":"aa"}}`
		differing  = `{"name":"n1","sums":{"evidence":"bb"}}`
		statusPath = "/ops/policy/status"
		fleetPath  = "/ops/fleet"
	)
	outcome := func(state string) map[string]string {
		text := `{"id":"c1","number":5,"state":"` + state + `","reason":"because"}`
		return map[string]string{statusPath: served, "/ops/policy/propose": text, "/ops/policy/outcome": text}
	}
	inForce, refused, voting := testConsole(t, outcome("in force")), testConsole(t, outcome("refused")), testConsole(t, outcome("voting"))
	none := testConsole(t, nil)
	replaced := testConsole(t, map[string]string{statusPath: served, "/ops/policy/replace": "{}"})
	unleased := testConsole(t, map[string]string{statusPath: leaseless})
	first, second := testConsole(t, map[string]string{fleetPath: agreeing}), testConsole(t, map[string]string{fleetPath: differing})
	tests := []struct {
		name   string
		status int
		want   string
		args   []string
	}{
		{"in force", 0, "policy 5 is in force", []string{"policy", "propose", document, inForce}},
		{"refused", 1, "change c1 was refused", []string{"policy", "propose", "--id", "c1", document, refused}},
		{"undecided", 2, "undecided: c1 is voting", []string{"policy", "propose", "--id", "c1", "--wait", "2s", document, voting}},
		{"no such call", 1, none + ": status 404: no such call", []string{"policy", "propose", document, none}},
		{"outcome", 0, "policy 5 is in force", []string{"policy", "outcome", "c1", inForce}},
		{"outcome undecided", 2, "undecided: c1 is voting", []string{"policy", "outcome", "--wait", "1s", "c1", voting}},
		{"replaced", 0, "n0 decides: n0", []string{"policy", "replace", "n0", "n0", replaced}},
		{"not yet replaced", 2, "has not yet taken the place", []string{"policy", "replace", "--wait", "1s", "n0", "n1", replaced}},
		{"status", 0, "serves under policy 4", []string{"policy", "status", inForce}},
		{"no lease", 1, "WITHOUT A PROMISE", []string{"policy", "status", unleased}},
		{"agreement", 0, "evidence", []string{"fleet", "status", first, first}},
		{"difference", 1, "n0 and n1 differ in evidence", []string{"fleet", "status", first, second}},
		{"no fleet", 1, none + ": status 404: no such call", []string{"fleet", "status", first, none}},
		{"usage", 80, "expected", []string{"policy", "diff"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out, err := exec.Command(bin, tt.args...).CombinedOutput()
			status := 0
			if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
				status = exit.ExitCode()
			}
			if status != tt.status || !strings.Contains(string(out), tt.want) {
				t.Errorf("status %d, want %d; said\n%swant %q", status, tt.status, out, tt.want)
			}
		})
	}
}

// TestDiffValues compares documents of all kinds of JSON values.
func TestDiffValues(t *testing.T) {
	before := map[string]any{"a": 1.0, "list": []any{1.0, 2.0}, "same": "x", "nested": map[string]any{"gone": true}}
	after := map[string]any{"a": 2.0, "list": []any{1.0}, "same": "x", "nested": map[string]any{}, "new": "y"}
	want := "a: 1, now 2\nlist.1: 2, now nothing\nnested.gone: true, now nothing\nnew: nothing, now \"y\""
	if got := strings.Join(diffValues("", before, after), "\n"); got != want {
		t.Errorf("differences\n%s\nwant\n%s", got, want)
	}
}
