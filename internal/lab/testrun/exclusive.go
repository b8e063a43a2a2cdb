package testrun

import (
	"os"
	"testing"
)

const sharedVariable = "MILLETRAMP_TEST_SHARES_MACHINE"

// Shared is added to the environment of test processes that need no part of the machine of their own: another test
// started them and holds it, or nothing that measures time runs next to them.
const Shared = sharedVariable + "=1"

// Exclusive waits until no other package that measures time has the machine, and keeps it until release is called or
// the process ends. It is for packages that start many processes and judge each by tenths of a second.
func Exclusive() (release func(), err error) {
	if os.Getenv(sharedVariable) != "" {
		return func() {}, nil
	}
	return lockFile("exclusive")
}

// MemoryDir returns a directory for the test's time that is kept in memory where the system has such: what other
// packages' tests sync to disk then holds up nothing that is timed here.
func MemoryDir(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "milletramp-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) }) // what is left is the system's
	return dir
}
