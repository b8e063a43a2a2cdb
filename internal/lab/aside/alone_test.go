package aside

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestAlone: of many who ask one has the machine at a time.
func TestAlone(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir()) // the package's own plays have the usual one
	var here, had atomic.Int32
	var all sync.WaitGroup
	for range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			for range 50 {
				release, err := Alone()
				if err != nil {
					t.Error(err)
					return
				}
				if here.Add(1) != 1 {
					t.Error("two have the machine")
				}
				had.Add(1)
				here.Add(-1)
				release()
			}
		}()
	}
	all.Wait()
	if had.Load() != 400 {
		t.Errorf("it was had %d times, want 400", had.Load())
	}
}
