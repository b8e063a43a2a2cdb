package raftnode

import (
	"time"

	"milletramp.example/milletramp/internal/fleet/consensus"
)

const (
	minWriteBackoff = 2 * consensus.TickInterval // until a write that failed is retried; it doubles
	maxWriteBackoff = 5 * time.Second
)

// failedWrite is a write of Storage that has failed and is retried. The node is suspended until it succeeds.
type failedWrite struct {
	write     func() error
	persisted func(now Time) // does what rests on the write
	err       error          // of the last attempt
	backoff   time.Duration
	retryAt   Time
}

// write has Storage write something, and then calls persisted, which does what rests on it. Where the write fails the
// node is suspended, and persisted is called once a retry succeeds.
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

// retryWrite retries the write that has failed, when that is due, and goes on where it succeeds.
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
	n.log.Info("raftnode: folder written again, voter goes on")
	if failed.persisted(now); n.machine != nil && n.fatalErr == nil {
		n.flush(now)
	}
}
