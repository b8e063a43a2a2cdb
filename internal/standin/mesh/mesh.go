// Package mesh stands between the sidecars of a fleet. It has a relay for each directed pair, for datagrams and
// connections, that drops, delays, duplicates, slows and cuts what passes. Everything is on the loopback interface.
//
// Each sidecar listens at an address inside the mesh and advertises one outside. The mesh knows who sent to an outside
// address by the inside address of the source, and forwards from the outside address of that sidecar.
//
// Goroutines: two for each sidecar, up to three for each connection and one for each delayed datagram. Close ends all
// of them and waits for them. Errors are those of the sockets; New retries where another process has a port.
package mesh

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxSidecars     = 250
	maxPortAttempts = 20         // until a port is free at all addresses
	meshSeedStream  = 0x6d657368 // sets the random numbers of meshes apart from others of the same seed
)

var (
	errPortTaken  = errors.New("taken")
	errNoFreePort = errors.New("mesh: no port is free at all addresses")
)

// pair is a sidecar that sends and one that receives.
type pair struct{ from, to int }

// Mesh is the relays of a fleet.
type Mesh struct {
	sidecars   int
	addresses  addressBlock
	conditions func(from, to int) Conditions

	datagramSockets []*net.UDPConn     // by sidecar, at its outside address
	listeners       []*net.TCPListener // by sidecar, at its outside address
	goroutines      sync.WaitGroup
	done            chan struct{} // closed by Close

	mu           sync.Mutex
	rng          *rand.Rand
	delayed      int                // datagrams that are delayed now
	queueEmptyAt map[pair]time.Time // of pairs with limited bandwidth
	lastSource   []netip.AddrPort   // where each sidecar last sent from
	lost         int                // datagrams
}

// New returns a mesh for a number of sidecars. conditions returns the present conditions of a pair; many goroutines
// call it at a time.
func New(sidecars int, seed uint64, conditions func(from, to int) Conditions) (*Mesh, error) {
	if sidecars > maxSidecars {
		return nil, fmt.Errorf("mesh: %d sidecars, %d at most", sidecars, maxSidecars)
	}
	for range maxPortAttempts {
		m, err := open(sidecars, seed, conditions)
		if err == nil {
			return m, nil
		}
		if !errors.Is(err, errPortTaken) {
			return nil, err
		}
	}
	return nil, errNoFreePort
}

// open makes one attempt at a mesh, with a port that is free at the first address. The error is errPortTaken if another
// address does not have it free.
func open(sidecars int, seed uint64, conditions func(from, to int) Conditions) (*Mesh, error) {
	addresses, err := newAddressBlock()
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	m := &Mesh{
		sidecars:     sidecars,
		addresses:    addresses,
		conditions:   conditions,
		done:         make(chan struct{}),
		rng:          rand.New(rand.NewPCG(seed, meshSeedStream)),
		queueEmptyAt: map[pair]time.Time{},
	}
	for i := range sidecars { // the sidecars themselves listen there later
		if err := checkFree(addresses.addrPort(inside, i)); err != nil {
			return nil, errors.Join(errPortTaken, err)
		}
	}
	for i := range sidecars {
		if err := m.listen(i); err != nil {
			return nil, errors.Join(errPortTaken, err, m.closeSockets())
		}
	}
	for i := range sidecars {
		m.goroutines.Add(2)
		go func() {
			defer m.goroutines.Done()
			m.relayDatagrams(i)
		}()
		go func() {
			defer m.goroutines.Done()
			m.acceptConns(i)
		}()
	}
	return m, nil
}

// listen opens the sockets at the outside address of a sidecar.
func (m *Mesh) listen(sidecar int) error {
	address := m.addresses.addrPort(outside, sidecar)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	m.datagramSockets = append(m.datagramSockets, socket)
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	m.listeners = append(m.listeners, listener)
	m.lastSource = append(m.lastSource, m.addresses.addrPort(inside, sidecar))
	return nil
}

// Inside returns where a sidecar listens.
func (m *Mesh) Inside(sidecar int) string { return m.addresses.addrPort(inside, sidecar).String() }

// Outside returns what a sidecar advertises.
func (m *Mesh) Outside(sidecar int) string { return m.addresses.addrPort(outside, sidecar).String() }

// AuxiliaryIP returns an IP address of a sidecar for whatever else it listens at.
func (m *Mesh) AuxiliaryIP(sidecar int) string { return m.addresses.ip(auxiliary, sidecar).String() }

// Lost returns how many datagrams were lost.
func (m *Mesh) Lost() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// lastSourceOf returns where a sidecar last sent from, and so where it can be reached.
func (m *Mesh) lastSourceOf(sidecar int) netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastSource[sidecar]
}

func (m *Mesh) closeSockets() (err error) {
	for _, socket := range m.datagramSockets {
		err = errors.Join(err, socket.Close())
	}
	for _, listener := range m.listeners {
		err = errors.Join(err, listener.Close())
	}
	return err
}

// Close ends all relays and waits until their goroutines have ended.
func (m *Mesh) Close() error {
	close(m.done)
	err := m.closeSockets()
	m.goroutines.Wait()
	return err
}
