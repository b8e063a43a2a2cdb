package config

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestMalformedAddressesAreRefused: a configuration whose console address is malformed, or that has a name in the place
// of an IP address, is refused with an error that names the field.
func TestMalformedAddressesAreRefused(t *testing.T) {
	good := testserver.ConfigText("127.0.0.1:9", "", testserver.Settings)
	for _, tt := range []struct{ name, variable, want string }{
		{"console without a port", "PROXY_CONSOLE=127.0.0.1", "console: address 127.0.0.1: missing port in address"},
		{"console with a port out of range", "PROXY_CONSOLE=127.0.0.1:65536",
			`console: "127.0.0.1:65536" is no IP address and port`},
		{"console with a named port", "PROXY_CONSOLE=127.0.0.1:http",
			`console: "127.0.0.1:http" is no IP address and port`},
		{"console at a name", "PROXY_CONSOLE=localhost:9", `console: "localhost:9" is no IP address and port`},
		{"listen at a name", "PROXY_LISTEN=localhost:9", `listen: "localhost:9" is no IP address and port`},
		{"discovery at a name", "PROXY_DISCOVERY=localhost:9", `discovery: "localhost:9" is no IP address and port`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := loadText(t, good, tt.variable); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
	if _, err := loadText(t, good, "PROXY_CONSOLE=[::1]:9"); err != nil {
		t.Errorf("console at an IPv6 address: %v", err)
	}
}

// TestMissingConfigurationFile: a PROXY_CONFIG that names no file is an error that says so.
func TestMissingConfigurationFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	_, err := Load(testserver.Environment(file))
	if !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("error %v, want %v", err, fs.ErrNotExist)
	}
	if text := err.Error(); !strings.Contains(text, "PROXY_CONFIG") || !strings.Contains(text, file) {
		t.Errorf("error %v, want one that names PROXY_CONFIG and the file", err)
	}
}

// TestMalformedKnownListIsRefused: a configuration whose "known" is no valid list is refused as a whole.
func TestMalformedKnownListIsRefused(t *testing.T) {
	for _, tt := range []struct{ name, known, want string }{
		{"a number", "5", "known: list: json: cannot unmarshal number"},
		{"an empty object", "{}", "known: list has no rev"},
		{"targets that are no list", `{"rev":1,"targets":"s-0"}`, "known: list: json: cannot unmarshal string"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, err := loadText(t, testserver.ConfigText("127.0.0.1:9", tt.known, testserver.Settings))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
			if c != nil {
				t.Error("a configuration that is refused is returned")
			}
		})
	}
}
