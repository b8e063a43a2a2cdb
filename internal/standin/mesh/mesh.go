// Package mesh stands between sidecars: one relay for each directed pair, for datagrams and connections, that loses, delays,
// doubles, narrows and cuts what goes that way, as it is told at each moment. Everything is on loopback.
//
// Each sidecar listens at an address inside the mesh and tells the others one outside. What comes to another's outside
// address is known by the inside address that it comes from, and goes on as if it came from that sidecar's outside one.
package mesh

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Conditions are what a directed pair does at a moment.
type Conditions struct {
	Cut       bool
	Drop      float64       // share of datagrams
	Duplicate float64       // share of datagrams
	Delay     time.Duration // at the most; drawn evenly
	Rate      float64       // bytes a second; 0: no bound
}

const (
	maxDelayed       = 4096             // datagrams that are delayed at a time
	maxQueueDelay    = time.Second      // that a narrow pair's queue is long
	dialTimeout      = 2 * time.Second  // of a connection
	maxConnDuration  = 10 * time.Second // at the most
	maxDatagramBytes = 64 << 10         // bytes of a datagram
)

// Mesh is the relays of a fleet.
type Mesh struct {
	sidecars   int
	block      byte
	port       uint16
	conditions func(from, to int) Conditions

	datagramSockets []*net.UDPConn
	listeners       []*net.TCPListener
	goroutines      sync.WaitGroup
	done            chan struct{}

	mu           sync.Mutex
	rng          *rand.Rand
	delayed      int
	queueEmptyAt map[[2]int]time.Time // when a narrow pair's queue is empty
	lastSource   []netip.AddrPort     // where each sidecar last sent from
	lost         int
}

// The second bytes of the addresses, and how many sidecars there may be to a block, which is the third byte.
const (
	inside, outside, auxiliary = 101, 102, 103
	maxSidecars                = 250
	blocks                     = 250
)

// block numbers the meshes of this process: each has addresses of its own, so that no port is another one's. It begins where the
// process's number says, so that plays in several processes at a time seldom meet.
var block atomic.Uint32

func init() { block.Store(uint32(os.Getpid())) }

func (m *Mesh) address(side, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(side), m.block, byte(i + 1)})
}

// New returns a mesh for n sidecars. at tells what a pair does now; it is called from many goroutines.
func New(n int, seed uint64, at func(from, to int) Conditions) (*Mesh, error) {
	if n > maxSidecars {
		return nil, fmt.Errorf("mesh: %d sidecars, %d at most", n, maxSidecars)
	}
	for range 20 { // a port that is free at all addresses
		m, err := open(n, seed, at)
		if err == nil {
			return m, nil
		}
		if !errors.Is(err, errPortTaken) {
			return nil, err
		}
	}
	return nil, errors.New("mesh: no port is free at all addresses")
}

var errPortTaken = errors.New("taken")

func open(n int, seed uint64, at func(from, to int) Conditions) (*Mesh, error) {
	m := &Mesh{sidecars: n, block: byte(block.Add(1) % blocks), conditions: at, done: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0x6d657368)),
		queueEmptyAt: map[[2]int]time.Time{}}
	probe, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(m.address(inside, 0), 0)))
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	m.port = probe.Addr().(*net.TCPAddr).AddrPort().Port()
	if err := probe.Close(); err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	for i := range n { // where sidecars are to listen: nothing is held there until they do
		if err := checkFree(netip.AddrPortFrom(m.address(inside, i), m.port)); err != nil {
			return nil, errors.Join(errPortTaken, err)
		}
	}
	for i := range n {
		address := netip.AddrPortFrom(m.address(outside, i), m.port)
		p, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return nil, errors.Join(errPortTaken, err, m.closeSockets())
		}
		m.datagramSockets = append(m.datagramSockets, p)
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
		if err != nil {
			return nil, errors.Join(errPortTaken, err, m.closeSockets())
		}
		m.listeners = append(m.listeners, l)
		m.lastSource = append(m.lastSource, netip.AddrPortFrom(m.address(inside, i), m.port))
	}
	for i := range n {
		m.goroutines.Add(2)
		go func() { defer m.goroutines.Done(); m.relayDatagrams(i) }()
		go func() { defer m.goroutines.Done(); m.acceptConns(i) }()
	}
	return m, nil
}

// checkFree says why an address is not free.
func checkFree(a netip.AddrPort) error {
	p, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return err
	}
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return errors.Join(err, p.Close())
	}
	return errors.Join(l.Close(), p.Close())
}

// Inside is where sidecar i listens.
func (m *Mesh) Inside(i int) string { return netip.AddrPortFrom(m.address(inside, i), m.port).String() }

// Outside is what it tells the others.
func (m *Mesh) Outside(i int) string {
	return netip.AddrPortFrom(m.address(outside, i), m.port).String()
}

// AuxiliaryIP is an IP address of sidecar i for whatever else it listens at.
func (m *Mesh) AuxiliaryIP(i int) string { return m.address(auxiliary, i).String() }

// Lost counts datagrams that did not get through.
func (m *Mesh) Lost() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// index tells which sidecar an inside address is of.
func (m *Mesh) index(a netip.Addr) int {
	b := a.Unmap().As4()
	i := int(b[3]) - 1
	if b[1] != inside || b[2] != m.block || i < 0 || i >= m.sidecars {
		return -1
	}
	return i
}

// relayDatagrams passes on what comes for a sidecar.
func (m *Mesh) relayDatagrams(to int) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := m.datagramSockets[to].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		i := m.index(from.Addr())
		if i < 0 {
			continue
		}
		c := m.conditions(i, to)
		m.mu.Lock()
		m.lastSource[i] = netip.AddrPortFrom(m.address(inside, i), from.Port()) // a successor has another port
		copies, wait, ok := m.drawFate(i, to, n, c)
		m.mu.Unlock()
		if !ok {
			continue
		}
		text := append([]byte(nil), buffer[:n]...)
		for range copies {
			m.schedule(wait(), func() {
				m.mu.Lock()
				address := m.lastSource[to]
				m.mu.Unlock()
				_, _ = m.datagramSockets[i].WriteToUDPAddrPort(text, address) // a sidecar that is down hears nothing
			})
		}
	}
}

// drawFate draws what becomes of a datagram. The lock is held; wait takes it again.
func (m *Mesh) drawFate(from, to, size int, c Conditions) (copies int, wait func() time.Duration, ok bool) {
	if c.Cut || m.rng.Float64() < c.Drop {
		m.lost++
		return 0, nil, false
	}
	queue := time.Duration(0)
	if c.Rate > 0 {
		pair, now := [2]int{from, to}, time.Now()
		free := m.queueEmptyAt[pair]
		if free.Before(now) {
			free = now
		}
		if queue = free.Sub(now); queue > maxQueueDelay {
			m.lost++
			return 0, nil, false
		}
		m.queueEmptyAt[pair] = free.Add(time.Duration(float64(size) / c.Rate * float64(time.Second)))
	}
	copies = 1
	if m.rng.Float64() < c.Duplicate {
		copies = 2
	}
	return copies, func() time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return queue + time.Duration(m.rng.Float64()*float64(c.Delay))
	}, true
}

// schedule does something after a time, or at once. Close waits for it.
func (m *Mesh) schedule(wait time.Duration, do func()) {
	if wait <= 0 {
		do()
		return
	}
	m.mu.Lock()
	full := m.delayed >= maxDelayed
	if full {
		m.lost++
	} else {
		m.delayed++
	}
	m.mu.Unlock()
	if full {
		return
	}
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
			do()
		case <-m.done:
		}
		m.mu.Lock()
		m.delayed--
		m.mu.Unlock()
	}()
}

// acceptConns passes on connections for a sidecar.
func (m *Mesh) acceptConns(to int) {
	for {
		c, err := m.listeners[to].AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		i := m.index(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		m.goroutines.Add(1)
		go func() {
			defer m.goroutines.Done()
			defer c.Close()
			if i >= 0 {
				m.relayConn(c, i, to)
			}
		}()
	}
}

// relayConn joins a caller to the sidecar that it calls.
func (m *Mesh) relayConn(c *net.TCPConn, from, to int) {
	stop := time.AfterFunc(maxConnDuration, func() { c.Close() })
	defer stop.Stop()
	ended := make(chan struct{})
	defer close(ended)
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		select {
		case <-m.done:
			c.Close()
		case <-ended:
		}
	}()
	if m.conditions(from, to).Cut || m.conditions(to, from).Cut { // it never comes up
		_, _ = io.Copy(io.Discard, c)
		return
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: m.address(outside, from).AsSlice()}}
	m.mu.Lock()
	address := m.lastSource[to]
	m.mu.Unlock()
	inner, err := d.Dial("tcp4", address.String())
	if err != nil {
		return
	}
	defer inner.Close()
	both := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn, a, b int) {
		defer func() { both <- struct{}{} }()
		buffer := make([]byte, 16<<10)
		for {
			n, err := src.Read(buffer)
			l := m.conditions(a, b)
			if n > 0 && !l.Cut {
				wait := l.Delay / 2
				if l.Rate > 0 {
					wait += time.Duration(float64(n) / l.Rate * float64(time.Second))
				}
				time.Sleep(min(wait, maxConnDuration))
				if _, err := dst.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	m.goroutines.Add(2)
	go func() { defer m.goroutines.Done(); pipe(inner, c, from, to) }()
	go func() { defer m.goroutines.Done(); pipe(c, inner, to, from) }()
	<-both // whichever ends first ends the connection
}

func (m *Mesh) closeSockets() (err error) {
	for _, p := range m.datagramSockets {
		err = errors.Join(err, p.Close())
	}
	for _, l := range m.listeners {
		err = errors.Join(err, l.Close())
	}
	return err
}

// Close ends all relays.
func (m *Mesh) Close() error {
	close(m.done)
	err := m.closeSockets()
	m.goroutines.Wait()
	return err
}
