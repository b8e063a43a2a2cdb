package raftnode

import (
	"time"

	"milletramp.example/milletramp/internal/fleet/consensus"
)

const (
	minWriteBackoff = 2 * consensus.TickInterval // before the first retry of a failed write; it doubles with each retry
	maxWriteBackoff = 5 * time.Second
)

// failedWrite is a failed write of Storage that is being retried. The node is suspended until the write succeeds.
type failedWrite struct {
	write     func() error
	persisted func(now Time) // performs the actions that depend on the write
	err       error          // of the last attempt
	backoff   time.Duration
	retryAt   Time
}

// write calls the function write, which writes to Storage, and then persisted, which performs the actions that depend
// on the write. If the write fails, the node is suspended, and persisted is called after a retry has succeeded.
func (n *Node) write(now Time, write func() error, persisted func(now Time)) {
	if err := write(); err != nil {
		n.failedWrite = &failedWrite{
			write:     write,
			persisted: persisted,
			err:       err,
			backoff:   minWriteBackoff,
			retryAt:   now + minWriteBackoff,
		}
		n.log.Error("raftnode: voter suspended until its folder can be written", "err", err)
		return
	}
	persisted(now)
}

// retryWrite retries the failed write when the retry is due, and resumes the node if the write succeeds.
func (n *Node) retryWrite(now Time) {
	failed := n.failedWrite
	if now < failed.retryAt {
		return
	}
	if err := failed.write(); err != nil {
		failed.err = err
		failed.backoff = min(2*failed.backoff, maxWriteBackoff)
		failed.retryAt = now + failed.backoff
		return
	}
	n.failedWrite = nil
	n.log.Info("raftnode: folder can be written again, voter resumed")
	if failed.persisted(now); n.machine != nil && n.fatalErr == nil {
		n.flush(now)
	}
}
