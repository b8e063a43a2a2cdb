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

// writeState replaces the state file. A reader finds the former content or the new one. It isn't synced to the disk:
// no process outlasts a loss of power, and state without a running owner does not count. The caller holds mu, unless
// the Member is not yet shared.
func (m *Member) writeState() error {
	content, err := encodeState(m.state)
	if err == nil {
		err = fsys.Replace(m.fs, m.files.tempPath(), m.files.statePath(), content, false)
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// recordWrite starts the retries after the first failed write in a row, and ends them after one that succeeded. It logs
// both. The caller holds mu.
func (m *Member) recordWrite(err error) {
	switch {
	case err == nil && m.backoff > 0:
		m.log.Info("handover: the state is written again")
		m.backoff = 0
		m.retryTimer.Stop()
	case err != nil && m.backoff == 0:
		m.log.Warn("handover: the state is not written, and is tried again", "err", err)
		m.backoff = initialBackoff
		m.retryTimer = time.AfterFunc(m.backoff, m.retryWrite)
	}
}

// retryWrite retries a failed write and schedules the next retry if this one fails too. It runs in the goroutine of the
// retry timer.
func (m *Member) retryWrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasLeft || m.backoff == 0 { // the timer fired while another call held mu
		return
	}
	err := m.writeState()
	if err != nil {
		m.backoff = min(2*m.backoff, maxBackoff)
		m.retryTimer.Reset(m.backoff)
	}
	m.recordWrite(err)
}
