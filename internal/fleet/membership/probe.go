package membership

import "slices"

// probe is the probe in flight.
type probe struct {
	name         string // of the probed member
	seq          uint64
	indirectSent bool // indirect probes have been requested
	indirectAt   Time // when indirect probes are requested
	deadline     Time
	probers      int // number of members from which an indirect probe was requested
	nacks        int // number of nacks received from them
}

// relay is an indirect probe in flight on behalf of another member.
type relay struct {
	requester    string // address of the member that requested the probe
	requesterSeq uint64
	deadline     Time // for sending the nack; after that, for dropping the relay
	nackSent     bool
}

// Receive handles a message from a process of the named member. from is the sender's address.
func (m *Machine) Receive(now Time, from, name string, incarnation ProcessIncarnation, message Message) {
	if p := m.peers[name]; p != nil && p.ProcessIncarnation == incarnation {
		p.lastContact = max(now, 1) // 0 means never
	}
	switch message.Kind {
	case Ping:
		// A process that reuses the address of a dead member must not acknowledge pings for that member.
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

// relayPing pings a member on behalf of another one, unless maxRelays relays are in flight.
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

// expireRelays sends a nack for each relay without an ack by its deadline and drops the relay one probe interval later.
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

// startProbe pings the next member in the order of this round. Each round uses a new random order, so each member is
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

// advanceProbe requests indirect probes once the direct probe has timed out, and suspects the member at the deadline.
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
	// Probers that sent neither ack nor nack indicate a fault of this member itself (Lifeguard, section IV-A).
	m.adjustLocalHealth(max(current.probers-current.nacks, 1))
	m.probe = nil
	suspect := p.Member
	suspect.State = Suspect // no effect if it is a suspect already
	m.mergePeer(now, suspect, m.self.Name)
}

func (m *Machine) requestIndirectProbes(current *probe, address string) {
	current.indirectSent = true
	for _, prober := range m.SamplePresent(indirectProbers + 1) { // one extra, as the sample may include the target
		if prober.Name == current.name || current.probers >= indirectProbers {
			continue
		}
		current.probers++
		request := Message{Kind: PingReq, Seq: current.seq, Target: current.name, TargetAddress: address}
		m.send(prober.Address, request)
	}
}

// rejoin pings one random address out of those of dead members and those of seeds at which no member is present. After
// a partition heals, each side still considers the other dead and would otherwise not contact it.
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
