package fleet

import (
	"cmp"
	"fmt"
	"strconv"
	"time"
)

// The variables of the environment.
const (
	configVariable    = "MILLETRAMP_FLEET" // names the file; package sidecar has it too
	addressVariable   = "MILLETRAMP_FLEET_ADDRESS"
	advertiseVariable = "MILLETRAMP_FLEET_ADVERTISE"
	// clockOffsetVariable is for tests alone: seconds that are added to the wall clock where the fleet reads it. No
	// decision rests on that clock: stamps are for people, membership raises the number of an incarnation, and what
	// expires by the hour is kept for a day after its last listing.
	clockOffsetVariable = "MILLETRAMP_FLEET_CLOCK_S"
)

// FromEnvironment reads the file that MILLETRAMP_FLEET names. MILLETRAMP_FLEET_ADDRESS and MILLETRAMP_FLEET_ADVERTISE
// override its address and the advertised one, so that sidecars can share a file. Where the first variable is empty
// there is no fleet: nil, and no error.
func FromEnvironment(getenv func(string) string) (*Config, error) {
	path := getenv(configVariable)
	if path == "" {
		return nil, nil
	}
	c, err := ReadConfig(path)
	if err != nil {
		return nil, err
	}
	if err := c.overrideAddresses(getenv); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if offset := getenv(clockOffsetVariable); offset != "" {
		seconds, err := strconv.ParseFloat(offset, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", clockOffsetVariable, err)
		}
		c.clockOffset = time.Duration(seconds * float64(time.Second))
	}
	return c, nil
}

// overrideAddresses replaces the addresses of the file by those of the environment. One of them must name an address.
func (c *Config) overrideAddresses(getenv func(string) string) error {
	c.Address = cmp.Or(getenv(addressVariable), c.Address)
	if c.Address == "" {
		return fmt.Errorf("address: missing, there and in %s", addressVariable)
	}
	c.Advertise = cmp.Or(getenv(advertiseVariable), c.Advertise)
	return c.checkOwnAddresses()
}
