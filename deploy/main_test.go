package deploy

import (
	"fmt"
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain has the plays of these tests, which run the program and time it, beside no other package's.
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
