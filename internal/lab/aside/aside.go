// Package aside is for packages whose tests only compute: they go behind those that keep time, draw the same in each run, and less
// where the race detector, which finds nothing in one goroutine, makes them ten times as long. `go test ./...` runs packages side by
// side; a play of forty processes on loopback beside a dozen packages that draw a million steps would be judged by how busy the
// machine is.
package aside

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"testing"
)

// Nice is the priority that Run gives up (see setpriority(2)): of a processor that both want, a process of the usual priority has
// about forty times as much.
const Nice = 16

// seed is what rapid draws by. Danger: its usual one is the time, and a verdict that changes from run to run is none. Another one is
// given as -rapid.seed.
const seed = "20261202"

// Draws is how many of so many draws a test is to make in this build.
func Draws(n int) int {
	if Raced {
		return max(n/10, 1)
	}
	return n
}

// Run runs a package's tests behind all that keeps time, and returns their exit status: for TestMain of a package whose tests ask no
// clock. What they start goes behind as well.
func Run(m *testing.M) int {
	if flag.Lookup("rapid.seed") != nil {
		_ = flag.Set("rapid.seed", seed) // before the call's own is read
	}
	if err := step(); err != nil {
		fmt.Fprintln(os.Stderr, "aside:", err) // they are as good in the way of others
	}
	return m.Run()
}

// step lowers the priority of each thread of this process. On Linux it is a thread's own; those to come have that of the thread that
// makes them, so that going over the threads until there is no new one reaches all.
func step() error {
	for done := map[int]bool{}; ; {
		threads, err := os.ReadDir("/proc/self/task")
		if err != nil {
			return fmt.Errorf("threads of this process: %w", err)
		}
		before := len(done)
		for _, t := range threads {
			id, err := strconv.Atoi(t.Name())
			if err != nil || done[id] {
				continue
			}
			if err := syscall.Setpriority(syscall.PRIO_PROCESS, id, Nice); err != nil && err != syscall.ESRCH {
				return fmt.Errorf("priority of thread %d: %w", id, err)
			}
			done[id] = true
		}
		if len(done) == before {
			return nil
		}
	}
}
