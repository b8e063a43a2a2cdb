// Package config reads a sidecar's configuration strictly: the JSON file that PROXY_CONFIG names, with PROXY_NAME,
// PROXY_LISTEN, PROXY_DISCOVERY and PROXY_CONSOLE from the environment. A file with any fault is refused whole.
//
// Load reads it at the start of the process and Config.Reload again while it runs. A newer file must have every key
// that the file in use has; which of its changes take effect is for the caller to say.
//
// The package starts no goroutine and keeps no state. Its errors name the file and the path of the key at fault.
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
	ListenAddress    string // address for the application
	DiscoveryAddress string // address of discovery, or of its agent on this machine
	AdminAddress     string // address for operators' calls; "": there is none
	Cores            float64
	MemoryMB         int
	Sockets          int            // file descriptors that the process may hold
	InitialList      discovery.List // the servers as this sidecar last had them
	Settings         balance.Settings
	Names            *wire.Names
	Limits           wire.Limits

	Getenv   func(string) string // the environment that it was read with
	document map[string]any      // the whole file but the list of servers
}

// Defaults of what a file may leave out.
const (
	defaultCores          = 1
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleClose      = 15 * time.Second
)

// minSockets is the least number of descriptors that a sidecar can work with.
const minSockets = 64

// readTimeout bounds how long reading the file is retried while this machine is short of descriptors or memory. A
// reloaded file has to be in use 4 s after the signal.
const readTimeout = 3 * time.Second

// Load reads the configuration at the start of a process. The environment takes precedence over the file.
func Load(getenv func(string) string) (*Config, error) {
	return read(getenv, func(fileAddress string) string { return cmp.Or(getenv("PROXY_DISCOVERY"), fileAddress) })
}

// Reload reads the configuration again. The file is newer than the environment by now, so its address of discovery
// takes precedence.
func (c *Config) Reload() (*Config, error) {
	reloaded, err := read(c.Getenv, func(fileAddress string) string { return cmp.Or(fileAddress, c.Getenv("PROXY_DISCOVERY")) })
	if err != nil {
		return nil, err
	}
	if missing := missingKey("", c.document, reloaded.document); missing != "" {
		return nil, fmt.Errorf("%s: %s: missing", c.Getenv("PROXY_CONFIG"), missing)
	}
	return reloaded, nil
}

// SettingsDocument returns the settings of the file as JSON values by key.
func (c *Config) SettingsDocument() map[string]any {
	settings, _ := c.document["settings"].(map[string]any)
	return settings
}

// LimitsWithDefaults returns limits in which the times that the settings leave out have their defaults.
func LimitsWithDefaults(limits wire.Limits) wire.Limits {
	limits.ConnectTimeout = cmp.Or(limits.ConnectTimeout, defaultConnectTimeout)
	limits.IdleClose = cmp.Or(limits.IdleClose, defaultIdleClose)
	return limits
}

// read reads the configuration. chooseDiscovery returns the address of discovery, given the file's.
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

// readWithRetry reads a file by readFile, and retries shortages of this machine: the signal to reload comes only once.
func readWithRetry(path string, readFile func(string) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return netretry.Open(ctx, func() ([]byte, error) { return readFile(path) })
}

// parse reads the text of a file.
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

// parseDocument returns all of a file but the list of servers, which is as long as the fleet is large.
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
