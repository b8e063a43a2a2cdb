package consensus

import (
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/aside"
)

// TestMain has these tests, which ask no clock, go behind those that do.
func TestMain(m *testing.M) { os.Exit(aside.Run(m)) }
