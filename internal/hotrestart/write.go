package hotrestart

import (
	"fmt"
	"time"

	"milletramp.example/milletramp/internal/fsys"
)

// Bounds of the exponential backoff between retries of a write.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// writeState replaces the state file. A concurrent reader sees either the previous content or the new content. The file
// is not synced to disk, because no process survives a power loss and state without a running owner is ignored. The
// caller must hold mu unless the Member is not yet shared.
func (m *Member) writeState() error {
	content, err := encodeState(m.state)
	if err == nil {
		err = fsys.Replace(m.fs, m.files.tempPath(), m.files.statePath(), content, false)
	}
	if err != nil {
		// Responses to operators' calls contain this text.
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// recordWrite handles the result of a write. It starts retries at the first of consecutive failures and stops them
// after a success, and logs both. The caller must hold mu.
func (m *Member) recordWrite(err error) {
	switch {
	case err == nil && m.backoff > 0:
		m.log.Info("hot restart: writing the state file succeeded again")
		m.backoff = 0
		m.retryTimer.Stop()
	case err != nil && m.backoff == 0:
		m.log.Warn("hot restart: writing the state file failed and is retried", "err", err)
		m.backoff = initialBackoff
		m.retryTimer = time.AfterFunc(m.backoff, m.retryWrite)
	}
}

// retryWrite retries a failed write and schedules another retry if this one fails. It runs in the goroutine of the
// retry timer.
func (m *Member) retryWrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasLeft || m.backoff == 0 { // the process left, or Update wrote the state, after the timer had fired
		return
	}
	err := m.writeState()
	if err != nil {
		m.backoff = min(2*m.backoff, maxBackoff)
		m.retryTimer.Reset(m.backoff)
	}
	m.recordWrite(err)
}
