// Package testrun keeps the project's tests out of each other's way. `go test ./...` runs packages side by side, and a
// test that judges processes by tenths of a second fails next to a dozen packages that draw a million steps each.
//
// Two kinds of packages ask for their part of the machine here. A package whose tests measure time holds all other
// such packages off (Exclusive). A package whose tests only compute runs through Compute, which lets few of them run
// at once and gives each a part of the processors, so that about half of the machine stays free for what measures time.
// Only tests import this package.
package testrun

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"
	"testing"
)

// rapidSeed is what rapid draws by unless -rapid.seed gives another one. Its usual seed is the time, and a verdict that
// changes from run to run is none.
const rapidSeed = "20261202"

// computeShare is the part of the processors that packages which only compute leave to those that measure time: with
// n processors n/computeShare of such packages run at once, each on n/computeShare processors.
const computeShare = 4

// raceDraws is the part of the draws that is made with the race detector, which finds nothing in one goroutine.
const raceDraws = 10

// Draws returns how many of n draws a test makes in this build: all, or a tenth with the race detector.
func Draws(n int) int {
	if RaceEnabled {
		return max(n/raceDraws, 1)
	}
	return n
}

// Compute runs the tests of a package that asks no clock and returns their exit status; it is meant for TestMain. It
// waits until one of the slots for such packages is free, restricts the process to its part of the processors and has
// rapid draw the same in each run.
func Compute(m *testing.M) int {
	if flag.Lookup("rapid.seed") != nil {
		_ = flag.Set("rapid.seed", rapidSeed) // the command line, read later, may give another one
	}
	release, err := takeSlot()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer release()
	return m.Run()
}

// takeSlot waits for a slot and restricts this process to the processors that come with it. Where nothing measures
// time next to it, or a test that holds a slot started it, it takes none.
func takeSlot() (release func(), err error) {
	if os.Getenv(sharedVariable) != "" {
		return func() {}, nil
	}
	processors := computeProcessors()
	runtime.GOMAXPROCS(processors)
	_ = flag.Set("test.parallel", strconv.Itoa(processors)) // the command line, read later, may give another one
	return lockFile(fmt.Sprintf("compute-%d", os.Getpid()%processors))
}

// computeProcessors is the number of slots, and of processors for each.
func computeProcessors() int { return max(runtime.NumCPU()/computeShare, 1) }

// lockFile waits until no other process holds the lock of this name, and holds it until release is called or the
// process ends.
func lockFile(name string) (release func(), err error) {
	path := filepath.Join(os.TempDir(), fmt.Sprintf("milletramp-test-%s-%d", name, os.Getuid()))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("test lock: %w", err)
	}
	for {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX)
		if err != syscall.EINTR {
			break
		}
	}
	if err != nil {
		_ = f.Close() // the lock is what was wanted
		return nil, fmt.Errorf("test lock %s: %w", path, err)
	}
	return func() { _ = f.Close() }, nil // closing the file gives the lock up
}
