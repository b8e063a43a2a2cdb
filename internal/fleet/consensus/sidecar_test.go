package consensus

import (
	"fmt"
	"time"

	"milletramp.example/milletramp/internal/fleet/policy"
)

// sidecar is a simulated sidecar that sends requests to renew its lease to randomly drawn voters.
type sidecar struct {
	*policy.Holder
	name             string
	incarnation      uint64
	pausedUntil      time.Duration
	partitionedUntil time.Duration
	requestedAt      time.Duration
}

func (s *sidecar) start() {
	s.incarnation++
	s.Holder = policy.NewHolder(s.name, s.incarnation, policy.DefaultTerms)
}

func (c *cluster) requestLease(s *sidecar) {
	s.requestedAt = c.now
	if s.partitionedUntil > c.now {
		return
	}
	q, sent, incarnation := s.Request(), c.now, s.incarnation
	to := c.voters[c.random.IntN(len(c.voters))]
	for _, v := range c.voters { // most requests go to the leader, as sidecars store its ID
		if v.machine != nil && v.machine.Leader() != 0 && c.random.IntN(4) > 0 {
			to = c.voters[v.machine.Leader()-1]
		}
	}
	c.tokens++
	token := c.tokens
	c.callbacks[token] = func(a LeaseReply) { c.receiveReply(s, incarnation, sent, a) }
	c.send(func() { to.run(func(m *Machine) { m.RequestLease(c.now, token, q) }) })
}

func (c *cluster) receiveReply(s *sidecar, incarnation uint64, sent time.Duration, a LeaseReply) {
	switch {
	case a.Err != nil || s.incarnation != incarnation || s.partitionedUntil > c.now:
		return
	case s.pausedUntil > c.now:
		c.schedule(s.pausedUntil-c.now, func() { c.receiveReply(s, incarnation, sent, a) })
		return
	}
	if number := s.ApplyResponse(c.now, sent, a.Grant); number > 0 {
		c.schedule(5*time.Millisecond, func() {
			if s.incarnation == incarnation {
				s.RecordCheck(number, "")
				c.requestLease(s)
			}
		})
	}
}

// stepSidecars makes sidecars renew their leases. It checks that all sidecars serve under the same policy, and never
// under an earlier policy than before.
func (c *cluster) stepSidecars() {
	serving := map[uint64]bool{}
	for _, s := range c.sidecars {
		if s.pausedUntil > c.now {
			continue
		}
		if c.now-s.requestedAt >= policy.DefaultTerms.ShortLength/3 {
			c.requestLease(s)
		}
		if number, _, ok := s.Serves(c.now); ok {
			serving[number] = true
			if number < c.highestServed {
				c.violation = fmt.Sprintf("%v: %s serves under policy %d after policy %d was in use",
					c.now, s.name, number, c.highestServed)
			}
		}
	}
	for number := range serving {
		c.highestServed = max(c.highestServed, number)
	}
	if len(serving) > 1 {
		c.violation = fmt.Sprintf("%v: policies %v are in use at the same time", c.now, serving)
	}
}

// servingCount returns the number of sidecars that serve.
func (c *cluster) servingCount() (n int) {
	for _, s := range c.sidecars {
		if _, _, ok := s.Serves(c.now); ok {
			n++
		}
	}
	return n
}
