package mesh

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	dialTimeout     = 2 * time.Second
	maxConnDuration = 10 * time.Second // also the most that one write is delayed
	pipeBufferBytes = 16 << 10
)

// acceptConns relays connections to a sidecar until its listener is closed.
func (m *Mesh) acceptConns(to int) {
	for {
		c, err := m.listeners[to].AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from := m.sidecarAt(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		m.goroutines.Add(1)
		go func() {
			defer m.goroutines.Done()
			defer c.Close()
			if from >= 0 {
				m.relayConn(c, pair{from, to})
			}
		}()
	}
}

// relayConn connects a caller to the sidecar that it calls, until either side ends.
func (m *Mesh) relayConn(caller *net.TCPConn, p pair) {
	limit := time.AfterFunc(maxConnDuration, func() { caller.Close() })
	defer limit.Stop()
	ended := make(chan struct{})
	defer close(ended)
	m.closeWhenDone(caller, ended)
	if m.conditions(p.from, p.to).Cut || m.conditions(p.to, p.from).Cut {
		_, _ = io.Copy(io.Discard, caller) // the connection never comes up to the sidecar
		return
	}
	callee, err := m.dial(p)
	if err != nil {
		return
	}
	defer callee.Close()
	pipeEnded := make(chan struct{}, 2)
	m.startPipe(callee, caller, p, pipeEnded)
	m.startPipe(caller, callee, pair{p.to, p.from}, pipeEnded)
	<-pipeEnded // whichever ends first ends the connection
}

// closeWhenDone closes a connection when the mesh is closed. Its goroutine ends at the latest when ended is closed.
func (m *Mesh) closeWhenDone(c net.Conn, ended <-chan struct{}) {
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		select {
		case <-m.done:
			c.Close()
		case <-ended:
		}
	}()
}

// dial connects to the receiver of a pair, from the outside address of the sender.
func (m *Mesh) dial(p pair) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		LocalAddr: &net.TCPAddr{IP: m.addresses.ip(outside, p.from).AsSlice()},
	}
	return dialer.Dial("tcp4", m.lastSourceOf(p.to).String())
}

// startPipe copies one direction of a connection, and sends to ended when that is over.
func (m *Mesh) startPipe(destination, source net.Conn, p pair, ended chan<- struct{}) {
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		defer func() { ended <- struct{}{} }()
		m.pipe(destination, source, p)
	}()
}

// pipe copies until either connection ends, as the pair's conditions have it. What arrives during a cut is dropped.
func (m *Mesh) pipe(destination, source net.Conn, p pair) {
	buffer := make([]byte, pipeBufferBytes)
	for {
		n, readErr := source.Read(buffer)
		conditions := m.conditions(p.from, p.to)
		if n > 0 && !conditions.Cut {
			time.Sleep(min(conditions.Delay/2+conditions.transmissionTime(n), maxConnDuration))
			if _, err := destination.Write(buffer[:n]); err != nil {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}
