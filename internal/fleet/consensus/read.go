package consensus

import (
	"encoding/binary"
	"slices"
	"time"

	"go.etcd.io/raft/v3"

	"milletramp.example/milletramp/internal/fleet/policy"
)

const (
	maxQueuedReads   = 4096
	readTimeout      = 2 * time.Second  // until a queued read fails with ErrNoLeader
	readRoundTimeout = 3 * TickInterval // until the reads of an unconfirmed round are queued again
)

// pendingRead is a lease request that waits until a majority has confirmed that this voter leads.
type pendingRead struct {
	token      uint64
	request    policy.LeaseRequest
	receivedAt Time
}

// readRound is one ReadIndex round, which confirms all reads queued at its start (Ongaro's dissertation, section 6.4).
// One round per read would send a message to each voter for each lease request, and a fleet of 300 sidecars sends
// thousands of lease requests per second during a change.
type readRound struct {
	id        uint64
	reads     []pendingRead
	startedAt Time
	readIndex uint64 // index of the last entry to apply before replying to the reads; 0: not confirmed yet
}

// RequestLease queues a sidecar's lease request. TakeActions returns the reply under the token once a majority has
// confirmed that this voter was the leader when the request arrived.
func (m *Machine) RequestLease(now Time, token uint64, q policy.LeaseRequest) {
	r := pendingRead{token, q, now}
	if m.leases == nil || len(m.queuedReads) >= maxQueuedReads {
		m.replyToRead(r, policy.LeaseResponse{}, ErrNoLeader)
		return
	}
	m.queuedReads = append(m.queuedReads, r)
	m.startReadRound(now)
}

// startReadRound starts a round for the queued reads, unless one is in progress.
func (m *Machine) startReadRound(now Time) {
	if m.leases == nil || m.currentRound != nil || len(m.queuedReads) == 0 {
		return
	}
	m.lastRoundID++
	m.currentRound = &readRound{id: m.lastRoundID, reads: m.queuedReads, startedAt: now}
	m.queuedReads = nil
	m.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, m.lastRoundID))
}

// confirmReadRound records the read index of the current round if states shows that a majority has confirmed it.
func (m *Machine) confirmReadRound(states []raft.ReadState) {
	for _, s := range states {
		if m.currentRound != nil && m.currentRound.id == binary.BigEndian.Uint64(s.RequestCtx) {
			m.currentRound.readIndex = s.Index
		}
	}
}

// replyToConfirmedReads replies to the reads of the current round if it is confirmed and its read index is applied. It
// then starts the next round.
func (m *Machine) replyToConfirmedReads(now Time) {
	round := m.currentRound
	if m.leases == nil || round == nil || round.readIndex == 0 || m.appliedIndex < round.readIndex {
		return
	}
	for _, r := range round.reads {
		grant, entries := m.leases.Renew(now, m.ledger, r.request)
		m.proposeEntries(entries)
		m.replyToRead(r, grant, nil)
	}
	m.currentRound = nil
	m.startReadRound(now)
}

// expireReads queues the reads of an unconfirmed round again after readRoundTimeout, as its messages may have been
// lost, and fails reads that have waited for readTimeout.
func (m *Machine) expireReads(now Time) {
	if r := m.currentRound; r != nil && r.readIndex == 0 && now-r.startedAt >= readRoundTimeout {
		m.requeueReads()
	}
	m.queuedReads = slices.DeleteFunc(m.queuedReads, func(r pendingRead) bool {
		expired := now-r.receivedAt >= readTimeout
		if expired {
			m.replyToRead(r, policy.LeaseResponse{}, ErrNoLeader)
		}
		return expired
	})
}

// failReads replies to all reads with ErrNoLeader.
func (m *Machine) failReads() {
	m.requeueReads()
	for _, r := range m.queuedReads {
		m.replyToRead(r, policy.LeaseResponse{}, ErrNoLeader)
	}
	m.queuedReads = nil
}

// requeueReads ends the current round and puts its reads at the head of the queue.
func (m *Machine) requeueReads() {
	if m.currentRound == nil {
		return
	}
	m.queuedReads = append(m.currentRound.reads, m.queuedReads...)
	m.currentRound = nil
}

func (m *Machine) replyToRead(r pendingRead, grant policy.LeaseResponse, err error) {
	m.actions.LeaseReplies = append(m.actions.LeaseReplies, LeaseReply{r.token, grant, err})
}
