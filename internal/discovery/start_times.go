package discovery

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/wallclock"
)

// maxDelisted bounds the servers that are on no list any more and whose start is kept all the same.
const maxDelisted = 4096

// StartTimes turns the starts that discovery claims into the Balancer's time. The claims are stamps of a clock of day
// that may be off or may step, as may the one that they are compared with here. So each is turned once, when it is
// first told, and its age is bounded by what this process knows by the monotonic clock: a start that the last list did
// not have came after that list.
//
// Nothing but the claim itself bounds the ages in the first list of a process, nor those in a list that the platform
// wrote down, which may be of any age: taken for new, warm servers would count as cold. The loop alone touches a
// startTimes.
type StartTimes struct {
	wallClock   func() time.Time // reads the clock of day
	clock       func() balance.Time
	starts      map[string]*serverStart // by server
	confirmedAt balance.Time            // when discovery last had nothing more to tell than this process knew; 0: never
	delisted    []*serverStart          // on no list, the longest first
}

// serverStart is the last start of a server.
type serverStart struct {
	endpointID   string
	claimedStart time.Time // as claimed
	startedAt    balance.Time
	listed       bool
}

func NewStartTimes(clock func() balance.Time) *StartTimes {
	return &StartTimes{wallClock: wallclock.Now, clock: clock, starts: map[string]*serverStart{}}
}

// StartOf returns when a server of a list started; 0: long ago.
func (s *StartTimes) StartOf(t Endpoint) balance.Time {
	if t.StartedAt.IsZero() {
		return 0
	}
	if start := s.starts[t.ID]; start != nil && start.claimedStart.Equal(t.StartedAt) {
		return start.startedAt
	}
	at := s.toBalanceTime(t.StartedAt)
	if t.State != balance.Removed {
		s.starts[t.ID] = &serverStart{endpointID: t.ID, claimedStart: t.StartedAt, startedAt: at}
	}
	return at
}

// toBalanceTime is when a start that is told of now was. One that is yet to come, by this machine's clock, is now.
func (s *StartTimes) toBalanceTime(boot time.Time) balance.Time {
	now, age := s.clock(), max(s.wallClock().Sub(boot), 0)
	if s.confirmedAt > 0 {
		age = min(age, now-s.confirmedAt)
	}
	return max(now-age, 0)
}

// Update takes in that a list was told, after the starts in it.
func (s *StartTimes) Update(now balance.Time, kind balance.ListKind, l List) {
	listed := make(map[string]bool, len(l.Endpoints))
	for _, t := range l.Endpoints {
		listed[t.ID] = t.State != balance.Removed
		s.setListed(s.starts[t.ID], listed[t.ID])
	}
	if l.Complete {
		for id, start := range s.starts {
			s.setListed(start, listed[id])
		}
	}
	if kind != balance.ListRemembered {
		s.Confirm(now)
	}
}

// Confirm takes in that the list in hand was the current one at a time.
func (s *StartTimes) Confirm(at balance.Time) { s.confirmedAt = at }

// setListed takes in whether a server is listed. What is known of one that is not is kept, to be right where the same
// process comes back: a list may leave out servers that run on.
func (s *StartTimes) setListed(start *serverStart, listed bool) {
	if start == nil || start.listed == listed {
		return
	}
	start.listed = listed
	if listed {
		return
	}
	if s.delisted = append(s.delisted, start); len(s.delisted) > maxDelisted {
		oldest := s.delisted[0]
		s.delisted = s.delisted[1:]
		if !oldest.listed && s.starts[oldest.endpointID] == oldest {
			delete(s.starts, oldest.endpointID)
		}
	}
}
