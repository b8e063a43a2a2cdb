package gossip

import (
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

const (
	confirmReplicas      = 3                      // number of other members that must hold the item
	confirmRetryInterval = 200 * time.Millisecond // between two rounds of pings
	// confirmTimeout is the time after which Confirm stops waiting for further holders. An operator's call has to be
	// answered within 1 s, even on a busy host.
	confirmTimeout = 500 * time.Millisecond
	// confirmSeqBit is set in the sequence numbers of pings that carry an item to be confirmed, and is not set in those
	// of package membership.
	confirmSeqBit = 1 << 63
)

// Confirmation is the result of Confirm.
type Confirmation struct {
	Key        replication.Key
	Holders    int // number of other members that hold the item
	Recipients int // number of members to which it was sent; 0: there is no other member
}

// pendingConfirm is an item whose confirmation by other members is pending.
type pendingConfirm struct {
	key         replication.Key
	seq         uint64
	recipients  map[string]bool // addresses
	holders     map[string]bool // names
	nextAttempt Time
	deadline    Time
}

// Confirm sends an item to some other members. A Confirmation follows in the Actions once confirmReplicas members (or
// all others, if fewer) hold the item, or after confirmTimeout. An operator's call is acknowledged only then: a call
// acknowledged earlier would be lost if this sidecar crashed immediately afterwards.
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

// retryConfirms ends the confirmations that are complete or timed out, and resends the items of the others when due.
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

// sendConfirm pings random members that have not acknowledged an item, with the item in the packet.
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

// handleConfirmAck records the member that acknowledged a ping of Confirm as a holder of the item.
func (m *Machine) handleConfirmAck(seq uint64, by string) {
	for i := range m.pendingConfirms {
		if m.pendingConfirms[i].seq == seq {
			m.pendingConfirms[i].holders[by] = true
		}
	}
}
