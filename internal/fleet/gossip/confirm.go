package gossip

import (
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

const (
	confirmReplicas      = 3                      // other members that are to hold the item
	confirmRetryInterval = 200 * time.Millisecond // between two pings of a member
	// confirmTimeout ends the wait with fewer holders. An operator's call is to be answered within 1 s, also where the
	// machine is busy.
	confirmTimeout = 500 * time.Millisecond
	// confirmSeqBit marks the sequence numbers of pings that carry an item to be confirmed; membership's own have it
	// unset.
	confirmSeqBit = 1 << 63
)

// Confirmation is the result of Confirm.
type Confirmation struct {
	Key        replication.Key
	Holders    int // other members that hold the item
	Recipients int // members that it was sent to; 0: there is no other
}

// pendingConfirm is an item that other members are to hold.
type pendingConfirm struct {
	key         replication.Key
	seq         uint64
	recipients  map[string]bool // addresses
	holders     map[string]bool // names
	nextAttempt Time
	deadline    Time
}

// Confirm sends an item to some other members; a Confirmation follows in the Actions once enough hold it, or after
// confirmTimeout. An operator's call is acknowledged then: were it acknowledged before, it would be lost if this
// sidecar died at once.
func (m *Machine) Confirm(now replication.Now, key replication.Key) {
	m.confirmsStarted++
	m.pendingConfirms = append(m.pendingConfirms, pendingConfirm{
		key:         key,
		seq:         m.confirmsStarted | confirmSeqBit,
		recipients:  map[string]bool{},
		holders:     map[string]bool{},
		nextAttempt: now.Time,
		deadline:    now.Time + confirmTimeout,
	})
	m.retryConfirms(now)
}

// retryConfirms ends the confirms that are complete or over, and sends the items of the others again.
func (m *Machine) retryConfirms(now replication.Now) {
	required := min(confirmReplicas, m.Members.NumPresent()-1)
	m.pendingConfirms = slices.DeleteFunc(m.pendingConfirms, func(c pendingConfirm) bool {
		if len(c.holders) < required && now.Time < c.deadline {
			return false
		}
		m.actions.Confirmations = append(m.actions.Confirmations,
			Confirmation{c.key, len(c.holders), len(c.recipients)})
		return true
	})
	for i := range m.pendingConfirms {
		if c := &m.pendingConfirms[i]; now.Time >= c.nextAttempt {
			c.nextAttempt = now.Time + confirmRetryInterval
			m.sendConfirm(now, c)
		}
	}
}

// sendConfirm pings members that have not acknowledged an item, with the item in the packet.
func (m *Machine) sendConfirm(now replication.Now, c *pendingConfirm) {
	for _, to := range m.Members.SamplePresent(2 * confirmReplicas) {
		if c.holders[to.Name] || len(c.holders)+1 > confirmReplicas {
			continue
		}
		p := Packet{Probe: &membership.Message{Kind: membership.Ping, Seq: c.seq, Target: to.Name}}
		m.appendItems(now, &p, []replication.Key{c.key})
		if m.send(now.Time, to.Address, p) {
			c.recipients[to.Address] = true
		}
	}
}

// handleConfirmAck counts a member that has acknowledged a ping of Confirm.
func (m *Machine) handleConfirmAck(seq uint64, by string) {
	for i := range m.pendingConfirms {
		if m.pendingConfirms[i].seq == seq {
			m.pendingConfirms[i].holders[by] = true
		}
	}
}
