package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"milletramp.example/milletramp/internal/fleet/policy"
)

// Config is the operator's file on the fleet (deploy/fleet.toml).
type Config struct {
	Label   string `toml:"label"`   // of the fleet: sidecars of another one are passed over
	Address string `toml:"address"` // where the others reach this sidecar: IPv4 and port
	// Advertise is what this sidecar tells the others, where they reach it at another address than it listens at.
	Advertise string   `toml:"advertise"`
	Peers     []string `toml:"peers"` // addresses of some sidecars, to find the others by
	// Folder is where the sidecar leaves what the staff has said, for a fleet that is lost as a whole; "": nowhere.
	SnapshotFolder string `toml:"folder"`
	Limits         Limits `toml:"limits"`
	// Policy says who decides on the fleet's policy; nil: each sidecar's own file does.
	Policy *PolicyConfig `toml:"policy"`

	clockOffset time.Duration // by which the clock of day is taken to be off; for tests
}

// PolicyConfig is the part of the file on the fleet's policy.
type PolicyConfig struct {
	Voters            []string `toml:"deciders"`   // names of three or five sidecars
	InitialPolicyFile string   `toml:"first"`      // file of the policy in force before any change
	RaftFolder        string   `toml:"folder"`     // below which each decider has a folder of its own, that outlasts it
	LeaseMS           int      `toml:"promise_ms"` // the length of a promise; 0: the usual 3000
	ServeWithoutLease bool     `toml:"serve_on"`   // a sidecar without a promise serves on under what it had

	initialPolicy []byte // of the first policy
}

// Terms are those of the promises.
func (p *PolicyConfig) Terms() policy.Terms {
	t := policy.DefaultTerms
	if p.LeaseMS > 0 {
		t.Length = time.Duration(p.LeaseMS) * time.Millisecond
		t.Short = min(t.Short, t.Length/4)
	}
	return t
}

// load reads what the file names, from the folder that it stands in.
func (p *PolicyConfig) load(dir string) (err error) {
	if len(p.Voters) != 3 && len(p.Voters) != 5 {
		return fmt.Errorf("policy.deciders: %d, three or five are needed", len(p.Voters))
	}
	for i, name := range p.Voters {
		if name == "" || slices.Contains(p.Voters[:i], name) {
			return fmt.Errorf("policy.deciders[%d]: %q is no name, or given twice", i, name)
		}
	}
	if p.RaftFolder == "" {
		return errors.New("policy.folder: missing")
	}
	if err := p.Terms().Check(); p.LeaseMS < 0 || err != nil {
		return fmt.Errorf("policy.promise_ms: %d: %w", p.LeaseMS, err)
	}
	first := p.InitialPolicyFile
	if !filepath.IsAbs(first) {
		first = filepath.Join(dir, first)
	}
	if p.initialPolicy, err = os.ReadFile(first); err != nil {
		return fmt.Errorf("policy.first: %w", err)
	}
	return nil
}

// Limits are what the operator may bound.
type Limits struct {
	CatchUpMS int `toml:"catch_up_ms"` // after which a sidecar that finds nobody goes by what it knows; 0: the usual 2000
}

const (
	maxPeers              = 1024
	minCatchUpTimeout     = 100 * time.Millisecond
	maxCatchUpTimeout     = time.Minute
	defaultCatchUpTimeout = 2 * time.Second
	maxConfigBytes        = 1 << 20 // bytes of the file
	maxLabelBytes         = 64
)

// The variables of the environment.
const (
	configVariable    = "MILLETRAMP_FLEET" // names the file; package sidecar has it too
	addressVariable   = "MILLETRAMP_FLEET_ADDRESS"
	advertiseVariable = "MILLETRAMP_FLEET_ADVERTISE"
	// clockOffsetVariable is for tests alone: seconds that are added to the clock of day where the fleet reads it. It is safe as no
	// decision rests on that clock: stamps are for people, the number of a life yields to what the fleet knows, and what
	// is kept by the hour is kept for a day beyond its last listing.
	clockOffsetVariable = "MILLETRAMP_FLEET_CLOCK_S"
)

// FromEnvironment reads the file that MILLETRAMP_FLEET names. MILLETRAMP_FLEET_ADDRESS and MILLETRAMP_FLEET_ADVERTISE go
// before its address and what it advertises, so that sidecars can share a file. Without the first there is no fleet: nil, and no error.
func FromEnvironment(getenv func(string) string) (*Config, error) {
	path := getenv(configVariable)
	if path == "" {
		return nil, nil
	}
	c, err := ReadConfig(path)
	if err != nil {
		return nil, err
	}
	if c.Address = cmp.Or(getenv(addressVariable), c.Address); c.Address == "" {
		return nil, fmt.Errorf("%s: address: missing, there and in %s", path, addressVariable)
	}
	if err := checkAddress(c.Address); err != nil {
		return nil, fmt.Errorf("%s: address: %w", path, err)
	}
	if c.Advertise = cmp.Or(getenv(advertiseVariable), c.Advertise); c.Advertise != "" {
		if err := checkAddress(c.Advertise); err != nil {
			return nil, fmt.Errorf("%s: advertise: %w", path, err)
		}
	}
	if off := getenv(clockOffsetVariable); off != "" {
		s, err := strconv.ParseFloat(off, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", clockOffsetVariable, err)
		}
		c.clockOffset = time.Duration(s * float64(time.Second))
	}
	return c, nil
}

// ReadConfig reads a file. Whatever in it is unknown or cannot be is an error that names the key.
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

func (c *Config) check() error {
	switch {
	case c.Label == "" || len(c.Label) > maxLabelBytes || strings.TrimSpace(c.Label) != c.Label:
		return fmt.Errorf("label: %.80q: 1 to %d bytes with no space around them", c.Label, maxLabelBytes)
	case len(c.Peers) > maxPeers:
		return fmt.Errorf("peers: %d, %d are allowed", len(c.Peers), maxPeers)
	case c.Limits.CatchUpMS != 0 && (c.CatchUp() < minCatchUpTimeout || c.CatchUp() > maxCatchUpTimeout):
		return fmt.Errorf("limits.catch_up_ms: %d is not from %d to %d", c.Limits.CatchUpMS, minCatchUpTimeout.Milliseconds(), maxCatchUpTimeout.Milliseconds())
	}
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
	seen := map[string]bool{}
	for i, p := range c.Peers {
		if err := checkAddress(p); err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
		if seen[p] {
			return fmt.Errorf("peers[%d]: %s is given twice", i, p)
		}
		seen[p] = true
	}
	return nil
}

func checkAddress(a string) error {
	at, err := netip.ParseAddrPort(a)
	switch {
	case err != nil:
		return fmt.Errorf("%.80q: %w", a, err)
	case !at.Addr().Is4() || at.Port() == 0 || at.Addr().IsUnspecified():
		return fmt.Errorf("%.80q: an IPv4 address of one machine and a port are needed", a)
	}
	return nil
}

// advertisedAddress is what the others are told, where this sidecar listens at an address: the port may be another one than the file's.
func (c *Config) advertisedAddress(listens string) string {
	if c.Advertise == "" {
		return listens
	}
	here, err := netip.ParseAddrPort(listens)
	there, failed := netip.ParseAddrPort(c.Advertise)
	if wanted, bad := netip.ParseAddrPort(c.Address); err != nil || failed != nil || bad != nil || here.Port() == wanted.Port() {
		return c.Advertise
	}
	return netip.AddrPortFrom(there.Addr(), here.Port()).String()
}

// CatchUp is after what time a sidecar that finds nobody goes by what it knows.
func (c *Config) CatchUp() time.Duration {
	return cmp.Or(time.Duration(c.Limits.CatchUpMS)*time.Millisecond, defaultCatchUpTimeout)
}
