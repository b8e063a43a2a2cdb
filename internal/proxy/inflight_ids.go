package proxy

import (
	"errors"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idRetention is the minimum time for which an ID is kept after the end of its request, unless there are many.
	idRetention = 30 * time.Second
	// minIDRetention is the time for which an ID is kept in any case.
	minIDRetention = time.Second
	// maxRecentIDs is the number of IDs of ended requests from which on IDs are kept for minIDRetention only.
	maxRecentIDs = 10000
)

// Errors of inflightIDs.reserve.
var (
	errDuplicateID     = errors.New("request ID is in use")
	errTooManyRequests = errors.New("too many requests in flight")
)

// idDigest identifies a request ID. IDs can be as long as a head, and a client that sends many of them could otherwise
// make the process hold them all. The seeds are random, so that no client can choose IDs with equal digests.
type idDigest [2]uint64

var digestSeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

// digestOf returns the digest of a request ID.
func digestOf(id string) idDigest {
	return idDigest{maphash.String(digestSeeds[0], id), maphash.String(digestSeeds[1], id)}
}

// inflightIDs holds the IDs of requests in flight and of requests that ended recently. Servers treat a second request
// with the same ID as a repeat of the first. The ID stays reserved for a while, because an attempt of the first request
// can still be on its way to a server, or be executed there, when the client already has the response or has gone.
type inflightIDs struct {
	count atomic.Int64 // number of requests in flight; readable without the lock

	mu          sync.Mutex
	maxInFlight int
	inFlight    map[idDigest]bool
	recent      [2]map[idDigest]bool // IDs of requests ended since rotatedAt, and in the period before
	rotatedAt   time.Time
}

// newInflightIDs returns an empty set that admits at most maxInFlight requests in flight.
func newInflightIDs(maxInFlight int) *inflightIDs {
	return &inflightIDs{
		maxInFlight: maxInFlight,
		inFlight:    map[idDigest]bool{},
		recent:      [2]map[idDigest]bool{{}, {}},
		rotatedAt:   time.Now(),
	}
}

// reserve adds a request to those in flight. It returns errDuplicateID if the ID is in use, else errTooManyRequests if
// the maximum is reached.
func (i *inflightIDs) reserve(id string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rotate()
	digest := digestOf(id)
	switch {
	case i.inFlight[digest] || i.recent[0][digest] || i.recent[1][digest]:
		return errDuplicateID
	case len(i.inFlight) >= i.maxInFlight:
		return errTooManyRequests
	}
	i.inFlight[digest] = true
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
	digest := digestOf(id)
	delete(i.inFlight, digest)
	i.count.Store(int64(len(i.inFlight)))
	i.recent[0][digest] = true
}

// rotate drops the IDs of requests that ended at least idRetention ago, or minIDRetention ago if there are many. The
// caller holds the lock.
func (i *inflightIDs) rotate() {
	now := time.Now()
	age := now.Sub(i.rotatedAt)
	if age >= idRetention || age >= minIDRetention && len(i.recent[0]) >= maxRecentIDs {
		i.recent = [2]map[idDigest]bool{{}, i.recent[0]}
		i.rotatedAt = now
	}
}
