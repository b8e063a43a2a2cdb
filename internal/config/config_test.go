package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestLoad: a valid file is loaded, and files with one fault each are rejected.
func TestLoad(t *testing.T) {
	known := testserver.ListText(4, true, testserver.EndpointEntry("s-0", "127.0.0.1:8", "SERVING", 5))
	good := testserver.ConfigText("127.0.0.1:9", known, testserver.Settings)
	c, err := loadText(t, good, "PROXY_NAME=n7")
	if err != nil {
		t.Fatal(err)
	}
	if s := c.Settings; c.Name != "n7" || s.Seed != 0x8c1f30d27a5be964 ||
		s.Service != "back" || len(s.Zones) != 2 || s.Peers != 1 ||
		s.Classes[1].Effect != balance.Deduplicated || s.Classes[1].Scope != balance.ScopeAll ||
		s.Classes[2].LatencyObjective != 20*time.Second || c.Names.Tenant["acme, east"] != 0 || len(c.Names.Tenant) != 1 ||
		c.Limits.ConnectTimeout != 5*time.Second || c.Limits.MaxInFlight != 20000 || c.Sockets != 1024 {
		t.Errorf("configuration %+v", c)
	}
	if k := c.InitialList; k.Revision != 4 || len(k.Endpoints) != 1 || !k.Endpoints[0].StartedAt.Equal(time.UnixMilli(5)) {
		t.Errorf("known %+v", k)
	}
	for _, tt := range []struct{ old, new, want string }{
		{`"seed":"8c`, `"seed":"xx`, "seed"},
		{`"listen":"127.0.0.1:0"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:9"`, `"discovery":""`, "discovery: missing"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":2`, "limits.sockets"},
		{`"peers_total":1`, `"peers_total":"many"`, "peers_total"},
		{`"my_zone":"a",`, ``, "my_zone"},
		{`"effect":"at_most_once"`, `"effect":"twice"`, "effect"},
		{`"connect_timeout_s":5.0`, `"connect_timeout_s":-1`, "connect_timeout_s"},
		{`"state":"SERVING"`, `"state":"ASLEEP"`, "known"},
		{`"uid":"s-0"`, `"uid":""`, "known"},
		{`{"name"`, `{{"name"`, "config.json"},
	} {
		text := strings.Replace(good, tt.old, tt.new, 1)
		if text == good {
			t.Errorf("%s is not in the configuration", tt.old)
		}
		if _, err := loadText(t, text); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one with %q", tt.new, err, tt.want)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil {
		t.Error("no error without a configuration")
	}
}

// TestEnvironmentTakesPrecedenceAtStartAndFileAtReload: the environment and the file name different discovery
// addresses.
func TestEnvironmentTakesPrecedenceAtStartAndFileAtReload(t *testing.T) {
	c, err := loadText(t, testserver.ConfigText("127.0.0.1:9", "", testserver.Settings), "PROXY_DISCOVERY=127.0.0.1:10")
	if err != nil || c.DiscoveryAddress != "127.0.0.1:10" {
		t.Fatalf("discovery %q at the start, error %v", c.DiscoveryAddress, err)
	}
	if c, err = c.Reload(); err != nil || c.DiscoveryAddress != "127.0.0.1:9" {
		t.Errorf("discovery %q after a reload, error %v", c.DiscoveryAddress, err)
	}
}

// TestResourceShortageDelaysReading: a failure to open the file is retried only if the machine is short of resources.
func TestResourceShortageDelaysReading(t *testing.T) {
	for _, tt := range []struct {
		errno syscall.Errno
		fails int
		reads bool
		calls int
	}{
		{unix.EMFILE, 5, true, 6},
		{unix.ENOMEM, 1, true, 2},
		{unix.ENOENT, 1, false, 1},
		{unix.EACCES, 1, false, 1},
	} {
		calls := 0
		text, err := readWithRetry("config.json", func(path string) ([]byte, error) {
			if calls++; calls <= tt.fails {
				return nil, &os.PathError{Op: "open", Path: path, Err: tt.errno}
			}
			return []byte("text"), nil
		})
		if (string(text) == "text" && err == nil) != tt.reads || calls != tt.calls || !tt.reads && !errors.Is(err, tt.errno) {
			t.Errorf("%v: %q, error %v after %d calls", tt.errno, text, err, calls)
		}
	}
}

// TestMissingKey compares reloaded documents with the one in use.
func TestMissingKey(t *testing.T) {
	object := func(pairs ...any) map[string]any {
		o := map[string]any{}
		for i := 0; i < len(pairs); i += 2 {
			o[pairs[i].(string)] = pairs[i+1]
		}
		return o
	}
	current := object("a", 1.0, "known", 1.0, "o", object("x", 1.0, "aim_stretch", 1.0), "l",
		[]any{object("n", "p", "w", 1.0), object("n", "q", "w", 2.0, "extra", 3.0)}, "plain", []any{"x", "y"})
	for _, tt := range []struct {
		name     string
		reloaded map[string]any
		want     string
	}{
		{"same document", current, ""},
		{"additional keys, optional keys missing", object("a", 2.0, "b", 1.0, "o", object("x", 2.0),
			"l", []any{object("n", "z", "w", 1.0)}, "plain", []any{}), ""},
		{"key missing", object("o", object("x", 1.0), "l", []any{}, "plain", []any{}), "a"},
		{"key null", object("a", nil, "o", object("x", 1.0), "l", []any{}, "plain", []any{}), "a"},
		{"nested key missing", object("a", 1.0, "o", object(), "l", []any{}, "plain", []any{}), "o.x"},
		{"object replaced", object("a", 1.0, "o", 3.0, "l", []any{}, "plain", []any{}), "o"},
		{"list replaced", object("a", 1.0, "o", object("x", 1.0), "l", object(), "plain", []any{}), "l"},
		{"key of a list entry missing", object("a", 1.0, "o", object("x", 1.0),
			"l", []any{object("n", "z", "w", 1.0), object("n", "z")}, "plain", []any{}), "l.1.w"},
	} {
		if got := missingKey("", current, tt.reloaded); got != tt.want {
			t.Errorf("%s: %q is missing, want %q", tt.name, got, tt.want)
		}
	}
}

// loadText loads a configuration from a file with this text.
func loadText(t *testing.T, text string, env ...string) (*Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(testserver.Environment(file, env...))
}
