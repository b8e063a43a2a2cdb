package testrun

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestExclusive: of many who ask, one at a time has the machine.
func TestExclusive(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir()) // the usual one holds the locks of the packages that run just now
	t.Setenv(sharedVariable, "")
	var holding, acquired atomic.Int32
	var workers sync.WaitGroup
	for range 8 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for range 50 {
				release, err := Exclusive()
				if err != nil {
					t.Error(err)
					return
				}
				if holding.Add(1) != 1 {
					t.Error("two have the machine")
				}
				acquired.Add(1)
				holding.Add(-1)
				release()
			}
		}()
	}
	workers.Wait()
	if acquired.Load() != 400 {
		t.Errorf("it was acquired %d times, want 400", acquired.Load())
	}
}
