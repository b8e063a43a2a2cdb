package servermodel

import (
	"sync"
	"time"
)

// Pod is what the servers of a pod group remember in common: the effects of requests, whose repeats they drop for a
// time. It may be used by several goroutines.
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

// NewPod returns a pod that drops repeats for a time.
func NewPod(window time.Duration) *Pod {
	return &Pod{window: window, seenAt: map[uint64]time.Duration{}}
}

// isRepeat reports whether the pod remembers an effect, and remembers it from now on.
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

// forgetBefore forgets the effects seen at a time or earlier.
func (p *Pod) forgetBefore(limit time.Duration) {
	for len(p.oldestFirst) > 0 && p.oldestFirst[0].at <= limit {
		oldest := p.oldestFirst[0]
		if p.seenAt[oldest.id] == oldest.at {
			delete(p.seenAt, oldest.id)
		}
		p.oldestFirst = p.oldestFirst[1:]
	}
}
