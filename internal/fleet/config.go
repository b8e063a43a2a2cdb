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
	maxConfigBytes = 1 << 20 // size of the file
	maxLabelBytes  = 64
	maxPeers       = 1024

	minCatchUpTimeout     = 100 * time.Millisecond
	maxCatchUpTimeout     = time.Minute
	defaultCatchUpTimeout = 2 * time.Second
)

// Config is the fleet configuration file of the operator (deploy/fleet.toml).
type Config struct {
	Label   string `toml:"label"`   // of the fleet; sidecars with another label are ignored
	Address string `toml:"address"` // IPv4 address and port at which this sidecar listens
	// Advertise is the address that the other sidecars use, if it differs from Address.
	Advertise string   `toml:"advertise"`
	Peers     []string `toml:"peers"` // addresses of some sidecars, through which the others are found
	// SnapshotFolder is the folder of the snapshot file with operators' calls, from which a fleet recovers after all
	// sidecars have stopped; "": there is no such file.
	SnapshotFolder string `toml:"folder"`
	Limits         Limits `toml:"limits"`
	// Policy configures the voters on the fleet's policy; nil: each sidecar uses its own policy file.
	Policy *PolicyConfig `toml:"policy"`

	clockOffset time.Duration // added to the wall clock; for tests
}

// Limits are the limits that the operator can configure.
type Limits struct {
	// CatchUpMS is the time in milliseconds after which a sidecar that reaches no other uses its own state; 0: the
	// default of 2000.
	CatchUpMS int `toml:"catch_up_ms"`
}

// CatchUp returns the time after which a sidecar that reaches no other uses its own state.
func (c *Config) CatchUp() time.Duration {
	return cmp.Or(time.Duration(c.Limits.CatchUpMS)*time.Millisecond, defaultCatchUpTimeout)
}

// ReadConfig reads a configuration file. The error for an unknown or invalid key names the key.
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

// check validates all settings except those of the policy.
func (c *Config) check() error {
	switch {
	case c.Label == "" || len(c.Label) > maxLabelBytes || strings.TrimSpace(c.Label) != c.Label:
		return fmt.Errorf("label: %.80q: want 1 to %d bytes without leading or trailing space", c.Label, maxLabelBytes)
	case len(c.Peers) > maxPeers:
		return fmt.Errorf("peers: %d addresses, %d are allowed", len(c.Peers), maxPeers)
	case c.CatchUp() < minCatchUpTimeout || c.CatchUp() > maxCatchUpTimeout:
		return fmt.Errorf("limits.catch_up_ms: %d is not from %d to %d",
			c.Limits.CatchUpMS, minCatchUpTimeout.Milliseconds(), maxCatchUpTimeout.Milliseconds())
	}
	if err := c.checkOwnAddresses(); err != nil {
		return err
	}
	return c.checkPeers()
}

// checkOwnAddresses validates the addresses of this sidecar that are set.
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

// advertisedAddress returns the address that the other sidecars use. If this sidecar listens at another port than the
// configured one, as during an upgrade, the result has the advertised host and the actual port.
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
