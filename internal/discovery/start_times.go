package discovery

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/wallclock"
)

// maxDelisted is the maximum number of delisted servers whose start times are kept.
const maxDelisted = 4096

// StartTimes converts the server start times that discovery reports into the Balancer's time. A reported start is a
// wall-clock time, and the clocks of discovery and of this host may be wrong or may step. Each reported start is
// therefore converted only once, when it is first received. The age of the server is bounded by the monotonic time
// since the previous list: a start that the previous list did not contain happened after that list.
//
// Ages in the first list of a process and in a remembered list are not bounded this way. A remembered list may be of
// any age, and if its warmed-up servers were treated as new they would be put into slow start. A StartTimes must be
// used by one goroutine only.
type StartTimes struct {
	wallClock   func() time.Time
	clock       func() balance.Time     // monotonic clock
	starts      map[string]*serverStart // start of each server, by endpoint ID
	confirmedAt balance.Time            // time at which the latest list was last confirmed as current; 0: never
	delisted    []*serverStart          // servers in order of delisting; may contain servers that were listed again
}

// serverStart is the most recent start of a server.
type serverStart struct {
	endpointID    string
	reportedStart time.Time // as reported by discovery, wall-clock time
	startedAt     balance.Time
	listed        bool
}

// NewStartTimes returns a StartTimes without servers. clock returns the Balancer's time.
func NewStartTimes(clock func() balance.Time) *StartTimes {
	return &StartTimes{
		wallClock: wallclock.Now,
		clock:     clock,
		starts:    map[string]*serverStart{},
	}
}

// StartOf returns the start time of an endpoint in a list; 0 means long ago. It must be called before Update is called
// with that list.
func (s *StartTimes) StartOf(endpoint Endpoint) balance.Time {
	if endpoint.StartedAt.IsZero() {
		return 0
	}
	if start := s.starts[endpoint.ID]; start != nil && start.reportedStart.Equal(endpoint.StartedAt) {
		return start.startedAt
	}
	startedAt := s.toBalanceTime(endpoint.StartedAt)
	if endpoint.State != balance.Removed {
		s.starts[endpoint.ID] = &serverStart{
			endpointID:    endpoint.ID,
			reportedStart: endpoint.StartedAt,
			startedAt:     startedAt,
		}
	}
	return startedAt
}

// toBalanceTime converts a reported start that was received now. A start in the future, by this host's clock, is
// treated as now.
func (s *StartTimes) toBalanceTime(reportedStart time.Time) balance.Time {
	now := s.clock()
	age := max(s.wallClock().Sub(reportedStart), 0)
	if s.confirmedAt > 0 {
		age = min(age, now-s.confirmedAt)
	}
	return max(now-age, 0)
}

// Update records which servers a list contains. Unless the list is a remembered one, it also records that the list is
// current.
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

// Confirm records that the latest list was current at a time.
func (s *StartTimes) Confirm(at balance.Time) { s.confirmedAt = at }

// setListed records whether a server is listed. The start time of a delisted server is kept in case the same process is
// listed again, because a list may omit servers that continue to run.
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

// dropOldestDelisted removes the start time of the server that was delisted first, unless the server has been listed
// again or has restarted since.
func (s *StartTimes) dropOldestDelisted() {
	oldest := s.delisted[0]
	s.delisted = s.delisted[1:]
	if !oldest.listed && s.starts[oldest.endpointID] == oldest {
		delete(s.starts, oldest.endpointID)
	}
}
