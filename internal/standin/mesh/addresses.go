package mesh

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// addressKind is the second byte of a sidecar's address.
type addressKind byte

const (
	inside    addressKind = 101 // where it listens
	outside   addressKind = 102 // what it advertises; the mesh listens there
	auxiliary addressKind = 103 // for whatever else it listens at
)

// maxBlocks is how many values the third byte of an address may have.
const maxBlocks = 250

// lastBlock numbers the meshes of this process, so that each has addresses of its own. It begins at the process's
// number, so that meshes of several processes seldom meet.
var lastBlock atomic.Uint32

func init() { lastBlock.Store(uint32(os.Getpid())) }

// addressBlock is the addresses of one mesh. The fourth byte of an address is the sidecar's number plus one.
type addressBlock struct {
	block byte // third byte
	port  uint16
}

// newAddressBlock returns the next block of this process, with a port that is free at the first inside address.
func newAddressBlock() (addressBlock, error) {
	b := addressBlock{block: byte(lastBlock.Add(1) % maxBlocks)}
	probe, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(b.addrPort(inside, 0)))
	if err != nil {
		return addressBlock{}, err
	}
	b.port = probe.Addr().(*net.TCPAddr).AddrPort().Port()
	return b, probe.Close()
}

func (b addressBlock) ip(kind addressKind, sidecar int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(kind), b.block, byte(sidecar + 1)})
}

func (b addressBlock) addrPort(kind addressKind, sidecar int) netip.AddrPort {
	return netip.AddrPortFrom(b.ip(kind, sidecar), b.port)
}

// sidecarAt returns the sidecar of an inside address, or -1.
func (m *Mesh) sidecarAt(ip netip.Addr) int {
	bytes := ip.Unmap().As4()
	sidecar := int(bytes[3]) - 1
	if bytes[1] != byte(inside) || bytes[2] != m.addresses.block || sidecar < 0 || sidecar >= m.sidecars {
		return -1
	}
	return sidecar
}

// checkFree returns why an address is not free for datagrams and connections.
func checkFree(address netip.AddrPort) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return errors.Join(err, socket.Close())
	}
	return errors.Join(listener.Close(), socket.Close())
}
