package proxy

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// idRetention is the minimum time for which an ID is kept after the end of its request.
const idRetention = time.Second

// Errors of inflightIDs.reserve.
var (
	errDuplicateID     = errors.New("the id of a request is in use")
	errTooManyRequests = errors.New("too many requests in flight")
)

// inflightIDs holds the IDs of requests in flight and of requests that ended recently. Servers treat a second request
// with the same ID as a repeat of the first. The ID stays reserved for a while, because an attempt of the first request
// can still be on its way to a server when the client already has the response.
type inflightIDs struct {
	count atomic.Int64 // number of requests in flight; readable without the lock

	mu          sync.Mutex
	maxInFlight int
	inFlight    map[string]bool
	recent      [2]map[string]bool // IDs of requests ended since rotatedAt, and in the period before
	rotatedAt   time.Time
}

// newInflightIDs returns an empty set that admits at most maxInFlight requests in flight.
func newInflightIDs(maxInFlight int) *inflightIDs {
	return &inflightIDs{
		maxInFlight: maxInFlight,
		inFlight:    map[string]bool{},
		recent:      [2]map[string]bool{{}, {}},
		rotatedAt:   time.Now(),
	}
}

// reserve adds a request to those in flight. It returns errDuplicateID if the ID is in use, else errTooManyRequests if
// the maximum is reached.
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

// setMax sets the maximum number of requests in flight.
func (i *inflightIDs) setMax(maxInFlight int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.maxInFlight = maxInFlight
}

// release moves a request from those in flight to those that ended recently.
func (i *inflightIDs) release(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rotate()
	delete(i.inFlight, id)
	i.count.Store(int64(len(i.inFlight)))
	i.recent[0][id] = true
}

// rotate drops the IDs of requests that ended at least idRetention ago. The caller holds the lock.
func (i *inflightIDs) rotate() {
	now := time.Now()
	if now.Sub(i.rotatedAt) >= idRetention {
		i.recent = [2]map[string]bool{{}, i.recent[0]}
		i.rotatedAt = now
	}
}
