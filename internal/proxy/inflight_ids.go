package proxy

import (
	"sync"
	"sync/atomic"
	"time"
)

// idRetention is how long an id is at least remembered after its request's end.
const idRetention = time.Second

// inflightIDs are those of the requests in hand and of those that have just ended. A second request under an id would
// be a second copy for servers, and one of the two would get the other's answer. It may still be on its way when the
// first has its answer.
type inflightIDs struct {
	maxInFlight int          // requests in hand
	count       atomic.Int64 // how many held has, for those who only look

	mu        sync.Mutex
	inFlight  map[string]bool
	recent    [2]map[string]bool // lately, and before that
	rotatedAt time.Time
}

func newInflightIDs(most int) *inflightIDs {
	return &inflightIDs{maxInFlight: most, inFlight: map[string]bool{}, recent: [2]map[string]bool{{}, {}}, rotatedAt: time.Now()}
}

// reserve takes a request in hand. known says that its id is taken, full that there are too many requests.
func (i *inflightIDs) reserve(id string) (known, full bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rotate()
	known = i.inFlight[id] || i.recent[0][id] || i.recent[1][id]
	full = len(i.inFlight) >= i.maxInFlight
	if !known && !full {
		i.inFlight[id] = true
		i.count.Store(int64(len(i.inFlight)))
	}
	return known, full
}

// setMax changes how many requests may be in hand.
func (i *inflightIDs) setMax(most int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.maxInFlight = most
}

// release lets go of a request.
func (i *inflightIDs) release(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rotate()
	delete(i.inFlight, id)
	i.count.Store(int64(len(i.inFlight)))
	i.recent[0][id] = true
}

// rotate forgets what has been over for long. The lock is held.
func (i *inflightIDs) rotate() {
	if now := time.Now(); now.Sub(i.rotatedAt) >= idRetention {
		i.recent, i.rotatedAt = [2]map[string]bool{{}, i.recent[0]}, now
	}
}
