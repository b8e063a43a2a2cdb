package proxy

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// idRetention is how long an id is remembered at least after the end of its request.
const idRetention = time.Second

// Errors of inflightIDs.reserve.
var (
	errDuplicateID     = errors.New("the id of a request is in use")
	errTooManyRequests = errors.New("too many requests in flight")
)

// inflightIDs are the ids of the requests in flight and of those that have just ended. Servers would take a second
// request with the same id for a repeat of the first, and it may still be on its way when the first has its response.
type inflightIDs struct {
	count atomic.Int64 // of the requests in flight, to be read without the lock

	mu          sync.Mutex
	maxInFlight int
	inFlight    map[string]bool
	recent      [2]map[string]bool // ended since rotatedAt, and in the period before
	rotatedAt   time.Time
}

// newInflightIDs returns an empty set for at most maxInFlight requests in flight.
func newInflightIDs(maxInFlight int) *inflightIDs {
	return &inflightIDs{
		maxInFlight: maxInFlight,
		inFlight:    map[string]bool{},
		recent:      [2]map[string]bool{{}, {}},
		rotatedAt:   time.Now(),
	}
}

// reserve counts a request as in flight, or returns errDuplicateID or errTooManyRequests, in this order.
func (i *inflightIDs) reserve(id string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rotate()
	switch {
	case i.inFlight[id] || i.recent[0][id] || i.recent[1][id]:
		return errDuplicateID
	case len(i.inFlight) >= i.maxInFlight:
		return errTooManyRequests
	}
	i.inFlight[id] = true
	i.count.Store(int64(len(i.inFlight)))
	return nil
}

// setMax changes how many requests may be in flight.
func (i *inflightIDs) setMax(maxInFlight int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.maxInFlight = maxInFlight
}

// release counts a request as ended.
func (i *inflightIDs) release(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rotate()
	delete(i.inFlight, id)
	i.count.Store(int64(len(i.inFlight)))
	i.recent[0][id] = true
}

// rotate forgets the ids of requests that ended long ago. The lock is held.
func (i *inflightIDs) rotate() {
	now := time.Now()
	if now.Sub(i.rotatedAt) >= idRetention {
		i.recent = [2]map[string]bool{{}, i.recent[0]}
		i.rotatedAt = now
	}
}
