package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/wire"
)

// file is the JSON encoding of a configuration. Unknown keys are ignored.
type file struct {
	Name      string
	Listen    string
	Discovery string
	Console   string
	Seed      string // 64-bit hexadecimal number
	Limits    fileLimits
	Known     *json.RawMessage
	Settings  json.RawMessage
}

// fileLimits are the resource limits of the process. A nil field means the default.
type fileLimits struct {
	Cores    *float64
	MemoryMB *int `json:"memory_mb"`
	Sockets  *int
}

// config validates the file and returns its configuration. Names and addresses in the environment take precedence.
func (f *file) config(getenv func(string) string) (*Config, error) {
	c := &Config{
		Name:             cmp.Or(getenv("PROXY_NAME"), f.Name),
		ListenAddress:    cmp.Or(getenv("PROXY_LISTEN"), f.Listen),
		DiscoveryAddress: f.Discovery,
		AdminAddress:     cmp.Or(getenv("PROXY_CONSOLE"), f.Console),
		Cores:            defaultCores,
		MemoryMB:         defaultMemoryMB,
		Sockets:          defaultSockets,
		Getenv:           getenv,
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", f.Seed)
	}
	if err := f.Limits.apply(c); err != nil {
		return nil, err
	}
	if err := f.applySettings(c, seed); err != nil {
		return nil, err
	}
	if err := f.applyKnown(c); err != nil {
		return nil, err
	}
	return c, nil
}

// checkAddresses validates the addresses of a configuration. The address of the admin server is optional.
func (c *Config) checkAddresses() error {
	if err := checkAddress(c.ListenAddress); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := checkAddress(c.DiscoveryAddress); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.AdminAddress == "" {
		return nil
	}
	if err := checkAddress(c.AdminAddress); err != nil {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// checkAddress returns an error unless address consists of an IP address and a port.
func checkAddress(address string) error {
	if address == "" {
		return errors.New("missing")
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address and port", address)
	}
	return nil
}

// apply validates the limits and sets them in c.
func (l *fileLimits) apply(c *Config) error {
	if l.Cores != nil {
		c.Cores = *l.Cores
	}
	if c.Cores <= 0 {
		return fmt.Errorf("limits.cores: %v is not greater than 0", c.Cores)
	}
	if l.MemoryMB != nil {
		c.MemoryMB = *l.MemoryMB
	}
	if c.MemoryMB <= 0 {
		return fmt.Errorf("limits.memory_mb: %d is not greater than 0", c.MemoryMB)
	}
	if l.Sockets != nil {
		c.Sockets = *l.Sockets
	}
	if c.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is less than the minimum of %d", c.Sockets, minSockets)
	}
	return nil
}

// applySettings parses the settings and sets them in c.
func (f *file) applySettings(c *Config, seed uint64) error {
	if len(f.Settings) == 0 {
		return errors.New("settings: missing")
	}
	settings, names, limits, err := wire.SettingsJSON(seed, f.Settings)
	if err != nil {
		return err
	}
	c.Settings = settings
	c.Names = names
	c.Limits = LimitsWithDefaults(limits)
	return nil
}

// applyKnown parses the endpoint list that the sidecar last used, if the file has one, and sets it in c.
func (f *file) applyKnown(c *Config) error {
	if f.Known == nil {
		return nil
	}
	known, err := discovery.ParseList(*f.Known)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	c.InitialList = known
	return nil
}
