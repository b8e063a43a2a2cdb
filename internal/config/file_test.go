package config

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestMalformedAddressesAreRefused: a configuration with a malformed address, or with a host name instead of an IP
// address, is rejected with an error that names the key.
func TestMalformedAddressesAreRefused(t *testing.T) {
	good := testserver.ConfigText("127.0.0.1:9", "", testserver.Settings)
	for _, tt := range []struct{ name, variable, want string }{
		{"console without a port", "PROXY_CONSOLE=127.0.0.1", "console: address 127.0.0.1: missing port in address"},
		{"console with a port out of range", "PROXY_CONSOLE=127.0.0.1:65536",
			`console: "127.0.0.1:65536" is not an IP address and port`},
		{"console with a named port", "PROXY_CONSOLE=127.0.0.1:http",
			`console: "127.0.0.1:http" is not an IP address and port`},
		{"console with a host name", "PROXY_CONSOLE=localhost:9", `console: "localhost:9" is not an IP address and port`},
		{"listen with a host name", "PROXY_LISTEN=localhost:9", `listen: "localhost:9" is not an IP address and port`},
		{"discovery with a host name", "PROXY_DISCOVERY=localhost:9",
			`discovery: "localhost:9" is not an IP address and port`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := loadText(t, good, tt.variable); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
	if _, err := loadText(t, good, "PROXY_CONSOLE=[::1]:9"); err != nil {
		t.Errorf("console with an IPv6 address: %v", err)
	}
}

// TestMissingConfigurationFile: the error for a PROXY_CONFIG whose file does not exist names the variable and the file.
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

// TestMalformedKnownListIsRefused: a configuration whose "known" is not a valid endpoint list is rejected as a whole.
func TestMalformedKnownListIsRefused(t *testing.T) {
	for _, tt := range []struct{ name, known, want string }{
		{"a number", "5", "known: list: json: cannot unmarshal number"},
		{"an empty object", "{}", "known: list has no rev"},
		{"targets that are not a list", `{"rev":1,"targets":"s-0"}`, "known: list: json: cannot unmarshal string"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, err := loadText(t, testserver.ConfigText("127.0.0.1:9", tt.known, testserver.Settings))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
			if c != nil {
				t.Error("a rejected configuration is returned")
			}
		})
	}
}
