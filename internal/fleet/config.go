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
	Folder string `toml:"folder"`
	Limits Limits `toml:"limits"`
	// Policy says who decides on the fleet's policy; nil: each sidecar's own file does.
	Policy *PolicyConfig `toml:"policy"`

	clock time.Duration // by which the clock of day is taken to be off; for tests
}

// PolicyConfig is the part of the file on the fleet's policy.
type PolicyConfig struct {
	Deciders  []string `toml:"deciders"`   // names of three or five sidecars
	First     string   `toml:"first"`      // file of the policy in force before any change
	Folder    string   `toml:"folder"`     // below which each decider has a folder of its own, that outlasts it
	PromiseMS int      `toml:"promise_ms"` // the length of a promise; 0: the usual 3000
	ServeOn   bool     `toml:"serve_on"`   // a sidecar without a promise serves on under what it had

	text []byte // of the first policy
}

// Terms are those of the promises.
func (p *PolicyConfig) Terms() policy.Terms {
	t := policy.DefaultTerms
	if p.PromiseMS > 0 {
		t.Length = time.Duration(p.PromiseMS) * time.Millisecond
		t.Short = min(t.Short, t.Length/4)
	}
	return t
}

// check reads what the file names, from the folder that it stands in.
func (p *PolicyConfig) check(dir string) (err error) {
	if len(p.Deciders) != 3 && len(p.Deciders) != 5 {
		return fmt.Errorf("policy.deciders: %d, three or five are needed", len(p.Deciders))
	}
	for i, name := range p.Deciders {
		if name == "" || slices.Contains(p.Deciders[:i], name) {
			return fmt.Errorf("policy.deciders[%d]: %q is no name, or given twice", i, name)
		}
	}
	if p.Folder == "" {
		return errors.New("policy.folder: missing")
	}
	if err := p.Terms().Check(); p.PromiseMS < 0 || err != nil {
		return fmt.Errorf("policy.promise_ms: %d: %w", p.PromiseMS, err)
	}
	first := p.First
	if !filepath.IsAbs(first) {
		first = filepath.Join(dir, first)
	}
	if p.text, err = os.ReadFile(first); err != nil {
		return fmt.Errorf("policy.first: %w", err)
	}
	return nil
}

// Limits are what the operator may bound.
type Limits struct {
	CatchUpMS int `toml:"catch_up_ms"` // after which a sidecar that finds nobody goes by what it knows; 0: the usual 2000
}

const (
	mostPeers  = 1024
	leastCatch = 100 * time.Millisecond
	mostCatch  = time.Minute
	usualCatch = 2 * time.Second
	mostText   = 1 << 20 // bytes of the file
	mostLabel  = 64
)

// The variables of the environment.
const (
	variable      = "MILLETRAMP_FLEET" // names the file; package sidecar has it too
	addressOver   = "MILLETRAMP_FLEET_ADDRESS"
	advertiseOver = "MILLETRAMP_FLEET_ADVERTISE"
	// clockOver is for tests alone: seconds that are added to the clock of day where the fleet reads it. It is safe as no
	// decision rests on that clock: stamps are for people, the number of a life yields to what the fleet knows, and what
	// is kept by the hour is kept for a day beyond its last listing.
	clockOver = "MILLETRAMP_FLEET_CLOCK_S"
)

// FromEnvironment reads the file that MILLETRAMP_FLEET names. MILLETRAMP_FLEET_ADDRESS and MILLETRAMP_FLEET_ADVERTISE go
// before its address and what it advertises, so that sidecars can share a file. Without the first there is no fleet: nil, and no error.
func FromEnvironment(getenv func(string) string) (*Config, error) {
	path := getenv(variable)
	if path == "" {
		return nil, nil
	}
	c, err := ReadConfig(path)
	if err != nil {
		return nil, err
	}
	if c.Address = cmp.Or(getenv(addressOver), c.Address); c.Address == "" {
		return nil, fmt.Errorf("%s: address: missing, there and in %s", path, addressOver)
	}
	if err := checkAddress(c.Address); err != nil {
		return nil, fmt.Errorf("%s: address: %w", path, err)
	}
	if c.Advertise = cmp.Or(getenv(advertiseOver), c.Advertise); c.Advertise != "" {
		if err := checkAddress(c.Advertise); err != nil {
			return nil, fmt.Errorf("%s: advertise: %w", path, err)
		}
	}
	if off := getenv(clockOver); off != "" {
		s, err := strconv.ParseFloat(off, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", clockOver, err)
		}
		c.clock = time.Duration(s * float64(time.Second))
	}
	return c, nil
}

// ReadConfig reads a file. Whatever in it is unknown or cannot be is an error that names the key.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if len(text) > mostText {
		return nil, fmt.Errorf("%s: %d bytes, %d are allowed", path, len(text), mostText)
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
		if err := c.Policy.check(filepath.Dir(path)); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return c, nil
}

func (c *Config) check() error {
	switch {
	case c.Label == "" || len(c.Label) > mostLabel || strings.TrimSpace(c.Label) != c.Label:
		return fmt.Errorf("label: %.80q: 1 to %d bytes with no space around them", c.Label, mostLabel)
	case len(c.Peers) > mostPeers:
		return fmt.Errorf("peers: %d, %d are allowed", len(c.Peers), mostPeers)
	case c.Limits.CatchUpMS != 0 && (c.CatchUp() < leastCatch || c.CatchUp() > mostCatch):
		return fmt.Errorf("limits.catch_up_ms: %d is not from %d to %d", c.Limits.CatchUpMS, leastCatch.Milliseconds(), mostCatch.Milliseconds())
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

// told is what the others are told, where this sidecar listens at an address: the port may be another one than the file's.
func (c *Config) told(listens string) string {
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
	return cmp.Or(time.Duration(c.Limits.CatchUpMS)*time.Millisecond, usualCatch)
}
