package mesh

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

const (
	maxDatagramBytes = 64 << 10
	maxDelayed       = 4096        // datagrams of a mesh that are delayed at a time
	maxQueueDelay    = time.Second // of a pair with limited bandwidth
)

// datagramFate is what becomes of a datagram that is not lost.
type datagramFate struct {
	copies     int
	queueDelay time.Duration
	maxDelay   time.Duration // beyond queueDelay; drawn for each copy
}

// relayDatagrams forwards what comes for a sidecar until its socket is closed.
func (m *Mesh) relayDatagrams(to int) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, source, err := m.datagramSockets[to].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from := m.sidecarAt(source.Addr())
		if from < 0 {
			continue
		}
		fate, ok := m.receiveDatagram(pair{from, to}, source, n)
		if !ok {
			continue
		}
		datagram := append([]byte(nil), buffer[:n]...)
		for range fate.copies {
			m.schedule(m.drawDelay(fate), func() {
				// A sidecar that is not running does not receive it.
				_, _ = m.datagramSockets[from].WriteToUDPAddrPort(datagram, m.lastSourceOf(to))
			})
		}
	}
}

// receiveDatagram notes where a datagram came from and draws its fate. It returns false if the datagram is lost.
func (m *Mesh) receiveDatagram(p pair, source netip.AddrPort, size int) (datagramFate, bool) {
	conditions := m.conditions(p.from, p.to)
	m.mu.Lock()
	defer m.mu.Unlock()
	// A process that replaces another one has another port.
	m.lastSource[p.from] = netip.AddrPortFrom(m.addresses.ip(inside, p.from), source.Port())
	return m.drawFate(p, size, conditions)
}

// drawFate draws what becomes of a datagram, and counts one that is lost. The lock is held.
func (m *Mesh) drawFate(p pair, size int, conditions Conditions) (datagramFate, bool) {
	if conditions.Cut || m.rng.Float64() < conditions.Drop {
		m.lost++
		return datagramFate{}, false
	}
	queueDelay, ok := m.enqueue(p, size, conditions)
	if !ok {
		m.lost++
		return datagramFate{}, false
	}
	fate := datagramFate{copies: 1, queueDelay: queueDelay, maxDelay: conditions.Delay}
	if m.rng.Float64() < conditions.Duplicate {
		fate.copies = 2
	}
	return fate, true
}

// enqueue returns how long a datagram waits for those of the pair before it. It returns false if that is too long. The
// lock is held.
func (m *Mesh) enqueue(p pair, size int, conditions Conditions) (time.Duration, bool) {
	if conditions.Rate <= 0 {
		return 0, true
	}
	now := time.Now()
	emptyAt := m.queueEmptyAt[p]
	if emptyAt.Before(now) {
		emptyAt = now
	}
	queueDelay := emptyAt.Sub(now)
	if queueDelay > maxQueueDelay {
		return 0, false
	}
	m.queueEmptyAt[p] = emptyAt.Add(conditions.transmissionTime(size))
	return queueDelay, true
}

// drawDelay draws how long one copy of a datagram is delayed.
func (m *Mesh) drawDelay(fate datagramFate) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fate.queueDelay + time.Duration(m.rng.Float64()*float64(fate.maxDelay))
}

// schedule calls send after a delay, or at once if there is none. A datagram beyond maxDelayed is lost, as are those
// still delayed when the mesh is closed.
func (m *Mesh) schedule(delay time.Duration, send func()) {
	if delay <= 0 {
		send()
		return
	}
	if !m.reserveDelayed() {
		return
	}
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		defer m.releaseDelayed()
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
			send()
		case <-m.done:
		}
	}()
}

// reserveDelayed counts a datagram as delayed, or as lost if too many are.
func (m *Mesh) reserveDelayed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.delayed >= maxDelayed {
		m.lost++
		return false
	}
	m.delayed++
	return true
}

func (m *Mesh) releaseDelayed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delayed--
}
