package processes

import (
	"net/http"
	"syscall"
	"time"
)

const (
	readyTimeout      = 6 * time.Second // for the next process to become ready; the platform's limit
	readyPollInterval = 20 * time.Millisecond
	shutdownTimeout   = 4 * time.Second // for the former process to end: the longest deadline plus 0.7 s
)

// upgrade replaces the sidecar's process as a platform does: it waits up to readyTimeout for the next process to
// become ready and then sends SIGTERM to the former one.
func (s *sidecar) upgrade() {
	former, next, slot, ok := s.beginUpgrade()
	if !ok {
		return
	}
	if !awaitReady(s.adminAddresses[slot]) {
		if s.run.options.WithPolicy { // it may be waiting for voters: keep the former process
			s.cancelUpgrade(next)
			return
		}
		s.run.recorder.addFailure("%s: next process not ready after %v", s.name, readyTimeout)
	}
	if !s.switchTo(next, slot) {
		return
	}
	former.signal(syscall.SIGTERM)
	if !former.waitExit(shutdownTimeout) {
		s.run.recorder.addFailure("%s: former process did not exit within %v", s.name, shutdownTimeout)
		former.kill()
	}
}

// beginUpgrade starts the next process in the other slot. It does nothing if the sidecar is down or being upgraded.
func (s *sidecar) beginUpgrade() (former, next *process, slot int, ok bool) {
	s.mu.Lock()
	former, slot = s.current, 1-s.slot
	if former == nil || s.next != nil {
		s.mu.Unlock()
		return nil, nil, 0, false
	}
	next, err := s.launch(slot)
	s.next = next
	s.mu.Unlock()
	if err != nil {
		s.run.recorder.addFailure("%s: cannot start the next process: %v", s.name, err)
		return nil, nil, 0, false
	}
	return former, next, slot, true
}

// awaitReady waits up to readyTimeout for the process with this admin server to become ready, and reports whether it
// did.
func awaitReady(adminAddress string) bool {
	deadline := time.Now().Add(readyTimeout)
	for {
		if callAdmin(adminAddress, http.MethodGet, readinessPath, "").status == http.StatusOK {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(readyPollInterval)
	}
}

func (s *sidecar) cancelUpgrade(next *process) {
	s.mu.Lock()
	s.next = nil
	s.mu.Unlock()
	next.kill()
}

// switchTo makes the next process the current one, unless the sidecar was killed meanwhile.
func (s *sidecar) switchTo(next *process, slot int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		return false
	}
	s.current, s.next, s.slot = next, nil, slot
	return true
}
