package sidecar

import (
	"fmt"
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain runs these tests while no other package holds the lock of testrun, as many of them measure response times.
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
