// Package transport provides the communication between sidecars: a UDP socket for datagrams, and a TCP listener for
// snapshots and calls at the same address. It contains no other logic of the fleet. It limits the size, number and
// duration of incoming messages before it passes them to their handlers.
package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// MaxCall is the maximum size of a call and of its response, in bytes. Calls above maxSmallCall are served one at a
// time.
const MaxCall = 8 << 20

const (
	maxSmallCall   = 64 << 10 // bytes
	maxConnections = 64       // served at a time
	maxSnapshots   = 4        // served at a time
	// exchangeTimeout is the timeout of a snapshot or a call, from the opening of its connection to the last byte.
	exchangeTimeout = 2 * time.Second
	// maxPortAttempts is the number of ports that are tried for both sockets. On a machine where tens of thousands of
	// connections have just closed, a port that is free for UDP is often in use for TCP.
	maxPortAttempts = 64
	// failurePause is the pause after a failed system call, because the next one may fail too.
	failurePause = 10 * time.Millisecond
)

// A connection starts with one of these texts, which identifies its purpose. Both have the same length.
const (
	snapshotHello = "milletramp-fleet 1\n"
	callHello     = "milletramp-call  1\n"
)

// Errors of calls that this sidecar rejects.
var (
	errNoCallHandler       = errors.New("fleet: this sidecar serves no calls")
	errLargeCallInProgress = errors.New("fleet: another large call is in progress")
)

// Handler handles datagrams and requests for snapshots. Its methods are called from the Transport's goroutines,
// Datagram by one goroutine at a time.
type Handler interface {
	// Datagram handles a datagram. text is valid only until the method returns.
	Datagram(from string, text []byte)
	// Snapshot returns the snapshot that is sent to a caller.
	Snapshot(ctx context.Context) ([]byte, error)
}

// CallHandler handles calls. Implementations must be safe for concurrent use.
type CallHandler interface {
	Call(ctx context.Context, text []byte) ([]byte, error)
}

// Transport connects a sidecar to the others. It is safe for concurrent use.
type Transport struct {
	datagrams   *net.UDPConn
	listener    *net.TCPListener
	maxSnapshot int         // bytes
	callHandler CallHandler // nil: calls are rejected

	ctx        context.Context // canceled by Close, which closes all connections
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	// These channels are semaphores: each holds one element per connection, snapshot or large call that is being
	// served.
	connectionSlots chan struct{}
	snapshotSlots   chan struct{}
	largeCallSlot   chan struct{}
}

// Listen listens at an IPv4 address with a port. If another process uses the port, as in an upgrade, Listen uses any
// other port of the same IP address; this sidecar announces its actual address to the others. maxSnapshot is in bytes.
func Listen(address string, maxSnapshot int) (*Transport, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() {
		return nil, fmt.Errorf("fleet: address %q is not an IPv4 address with a port", address)
	}
	t := &Transport{
		maxSnapshot:     maxSnapshot,
		snapshotSlots:   make(chan struct{}, maxSnapshots),
		connectionSlots: make(chan struct{}, maxConnections),
		largeCallSlot:   make(chan struct{}, 1),
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	port := at.Port()
	for range maxPortAttempts {
		if err = t.openSockets(netip.AddrPortFrom(at.Addr(), port)); err == nil {
			return t, nil
		}
		port = 0 // any free port
	}
	t.stop()
	return nil, fmt.Errorf("fleet: %w", err)
}

// openSockets opens both sockets at one address. Port 0 selects a port that is free for UDP.
func (t *Transport) openSockets(at netip.AddrPort) (err error) {
	if t.datagrams, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return err
	}
	address := netip.AddrPortFrom(at.Addr(), t.datagrams.LocalAddr().(*net.UDPAddr).AddrPort().Port())
	if t.listener, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address)); err != nil {
		return errors.Join(err, t.datagrams.Close())
	}
	return nil
}

// Address returns the address at which others reach this sidecar.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// SetCallHandler sets the handler of calls. It must be called before Serve. Without a handler, calls are rejected.
func (t *Transport) SetCallHandler(c CallHandler) { t.callHandler = c }

// Serve passes incoming datagrams and snapshot requests to h until Close is called. A datagram of more than maxDatagram
// bytes is truncated to maxDatagram+1 bytes, so that h can detect it.
func (t *Transport) Serve(h Handler, maxDatagram int) {
	t.goroutines.Add(2)
	go func() { // ends when Close closes the socket
		defer t.goroutines.Done()
		readDatagrams(t.datagrams.ReadFromUDPAddrPort, h, maxDatagram)
	}()
	go func() { // ends when Close closes the listener
		defer t.goroutines.Done()
		t.acceptConnections(h)
	}()
}

// readDatagrams passes each datagram returned by read to h, until the socket is closed.
func readDatagrams(read func([]byte) (int, netip.AddrPort, error), h Handler, maxDatagram int) {
	buffer := make([]byte, maxDatagram+1) // the extra byte shows that a datagram is too long
	for {
		n, from, err := read(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(failurePause)
		default:
			h.Datagram(from.String(), buffer[:n])
		}
	}
}

// acceptConnections serves connections until the listener is closed.
func (t *Transport) acceptConnections(h Handler) {
	for {
		c, err := t.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			select {
			case <-time.After(failurePause):
			case <-t.ctx.Done():
			}
			continue
		}
		select {
		case t.connectionSlots <- struct{}{}:
			t.goroutines.Add(1)
			go func() { // ends within exchangeTimeout or at Close
				defer t.goroutines.Done()
				t.serveConnection(c, h)
				<-t.connectionSlots
			}()
		default:
			_ = c.Close() // the peer tries another sidecar
		}
	}
}

// serveConnection sends a snapshot, or the response to a call, to the caller.
func (t *Transport) serveConnection(c net.Conn, h Handler) {
	defer c.Close()
	defer context.AfterFunc(t.ctx, func() { c.Close() })()
	_ = c.SetDeadline(time.Now().Add(exchangeTimeout))
	hello := make([]byte, len(snapshotHello))
	if _, err := io.ReadFull(c, hello); err != nil {
		return
	}
	var text []byte
	var err error
	switch string(hello) {
	case snapshotHello:
		select {
		case t.snapshotSlots <- struct{}{}:
			defer func() { <-t.snapshotSlots }()
		default:
			return
		}
		if text, err = h.Snapshot(t.ctx); len(text) > t.maxSnapshot {
			return
		}
	case callHello:
		if text, err = t.serveCall(c); len(text) > MaxCall {
			return
		}
	default:
		return
	}
	if err == nil {
		_ = writeMessage(c, text) // the caller detects a truncated message
	}
}

// serveCall reads a call and returns the response to it.
func (t *Transport) serveCall(c net.Conn) ([]byte, error) {
	if t.callHandler == nil {
		return nil, errNoCallHandler
	}
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxCall {
		return nil, fmt.Errorf("fleet: call of %d bytes exceeds the limit of %d bytes", n, MaxCall)
	}
	if n > maxSmallCall { // many large calls at once would exhaust the memory
		select {
		case t.largeCallSlot <- struct{}{}:
			defer func() { <-t.largeCallSlot }()
		default:
			return nil, errLargeCallInProgress
		}
	}
	text, err := readMessage(c, n)
	if err != nil {
		return nil, err
	}
	return t.callHandler.Call(t.ctx, text)
}

// writeMessage writes the length of text as 4 bytes, big-endian, followed by text.
func writeMessage(c net.Conn, text []byte) error {
	_, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
	return err
}

// readMessage reads n bytes. It allocates memory as data arrives, so that an announced length alone allocates none.
func readMessage(c net.Conn, n uint32) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err == nil && len(text) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return text, err
}

// Send sends a datagram. A datagram that cannot be sent is dropped, as if it was lost on the network.
func (t *Transport) Send(to string, text []byte) error {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("fleet: address %.80q: %w", to, err)
	}
	_, err = t.datagrams.WriteToUDPAddrPort(text, at)
	return err
}

// Fetch fetches a snapshot from another sidecar.
func (t *Transport) Fetch(ctx context.Context, from string) ([]byte, error) {
	text, err := t.exchange(ctx, from, snapshotHello, nil, t.maxSnapshot)
	if err != nil {
		return nil, fmt.Errorf("fleet: snapshot from %s: %w", from, err)
	}
	return text, nil
}

// Call sends a call to another sidecar and returns the response.
func (t *Transport) Call(ctx context.Context, to string, text []byte) ([]byte, error) {
	if len(text) > MaxCall {
		return nil, fmt.Errorf("fleet: call of %d bytes exceeds the limit of %d bytes", len(text), MaxCall)
	}
	response, err := t.exchange(ctx, to, callHello, text, MaxCall)
	if err != nil {
		return nil, fmt.Errorf("fleet: call of %s: %w", to, err)
	}
	return response, nil
}

// exchange connects to another sidecar, sends hello and, unless it is nil, the message send, and returns the response.
func (t *Transport) exchange(ctx context.Context, address, hello string, send []byte, maxBytes int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	// The connection is opened from this sidecar's own address, which a firewall between sidecars filters by.
	own := t.listener.Addr().(*net.TCPAddr).AddrPort().Addr()
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: own.AsSlice()}}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := io.WriteString(c, hello); err != nil {
		return nil, err
	}
	if send != nil {
		if err := writeMessage(c, send); err != nil {
			return nil, err
		}
	}
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if int64(n) > int64(maxBytes) {
		return nil, fmt.Errorf("%d bytes, %d are allowed", n, maxBytes)
	}
	return readMessage(c, n)
}

// Close closes the sockets and waits for the end of all goroutines.
func (t *Transport) Close() error {
	t.stop()
	err := errors.Join(t.datagrams.Close(), t.listener.Close())
	t.goroutines.Wait()
	return err
}
