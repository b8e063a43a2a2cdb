package aside

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
)

// TestStep: after it each thread has given up its priority, those that come later too.
func TestStep(t *testing.T) {
	if err := step(); err != nil {
		t.Fatal(err)
	}
	var held, all sync.WaitGroup
	done := make(chan struct{})
	for range 20 { // each on a thread of its own
		held.Add(1)
		all.Add(1)
		go func() {
			defer all.Done()
			runtime.LockOSThread()
			held.Done()
			<-done
		}()
	}
	held.Wait()
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil || len(threads) < 20 {
		t.Fatalf("%d threads, %v", len(threads), err)
	}
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		if err != nil {
			t.Fatal(err)
		}
		// The system call gives 20 less the nice value.
		if got, err := syscall.Getpriority(syscall.PRIO_PROCESS, id); err != nil || 20-got != Nice {
			t.Errorf("thread %d has nice %d, %v, want %d", id, 20-got, err, Nice)
		}
	}
	close(done)
	all.Wait()
}
