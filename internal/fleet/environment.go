package fleet

import (
	"cmp"
	"fmt"
	"strconv"
	"time"
)

// Environment variables.
const (
	configVariable    = "MILLETRAMP_FLEET" // path of the configuration file; package sidecar reads it too
	addressVariable   = "MILLETRAMP_FLEET_ADDRESS"
	advertiseVariable = "MILLETRAMP_FLEET_ADVERTISE"
	// clockOffsetVariable is for tests only: seconds added to the wall clock readings of this package. Errors of
	// that clock have limited effects: stamps are for operators, membership raises the number of an incarnation above
	// that of a former process, and operators' calls are kept for a day after their server was last listed. Starts of
	// servers are ignored if the clock is too far from the right time, see package replication.
	clockOffsetVariable = "MILLETRAMP_FLEET_CLOCK_S"
)

// FromEnvironment reads the configuration file at the path in MILLETRAMP_FLEET. MILLETRAMP_FLEET_ADDRESS and
// MILLETRAMP_FLEET_ADVERTISE override the addresses in the file, so that several sidecars can share it. If
// MILLETRAMP_FLEET is empty, there is no fleet and the result is nil without an error.
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

// overrideAddresses replaces the addresses of the file by those of the environment. Either must set Address.
func (c *Config) overrideAddresses(getenv func(string) string) error {
	c.Address = cmp.Or(getenv(addressVariable), c.Address)
	if c.Address == "" {
		return fmt.Errorf("address: missing in the file and in %s", addressVariable)
	}
	c.Advertise = cmp.Or(getenv(advertiseVariable), c.Advertise)
	return c.checkOwnAddresses()
}
