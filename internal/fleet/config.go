package fleet

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	maxConfigBytes = 1 << 20 // of the file
	maxLabelBytes  = 64
	maxPeers       = 1024

	minCatchUpTimeout     = 100 * time.Millisecond
	maxCatchUpTimeout     = time.Minute
	defaultCatchUpTimeout = 2 * time.Second
)

// Config is the operator's file on the fleet (deploy/fleet.toml).
type Config struct {
	Label   string `toml:"label"`   // of the fleet; sidecars with another one are ignored
	Address string `toml:"address"` // where the others reach this sidecar: IPv4 and port
	// Advertise is the address that the others get, where it differs from the one that this sidecar listens at.
	Advertise string   `toml:"advertise"`
	Peers     []string `toml:"peers"` // addresses of some sidecars, to find the others by
	// SnapshotFolder is where the sidecar saves operators' calls, for a fleet that is lost completely; "": nowhere.
	SnapshotFolder string `toml:"folder"`
	Limits         Limits `toml:"limits"`
	// Policy says who votes on the fleet's policy; nil: each sidecar follows its own file.
	Policy *PolicyConfig `toml:"policy"`

	clockOffset time.Duration // that is added to the wall clock; for tests
}

// Limits are what the operator may bound.
type Limits struct {
	// CatchUpMS is after how long a sidecar that reaches no other goes by what it knows; 0: the default of 2000.
	CatchUpMS int `toml:"catch_up_ms"`
}

// CatchUp is after how long a sidecar that reaches no other goes by what it knows.
func (c *Config) CatchUp() time.Duration {
	return cmp.Or(time.Duration(c.Limits.CatchUpMS)*time.Millisecond, defaultCatchUpTimeout)
}

// ReadConfig reads a file. An unknown or invalid key is an error that names it.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if len(text) > maxConfigBytes {
		return nil, fmt.Errorf("%s: %d bytes, %d are allowed", path, len(text), maxConfigBytes)
	}
	c := &Config{}
	meta, err := toml.Decode(string(text), c)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: %s: unknown", path, unknown[0])
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.Policy != nil {
		if err := c.Policy.load(filepath.Dir(path)); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return c, nil
}

// check checks all settings but those of the policy.
func (c *Config) check() error {
	switch {
	case c.Label == "" || len(c.Label) > maxLabelBytes || strings.TrimSpace(c.Label) != c.Label:
		return fmt.Errorf("label: %.80q: 1 to %d bytes with no space around them", c.Label, maxLabelBytes)
	case len(c.Peers) > maxPeers:
		return fmt.Errorf("peers: %d, %d are allowed", len(c.Peers), maxPeers)
	case c.CatchUp() < minCatchUpTimeout || c.CatchUp() > maxCatchUpTimeout:
		return fmt.Errorf("limits.catch_up_ms: %d is not from %d to %d",
			c.Limits.CatchUpMS, minCatchUpTimeout.Milliseconds(), maxCatchUpTimeout.Milliseconds())
	}
	if err := c.checkOwnAddresses(); err != nil {
		return err
	}
	return c.checkPeers()
}

// checkOwnAddresses checks the addresses of this sidecar that are set.
func (c *Config) checkOwnAddresses() error {
	if c.Address != "" {
		if err := checkAddress(c.Address); err != nil {
			return fmt.Errorf("address: %w", err)
		}
	}
	if c.Advertise != "" {
		if err := checkAddress(c.Advertise); err != nil {
			return fmt.Errorf("advertise: %w", err)
		}
	}
	return nil
}

func (c *Config) checkPeers() error {
	seen := map[string]bool{}
	for i, peer := range c.Peers {
		if err := checkAddress(peer); err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
		if seen[peer] {
			return fmt.Errorf("peers[%d]: %s is given twice", i, peer)
		}
		seen[peer] = true
	}
	return nil
}

func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return fmt.Errorf("%.80q: %w", address, err)
	case !parsed.Addr().Is4() || parsed.Port() == 0 || parsed.Addr().IsUnspecified():
		return fmt.Errorf("%.80q: an IPv4 address of one machine and a port are needed", address)
	}
	return nil
}

// advertisedAddress is the address that the others get. Where this sidecar listens at another port than the file says,
// as in an upgrade, it is the advertised host with that port.
func (c *Config) advertisedAddress(listenAddress string) string {
	if c.Advertise == "" {
		return listenAddress
	}
	listens, listensErr := netip.ParseAddrPort(listenAddress)
	advertised, advertisedErr := netip.ParseAddrPort(c.Advertise)
	configured, configuredErr := netip.ParseAddrPort(c.Address)
	if listensErr != nil || advertisedErr != nil || configuredErr != nil || listens.Port() == configured.Port() {
		return c.Advertise
	}
	return netip.AddrPortFrom(advertised.Addr(), listens.Port()).String()
}
