package discovery

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/wallclock"
)

// maxDelisted is how many servers that are on no list any more have their starts remembered.
const maxDelisted = 4096

// StartTimes converts the starts that discovery claims into the Balancer's time. A claim is a wall-clock time, and
// both its clock and this machine's may be wrong or may step. So each claim is converted once, when it first comes,
// and its age is bounded by what the monotonic clock tells: a start that the last list did not have came after that
// list.
//
// Nothing else bounds the ages in the first list of a process, nor in a remembered list, which may be of any age: taken
// for new, warm servers would count as warming up. A StartTimes belongs to one goroutine.
type StartTimes struct {
	wallClock   func() time.Time
	clock       func() balance.Time     // monotonic
	starts      map[string]*serverStart // by endpoint ID
	confirmedAt balance.Time            // when the list in hand was last known to be the current one; 0: never
	delisted    []*serverStart          // the longest delisted first; may hold some that were listed again
}

// serverStart is the last start of a server.
type serverStart struct {
	endpointID   string
	claimedStart time.Time // as discovery claims it
	startedAt    balance.Time
	listed       bool
}

// NewStartTimes returns a StartTimes that knows no server. clock reads the Balancer's time.
func NewStartTimes(clock func() balance.Time) *StartTimes {
	return &StartTimes{
		wallClock: wallclock.Now,
		clock:     clock,
		starts:    map[string]*serverStart{},
	}
}

// StartOf returns when an endpoint of a list started; 0: long ago. It has to be called before Update with that list.
func (s *StartTimes) StartOf(endpoint Endpoint) balance.Time {
	if endpoint.StartedAt.IsZero() {
		return 0
	}
	if start := s.starts[endpoint.ID]; start != nil && start.claimedStart.Equal(endpoint.StartedAt) {
		return start.startedAt
	}
	startedAt := s.toBalanceTime(endpoint.StartedAt)
	if endpoint.State != balance.Removed {
		s.starts[endpoint.ID] = &serverStart{
			endpointID:   endpoint.ID,
			claimedStart: endpoint.StartedAt,
			startedAt:    startedAt,
		}
	}
	return startedAt
}

// toBalanceTime converts a claim that comes now. A start in the future, by this machine's clock, counts as now.
func (s *StartTimes) toBalanceTime(claimedStart time.Time) balance.Time {
	now := s.clock()
	age := max(s.wallClock().Sub(claimedStart), 0)
	if s.confirmedAt > 0 {
		age = min(age, now-s.confirmedAt)
	}
	return max(now-age, 0)
}

// Update records which servers a list has, and that it is the current one unless it is a remembered list.
func (s *StartTimes) Update(now balance.Time, kind balance.ListKind, list List) {
	listed := make(map[string]bool, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		listed[endpoint.ID] = endpoint.State != balance.Removed
		s.setListed(s.starts[endpoint.ID], listed[endpoint.ID])
	}
	if list.Complete {
		for id, start := range s.starts {
			s.setListed(start, listed[id])
		}
	}
	if kind != balance.ListCached {
		s.Confirm(now)
	}
}

// Confirm records that the list in hand was the current one at a time.
func (s *StartTimes) Confirm(at balance.Time) { s.confirmedAt = at }

// setListed records whether a server is listed. The start of a delisted one is remembered in case the same process is
// listed again: a list may leave out servers that run on.
func (s *StartTimes) setListed(start *serverStart, listed bool) {
	if start == nil || start.listed == listed {
		return
	}
	start.listed = listed
	if listed {
		return
	}
	s.delisted = append(s.delisted, start)
	if len(s.delisted) > maxDelisted {
		s.dropOldestDelisted()
	}
}

// dropOldestDelisted forgets the start of the server that was delisted first, unless it was listed or started again
// since.
func (s *StartTimes) dropOldestDelisted() {
	oldest := s.delisted[0]
	s.delisted = s.delisted[1:]
	if !oldest.listed && s.starts[oldest.endpointID] == oldest {
		delete(s.starts, oldest.endpointID)
	}
}
