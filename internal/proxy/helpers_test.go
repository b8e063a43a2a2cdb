package proxy

import (
	"os"
	"path/filepath"
	"testing"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// loadConfig reads a configuration as the program does. Each of env is KEY=VALUE.
func loadConfig(t *testing.T, text string, env ...string) (*config.Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return config.Load(testserver.Environment(file, env...))
}

// parseList returns the list that a text in discovery's form holds.
func parseList(t *testing.T, text string) discovery.List {
	t.Helper()
	l, err := discovery.ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}
