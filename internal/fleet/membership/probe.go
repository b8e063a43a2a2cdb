package membership

import "slices"

// probe is the probe in flight.
type probe struct {
	name         string // of the member that is probed
	seq          uint64
	indirectSent bool // indirect probes were asked for
	indirectAt   Time // when they are
	deadline     Time
	probers      int // members that were asked for an indirect probe
	nacks        int // of these, that said that they had no ack either
}

// relay is an indirect probe in flight for another member.
type relay struct {
	requester    string // its address
	requesterSeq uint64
	deadline     Time // of the nack first, then of the relay itself
	nackSent     bool
}

// Receive takes in a message of a process of a member, from its address.
func (m *Machine) Receive(now Time, from, name string, incarnation ProcessIncarnation, message Message) {
	if p := m.peers[name]; p != nil && p.ProcessIncarnation == incarnation {
		p.lastContact = max(now, 1) // 0 stands for never
	}
	switch message.Kind {
	case Ping:
		// A process that has taken over the address of a dead member must not answer for it.
		if message.Target == "" || message.Target == m.self.Name && !m.superseded {
			m.send(from, Message{Kind: Ack, Seq: message.Seq})
		}
	case PingReq:
		m.relayPing(now, from, message)
	case Ack:
		m.handleAck(message.Seq)
	case Nack:
		if m.probe != nil && message.Seq == m.probe.seq {
			m.probe.nacks++
		}
	}
}

// relayPing pings a member for another one, unless too many relays are in flight.
func (m *Machine) relayPing(now Time, from string, request Message) {
	if len(m.relays) >= maxRelays || request.TargetAddress == "" {
		return
	}
	m.lastSeq++
	m.relays[m.lastSeq] = relay{requester: from, requesterSeq: request.Seq, deadline: now + m.settings.AckTimeout}
	m.send(request.TargetAddress, Message{Kind: Ping, Seq: m.lastSeq, Target: request.Target})
}

func (m *Machine) handleAck(seq uint64) {
	if r, ok := m.relays[seq]; ok {
		delete(m.relays, seq)
		m.send(r.requester, Message{Kind: Ack, Seq: r.requesterSeq})
	}
	if m.probe != nil && seq == m.probe.seq {
		m.probe = nil
		m.adjustLocalHealth(-1)
	}
}

// expireRelays sends a nack for each relay that has no ack in time, and drops the relay one probe interval later.
func (m *Machine) expireRelays(now Time) {
	for seq, r := range m.relays {
		switch {
		case now < r.deadline:
		case r.nackSent:
			delete(m.relays, seq)
		default:
			r.nackSent, r.deadline = true, now+m.settings.ProbeInterval
			m.relays[seq] = r
			m.send(r.requester, Message{Kind: Nack, Seq: r.requesterSeq})
		}
	}
}

// startProbe pings the next member in the order of this round. The order is drawn anew for each round, so a member is
// probed within two rounds (SWIM, section 4.3).
func (m *Machine) startProbe(now Time) {
	if m.probe != nil {
		return
	}
	for len(m.present) > 0 {
		if len(m.probeOrder) == 0 {
			order := slices.Clone(m.present)
			m.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			m.probeOrder = order
		}
		name := m.probeOrder[0]
		m.probeOrder = m.probeOrder[1:]
		p := m.peers[name]
		if p == nil || !p.Present() {
			continue
		}
		m.lastSeq++
		m.probe = &probe{
			name:       name,
			seq:        m.lastSeq,
			indirectAt: now + m.scaleByLocalHealth(m.settings.AckTimeout),
			deadline:   now + m.scaleByLocalHealth(m.settings.ProbeInterval),
		}
		m.send(p.Address, Message{Kind: Ping, Seq: m.lastSeq, Target: name})
		return
	}
}

// advanceProbe asks for indirect probes once the direct one has timed out, and suspects the member at the deadline.
func (m *Machine) advanceProbe(now Time) {
	current := m.probe
	if current == nil {
		return
	}
	p := m.peers[current.name]
	if p == nil || !p.Present() {
		m.probe = nil
		return
	}
	if !current.indirectSent && now >= current.indirectAt {
		m.requestIndirectProbes(current, p.Address)
	}
	if now < current.deadline {
		return
	}
	// Probers that sent neither ack nor nack point at a fault of this member's own (Lifeguard, section IV-A).
	m.adjustLocalHealth(max(current.probers-current.nacks, 1))
	m.probe = nil
	suspect := p.Member
	suspect.State = Suspect // where it is one already, this changes nothing
	m.mergePeer(now, suspect, m.self.Name)
}

func (m *Machine) requestIndirectProbes(current *probe, address string) {
	current.indirectSent = true
	for _, prober := range m.SamplePresent(indirectProbers + 1) { // one more, as the target may be drawn
		if prober.Name == current.name || current.probers >= indirectProbers {
			continue
		}
		current.probers++
		request := Message{Kind: PingReq, Seq: current.seq, Target: current.name, TargetAddress: address}
		m.send(prober.Address, request)
	}
}

// rejoin pings one seed that no present member has the address of, or one dead member: a partition that heals leaves
// two fleets that hold each other for dead.
func (m *Machine) rejoin() {
	present := map[string]bool{m.self.Address: true}
	var candidates []string
	for _, p := range m.peers {
		present[p.Address] = present[p.Address] || p.Present()
		if p.State == Dead {
			candidates = append(candidates, p.Address)
		}
	}
	for _, seed := range m.settings.Peers {
		if !present[seed] {
			candidates = append(candidates, seed)
		}
	}
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	if len(candidates) == 0 {
		return
	}
	m.lastSeq++
	m.send(candidates[m.rng.IntN(len(candidates))], Message{Kind: Ping, Seq: m.lastSeq})
}
