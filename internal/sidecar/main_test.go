package sidecar

import (
	"fmt"
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain has these tests, many of which ask how soon something is answered, beside no other package's plays.
func TestMain(m *testing.M) {
	release, err := testrun.Exclusive()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	release()
	os.Exit(status)
}
