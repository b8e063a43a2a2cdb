// Package config reads and validates a sidecar's configuration: the JSON file that PROXY_CONFIG names, with PROXY_NAME,
// PROXY_LISTEN, PROXY_DISCOVERY and PROXY_CONSOLE from the environment. A file with any fault is rejected as a whole.
//
// Load reads the configuration when the process starts, and Config.Reload reads it again while the process runs.
// Config.Reload rejects a file without a key that the file in use has, unless the key is optional. The caller decides
// which changes take effect.
//
// The package starts no goroutine and has no global state. Its errors name the file and the path of the invalid key.
package config

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/netretry"
	"milletramp.example/milletramp/internal/wire"
)

// Config is a sidecar's configuration.
type Config struct {
	Name             string
	ListenAddress    string // address that the application connects to
	DiscoveryAddress string // address of the discovery service, or of its agent on this machine
	AdminAddress     string // address of the admin server; "": there is no admin server
	Cores            float64
	MemoryMB         int
	Sockets          int            // maximum number of open file descriptors
	InitialList      discovery.List // endpoint list that the sidecar last used
	Settings         balance.Settings
	Names            *wire.Names
	Limits           wire.Limits

	Getenv   func(string) string // returns the value of an environment variable
	document map[string]any      // decoded file without the endpoint list
}

// Defaults of optional keys.
const (
	defaultCores          = 1
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleClose      = 15 * time.Second
)

// minSockets is the minimum number of file descriptors that a sidecar requires.
const minSockets = 64

// readTimeout limits the retries of a read that fails because the machine is short of descriptors or memory. A reloaded
// file has to be in use 4 s after the signal.
const readTimeout = 3 * time.Second

// Load reads the configuration when the process starts. The environment takes precedence over the file.
func Load(getenv func(string) string) (*Config, error) {
	return read(getenv, func(fileAddress string) string { return cmp.Or(getenv("PROXY_DISCOVERY"), fileAddress) })
}

// Reload reads the configuration again. The discovery address of the file takes precedence over that of the
// environment, as the file is newer.
func (c *Config) Reload() (*Config, error) {
	reloaded, err := read(c.Getenv, func(fileAddress string) string {
		return cmp.Or(fileAddress, c.Getenv("PROXY_DISCOVERY"))
	})
	if err != nil {
		return nil, err
	}
	if missing := missingKey("", c.document, reloaded.document); missing != "" {
		return nil, fmt.Errorf("%s: %s: missing", c.Getenv("PROXY_CONFIG"), missing)
	}
	return reloaded, nil
}

// SettingsDocument returns the settings of the file as decoded JSON values by key.
func (c *Config) SettingsDocument() map[string]any {
	settings, _ := c.document["settings"].(map[string]any)
	return settings
}

// LimitsWithDefaults returns limits with defaults for the timeouts that are not set.
func LimitsWithDefaults(limits wire.Limits) wire.Limits {
	limits.ConnectTimeout = cmp.Or(limits.ConnectTimeout, defaultConnectTimeout)
	limits.IdleClose = cmp.Or(limits.IdleClose, defaultIdleClose)
	return limits
}

// read reads the configuration. chooseDiscovery returns the discovery address to use, given that of the file.
func read(getenv func(string) string, chooseDiscovery func(fileAddress string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG is not set")
	}
	text, err := readWithRetry(path, os.ReadFile)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	c, err := parse(text, getenv, chooseDiscovery)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// readWithRetry reads a file with readFile. It retries when the machine is short of resources, as the signal to reload
// is sent only once.
func readWithRetry(path string, readFile func(string) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return netretry.Open(ctx, func() ([]byte, error) { return readFile(path) })
}

// parse parses and validates the text of a configuration file.
func parse(text []byte, getenv func(string) string, chooseDiscovery func(fileAddress string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	f.Discovery = chooseDiscovery(f.Discovery)
	c, err := f.config(getenv)
	if err != nil {
		return nil, err
	}
	c.document, err = parseDocument(text)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// parseDocument decodes a file without its endpoint list, whose size grows with the number of servers.
func parseDocument(text []byte) (map[string]any, error) {
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(text, &parts); err != nil {
		return nil, err
	}
	delete(parts, "known")
	document := make(map[string]any, len(parts))
	for key, part := range parts {
		var value any
		if err := json.Unmarshal(part, &value); err != nil {
			return nil, err
		}
		document[key] = value
	}
	return document, nil
}
