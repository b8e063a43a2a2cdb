package servermodel

import (
	"sync"
	"time"
)

// Pod is the deduplication state shared by the servers of a pod group: the effects of recent requests, whose repeats
// are dropped within the dedupe window. It is safe for concurrent use.
type Pod struct {
	mu          sync.Mutex
	window      time.Duration
	seenAt      map[uint64]time.Duration
	oldestFirst []seenEffect
}

type seenEffect struct {
	id uint64
	at time.Duration
}

// NewPod returns a pod that drops repeats within a dedupe window.
func NewPod(window time.Duration) *Pod {
	return &Pod{window: window, seenAt: map[uint64]time.Duration{}}
}

// isRepeat reports whether an effect was seen within the dedupe window, and records a new effect. A repeat does not
// extend the window.
func (p *Pod) isRepeat(id uint64, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetBefore(now - p.window)
	if _, ok := p.seenAt[id]; ok {
		return true
	}
	p.seenAt[id] = now
	p.oldestFirst = append(p.oldestFirst, seenEffect{id, now})
	return false
}

// forgetBefore removes the effects seen at or before limit.
func (p *Pod) forgetBefore(limit time.Duration) {
	for len(p.oldestFirst) > 0 && p.oldestFirst[0].at <= limit {
		oldest := p.oldestFirst[0]
		if p.seenAt[oldest.id] == oldest.at {
			delete(p.seenAt, oldest.id)
		}
		p.oldestFirst = p.oldestFirst[1:]
	}
}
