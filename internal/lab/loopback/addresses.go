package loopback

import (
	"fmt"
	"net"
	"syscall"

	"milletramp.example/milletramp/internal/lab/runplan"
)

// Second octets of the loopback addresses of servers and sidecars.
const (
	serverNetwork  = 10
	sidecarNetwork = 20
)

// hostsPerOctet is how many addresses share a third octet.
const hostsPerOctet = 200

// loopbackAddress returns the address of a host of its own on loopback, with any port.
func loopbackAddress(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", network, host/hostsPerOctet, 1+host%hostsPerOctet)
}

// reservePort returns the address with a port that nobody listens on.
func reservePort(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Descriptors that a run needs at most.
const (
	descriptorsPerLink    = 2
	descriptorsPerSidecar = 600
	descriptorsPerRate    = 2 // for each request a second
)

// checkDescriptorLimit raises the limit of open descriptors to what the plan needs, and fails if that is not allowed.
func checkDescriptorLimit(plan *runplan.Plan) error {
	sidecars := plan.Scenario.Fleet.Sidecars
	links := len(plan.Machines) * (sidecars + 1) // and a listener for each server
	rate := int(plan.Scenario.Rate() * descriptorsPerRate)
	need := uint64(links*descriptorsPerLink + sidecars*descriptorsPerSidecar + rate)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptor limit: %w", err)
	}
	if limit.Cur < need && limit.Max > limit.Cur {
		limit.Cur = min(need, limit.Max)
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) // a failure shows in the check below
	}
	if limit.Cur < need {
		return fmt.Errorf("%d descriptors allowed, this scenario needs about %d on the socket plane: "+
			"raise the limit (ulimit -n) or use --plane sim", limit.Cur, need)
	}
	return nil
}
