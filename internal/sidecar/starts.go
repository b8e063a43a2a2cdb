package sidecar

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/wallclock"
)

// mostDelisted bounds the servers that are on no list any more and whose start is kept all the same.
const mostDelisted = 4096

// startTimes turns the starts that discovery claims into the Balancer's time. The claims are stamps of a clock of day
// that may be off or may step, as may the one that they are compared with here. So each is turned once, when it is
// first told, and its age is bounded by what this process knows by the monotonic clock: a start that the last list did
// not have came after that list.
//
// Nothing but the claim itself bounds the ages in the first list of a process, nor those in a list that the platform
// wrote down, which may be of any age: taken for new, warm servers would count as cold. The loop alone touches a
// startTimes.
type startTimes struct {
	wall    func() time.Time // reads the clock of day
	clock   func() balance.Time
	starts  map[string]*serverStart // by server
	current balance.Time            // when discovery last had nothing more to tell than this process knew; 0: never
	gone    []*serverStart          // on no list, the longest first
}

// serverStart is the last start of a server.
type serverStart struct {
	server string
	boot   time.Time // as claimed
	at     balance.Time
	listed bool
}

func newStartTimes(clock func() balance.Time) *startTimes {
	return &startTimes{wall: wallclock.Now, clock: clock, starts: map[string]*serverStart{}}
}

// of returns when a server of a list started; 0: long ago.
func (s *startTimes) of(t Target) balance.Time {
	if t.Boot.IsZero() {
		return 0
	}
	if start := s.starts[t.ID]; start != nil && start.boot.Equal(t.Boot) {
		return start.at
	}
	at := s.instant(t.Boot)
	if t.State != balance.Removed {
		s.starts[t.ID] = &serverStart{server: t.ID, boot: t.Boot, at: at}
	}
	return at
}

// instant is when a start that is told of now was. One that is yet to come, by this machine's clock, is now.
func (s *startTimes) instant(boot time.Time) balance.Time {
	now, age := s.clock(), max(s.wall().Sub(boot), 0)
	if s.current > 0 {
		age = min(age, now-s.current)
	}
	return max(now-age, 0)
}

// update takes in that a list was told, after the starts in it.
func (s *startTimes) update(now balance.Time, kind balance.ListKind, l List) {
	listed := make(map[string]bool, len(l.Targets))
	for _, t := range l.Targets {
		listed[t.ID] = t.State != balance.Removed
		s.setListed(s.starts[t.ID], listed[t.ID])
	}
	if l.All {
		for id, start := range s.starts {
			s.setListed(start, listed[id])
		}
	}
	if kind != balance.ListRemembered {
		s.confirm(now)
	}
}

// confirm takes in that the list in hand was the current one at a time.
func (s *startTimes) confirm(at balance.Time) { s.current = at }

// setListed takes in whether a server is listed. What is known of one that is not is kept, to be right where the same
// process comes back: a list may leave out servers that run on.
func (s *startTimes) setListed(start *serverStart, listed bool) {
	if start == nil || start.listed == listed {
		return
	}
	start.listed = listed
	if listed {
		return
	}
	if s.gone = append(s.gone, start); len(s.gone) > mostDelisted {
		oldest := s.gone[0]
		s.gone = s.gone[1:]
		if !oldest.listed && s.starts[oldest.server] == oldest {
			delete(s.starts, oldest.server)
		}
	}
}
