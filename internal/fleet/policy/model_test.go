package policy

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// model is a state of a small fleet, from which every possible next event is explored. Time advances in ticks. A
// sidecar has at most one message in flight.
type model struct {
	now          int // tick
	entries      int
	ledger       *Ledger
	table        *LeaseTable
	term         uint64
	holders      []*Holder
	incarnations []uint64
	messages     []message // by sidecar
	lastRequests []int     // by sidecar, tick of its last request; at most one per tick
	changes      int       // that may still be proposed
	crashes      int       // remaining, of sidecars and leaders
	losses       int       // remaining
	highest      uint64    // highest policy number served so far
}

type messageKind int

const (
	noMessage messageKind = iota
	requestMessage
	responseMessage
)

type message struct {
	kind     messageKind
	sent     int // tick of the request
	request  LeaseRequest
	response LeaseResponse
}

// modelTerms are terms with leases of two ticks, and of one tick while a change waits for its switch.
var modelTerms = Terms{Length: 2 * time.Second, ShortLength: time.Second}

func tickTime(n int) Time { return time.Hour + Time(n)*time.Second }

func newModel(sidecars int) *model {
	m := &model{
		ledger:       NewLedger([]byte("first")),
		term:         1,
		messages:     make([]message, sidecars),
		incarnations: make([]uint64, sidecars),
		lastRequests: slices.Repeat([]int{-1}, sidecars),
		holders:      make([]*Holder, sidecars),
	}
	// The leader's term began so long ago that the leases of earlier leaders have expired.
	m.table = NewLeaseTable(tickTime(0)-modelTerms.Length-time.Second, 1, modelTerms)
	for i := range sidecars {
		m.startProcess(i)
	}
	return m
}

func (m *model) startProcess(i int) {
	m.incarnations[i]++
	m.holders[i] = NewHolder(fmt.Sprint("n", i), m.incarnations[i], modelTerms)
}

// clone returns a copy. The objects that it references by pointers are shared, and copied before they are modified.
func (m *model) clone() *model {
	c := *m
	c.holders = slices.Clone(m.holders)
	c.incarnations = slices.Clone(m.incarnations)
	c.messages = slices.Clone(m.messages)
	c.lastRequests = slices.Clone(m.lastRequests)
	return &c
}

// mutableTable replaces the lease table by a copy and returns the copy.
func (m *model) mutableTable() *LeaseTable {
	table := *m.table
	table.holders = make(map[string]*leaseHolder, len(m.table.holders))
	for name, h := range m.table.holders {
		table.holders[name] = &leaseHolder{h.incarnation, slices.Clone(h.leases), h.lastChecked}
	}
	m.table = &table
	return &table
}

// mutableHolder replaces a sidecar's holder by a copy and returns the copy.
func (m *model) mutableHolder(i int) *Holder {
	h := *m.holders[i]
	h.runnable = maps.Clone(h.runnable)
	m.holders[i] = &h
	return &h
}

func appendNumbers(text []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		text = binary.AppendUvarint(text, n)
	}
	return text
}

// timeLeft returns the time from now until at, or 0 if at has passed.
func (m *model) timeLeft(at Time) uint64 { return uint64(max(at-tickTime(m.now), 0)) }

// key returns a hash of the state. States with the same key have equivalent successors. Sidecars differ only by name,
// so their order does not matter. Of stamps and incarnations only the order within one sidecar matters. Expired leases
// do not matter.
func (m *model) key() uint64 {
	sidecars := make([]string, len(m.holders))
	for i := range m.holders {
		text := m.sidecarKey(i)
		sidecars[i] = string(appendNumbers(nil, uint64(len(text)))) + string(text)
	}
	slices.Sort(sidecars)
	encoded := appendNumbers(nil, uint64(m.now), uint64(m.changes), uint64(m.crashes), uint64(m.losses), m.highest,
		m.ledger.inForce.Number, m.ledger.lastNumber, m.timeLeft(m.table.earlierLeasesEnd))
	if p := m.ledger.pending; p != nil {
		switchAt := m.table.switchTime(p)
		encoded = appendNumbers(encoded, p.Number, uint64(p.State), m.timeLeft(switchAt), min(uint64(switchAt), 1))
	}
	for _, text := range sidecars {
		encoded = append(encoded, text...)
	}
	return xxhash.Sum64(encoded)
}

// sidecarKey encodes a sidecar, its message and the leader's record of it.
func (m *model) sidecarKey(i int) []byte {
	holder, message := m.holders[i], m.messages[i]
	known := m.table.holders[holder.name]
	leases := m.validLeases(known)
	rank := stampRanks(holder, message, leases)
	requested := uint64(0)
	if m.lastRequests[i] == m.now {
		requested = 1
	}
	text := appendNumbers(nil, rank(holder.latest), holder.lastChecked, runnableBits(holder), holder.currentNumber,
		m.timeLeft(holder.currentExpiry), requested, uint64(message.kind))
	if m.timeLeft(holder.nextExpiry) > 0 && holder.nextNumber > 0 {
		text = appendNumbers(text, holder.nextNumber, m.timeLeft(holder.nextStart), m.timeLeft(holder.nextExpiry))
	} else {
		text = appendNumbers(text, holder.nextNumber, 0, 0)
	}
	switch message.kind {
	case requestMessage:
		r := message.request
		text = appendNumbers(text, rank(r.Latest), r.Checked, holder.incarnation-r.Incarnation,
			uint64(m.now-message.sent))
	case responseMessage:
		r := message.response
		text = appendNumbers(text, rank(r.Stamp), r.Number, uint64(r.Duration), r.Next, uint64(r.NextIn),
			uint64(r.NextDuration), r.Check, uint64(m.now-message.sent))
	}
	if known != nil {
		text = appendNumbers(text, 1+holder.incarnation-known.incarnation, known.lastChecked)
		for _, lease := range leases {
			text = appendNumbers(text, holder.incarnation-lease.incarnation, rank(lease.stamp),
				m.timeLeft(lease.expiry))
		}
	}
	return text
}

func (m *model) validLeases(known *leaseHolder) (valid []grantedLease) {
	if known == nil {
		return nil
	}
	for _, lease := range known.leases {
		if lease.expiry > tickTime(m.now) {
			valid = append(valid, lease)
		}
	}
	return valid
}

// stampRanks returns a function that returns the rank of a stamp among all stamps of a sidecar.
func stampRanks(holder *Holder, message message, leases []grantedLease) func(Stamp) uint64 {
	stamps := []Stamp{holder.latest}
	switch message.kind {
	case requestMessage:
		stamps = append(stamps, message.request.Latest)
	case responseMessage:
		stamps = append(stamps, message.response.Stamp)
	}
	for _, lease := range leases {
		stamps = append(stamps, lease.stamp)
	}
	slices.SortFunc(stamps, Stamp.Compare)
	stamps = slices.Compact(stamps)
	return func(s Stamp) uint64 { return uint64(slices.Index(stamps, s)) }
}

func runnableBits(holder *Holder) (bits uint64) {
	for n := range holder.runnable {
		bits |= 1 << n
	}
	return bits
}

func (m *model) apply(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	l := *m.ledger
	if l.pending != nil {
		p := *l.pending
		l.pending = &p
	}
	l.outcomes, l.former = slices.Clone(l.outcomes), slices.Clone(l.former)
	m.ledger = &l
	for _, e := range entries {
		m.entries++
		l.Apply(e)
	}
}

// successors returns all possible next states up to the last tick.
func (m *model) successors(lastTick int) (all []*model) {
	addSuccessor := func(possible bool, event func(c *model)) {
		if possible {
			c := m.clone()
			event(c)
			all = append(all, c)
		}
	}
	addSuccessor(m.now < lastTick, func(c *model) { c.now++ })
	// The leader can call Tick many times per tick of the model. With one call per tick, the three steps of a change
	// would take three ticks, and all leases of two ticks would have expired regardless of the leader's decisions.
	addSuccessor(m.ledger.Pending() != nil, func(c *model) {
		c.apply(c.mutableTable().Tick(tickTime(c.now), c.ledger))
	})
	for i, message := range m.messages {
		switch message.kind {
		case noMessage:
			addSuccessor(m.lastRequests[i] < m.now, func(c *model) { c.send(i) })
		case requestMessage:
			addSuccessor(true, func(c *model) { c.respond(i) })
		case responseMessage:
			addSuccessor(true, func(c *model) { c.receive(i) })
		}
		addSuccessor(message.kind != noMessage && m.losses > 0, func(c *model) { c.lose(i) })
		addSuccessor(m.crashes > 0, func(c *model) { c.crash(i) })
	}
	addSuccessor(m.crashes > 0, (*model).changeLeader)
	addSuccessor(m.changes > 0, (*model).propose)
	return all
}

// send sends a sidecar's request.
func (m *model) send(i int) {
	m.messages[i] = message{kind: requestMessage, sent: m.now, request: m.holders[i].Request()}
	m.lastRequests[i] = m.now
}

// respond makes the leader respond to a sidecar's request.
func (m *model) respond(i int) {
	response, write := m.mutableTable().Renew(tickTime(m.now), m.ledger, m.messages[i].request)
	m.apply(write)
	m.messages[i] = message{kind: responseMessage, sent: m.messages[i].sent, response: response}
}

// receive makes a sidecar apply its response, and immediately check the document to be checked.
func (m *model) receive(i int) {
	arrived := m.messages[i]
	m.messages[i] = message{}
	h := m.mutableHolder(i)
	if number := h.ApplyResponse(tickTime(m.now), tickTime(arrived.sent), arrived.response); number > 0 {
		h.RecordCheck(number, "")
	}
}

// lose drops the message of a sidecar.
func (m *model) lose(i int) {
	m.losses--
	m.messages[i] = message{}
}

// crash replaces a sidecar's process by a new one.
func (m *model) crash(i int) {
	m.crashes--
	m.messages[i] = message{}
	m.startProcess(i)
}

// changeLeader starts a new term. Requests that the former leader has not responded to are lost.
func (m *model) changeLeader() {
	m.crashes--
	m.term++
	m.table = NewLeaseTable(tickTime(m.now), m.term, modelTerms)
	for i := range m.messages {
		if m.messages[i].kind == requestMessage {
			m.messages[i] = message{}
		}
	}
}

// propose appends a proposal that follows the policy in force.
func (m *model) propose() {
	m.changes--
	m.apply([]Entry{{Propose: &Proposal{
		ID:      fmt.Sprint("p", m.changes),
		Author:  "a",
		Follows: m.ledger.InForce().Number,
		Text:    []byte{byte('a' + m.changes)},
	}}})
}

// violation describes the guarantee that the state violates, "" if none.
func (m *model) violation() string {
	serving := map[uint64]bool{}
	for _, h := range m.holders {
		if number, _, ok := h.Serves(tickTime(m.now)); ok {
			serving[number] = true
		}
	}
	for number := range serving {
		if number < m.highest {
			return fmt.Sprintf("policy %d is served after policy %d", number, m.highest)
		}
		m.highest = max(m.highest, number)
	}
	if len(serving) > 1 {
		return fmt.Sprintf("policies %v are served at the same time", slices.Sorted(maps.Keys(serving)))
	}
	return ""
}
