// Package transport holds the only sockets between sidecars: one for datagrams and a listener for snapshots and
// calls, at one address. It decides nothing. What comes is bounded in size, number and time before it is handed on.
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

// MaxCall is the largest size of a call and of its answer, in bytes. Calls over maxSmallCall come one at a time.
const MaxCall = 8 << 20

const (
	maxSmallCall   = 64 << 10 // bytes
	maxConnections = 64       // at a time
	maxSnapshots   = 4        // served at a time
	// exchangeTimeout bounds a snapshot or a call, from the connection's first byte to its last.
	exchangeTimeout = 2 * time.Second
	// maxPortAttempts is how many ports are tried for both sockets. A port that is free for datagrams is often taken for
	// connections on a machine where tens of thousands of them have just closed.
	maxPortAttempts = 64
	// failurePause follows a system call that failed, which may fail again for some time.
	failurePause = 10 * time.Millisecond
)

// The first bytes of a connection say what it is for. Both are of one length.
const (
	snapshotHello = "milletramp-fleet 1\n"
	callHello     = "milletramp-call  1\n"
)

// Errors of calls that this sidecar does not serve.
var (
	errNoCallHandler       = errors.New("fleet: nobody answers calls")
	errLargeCallInProgress = errors.New("fleet: another large call is being served")
)

// Handler takes what comes. Its methods are called from the Transport's goroutines, datagrams one at a time.
type Handler interface {
	// Datagram takes a datagram. text is the handler's only until it returns.
	Datagram(from string, text []byte)
	// Snapshot returns what a caller gets.
	Snapshot(ctx context.Context) ([]byte, error)
}

// CallHandler answers calls. Its method is called from many goroutines.
type CallHandler interface {
	Call(ctx context.Context, text []byte) ([]byte, error)
}

// Transport connects a sidecar to the others. Its methods may be called from many goroutines.
type Transport struct {
	datagrams   *net.UDPConn
	listener    *net.TCPListener
	maxSnapshot int         // bytes
	callHandler CallHandler // nil: calls are rejected

	ctx        context.Context // ends with Close, and with it all connections
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	// Each of these channels holds one element for each of its kind that is being served.
	connectionSlots chan struct{}
	snapshotSlots   chan struct{}
	largeCallSlot   chan struct{}
}

// Listen listens at an address, of IPv4 and with a port. Where another process has the port, as in an upgrade, any
// other port of the same address serves: others hear of it from this sidecar itself. maxSnapshot is in bytes.
func Listen(address string, maxSnapshot int) (*Transport, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() {
		return nil, fmt.Errorf("fleet: address %q: an IPv4 address and a port are needed", address)
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
		port = 0 // any other
	}
	t.stop()
	return nil, fmt.Errorf("fleet: %w", err)
}

// openSockets opens both sockets at one address. Port 0 is a port that is free for datagrams.
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

// Address is where others reach this sidecar.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// SetCallHandler has calls be answered. It is to be called before Serve, where there is to be an answer.
func (t *Transport) SetCallHandler(c CallHandler) { t.callHandler = c }

// Serve hands to h what comes, until Close. Datagrams of more than maxDatagram bytes are passed on one byte longer than
// that, so that h can tell.
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

// readDatagrams hands to h each datagram that read returns, until its socket is closed.
func readDatagrams(read func([]byte) (int, netip.AddrPort, error), h Handler, maxDatagram int) {
	buffer := make([]byte, maxDatagram+1) // a byte more shows that one is too long
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
			go func() { // ends within exchangeTimeout, or with Close
				defer t.goroutines.Done()
				t.serveConnection(c, h)
				<-t.connectionSlots
			}()
		default:
			_ = c.Close() // its peer asks another sidecar
		}
	}
}

// serveConnection gives a caller a snapshot, or the answer to a call: its length in 4 bytes, and its bytes.
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
		_ = writeMessage(c, text) // the caller sees the end
	}
}

// serveCall reads a call and returns its answer.
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
		return nil, fmt.Errorf("fleet: a call of %d bytes, %d are allowed", n, MaxCall)
	}
	if n > maxSmallCall { // many large ones at once would take all memory
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

// writeMessage writes a length in 4 bytes, and so many bytes.
func writeMessage(c net.Conn, text []byte) error {
	_, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
	return err
}

// readMessage reads so many bytes. Memory is taken as they come: a length alone must not take any.
func readMessage(c net.Conn, n uint32) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err == nil && len(text) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return text, err
}

// Send sends a datagram. What cannot be sent is lost, as on the way.
func (t *Transport) Send(to string, text []byte) error {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("fleet: address %.80q: %w", to, err)
	}
	_, err = t.datagrams.WriteToUDPAddrPort(text, at)
	return err
}

// Fetch gets a snapshot from another sidecar.
func (t *Transport) Fetch(ctx context.Context, from string) ([]byte, error) {
	text, err := t.exchange(ctx, from, snapshotHello, nil, t.maxSnapshot)
	if err != nil {
		return nil, fmt.Errorf("fleet: snapshot of %s: %w", from, err)
	}
	return text, nil
}

// Call calls another sidecar and returns its answer.
func (t *Transport) Call(ctx context.Context, to string, text []byte) ([]byte, error) {
	if len(text) > MaxCall {
		return nil, fmt.Errorf("fleet: a call of %d bytes, %d are allowed", len(text), MaxCall)
	}
	response, err := t.exchange(ctx, to, callHello, text, MaxCall)
	if err != nil {
		return nil, fmt.Errorf("fleet: call of %s: %w", to, err)
	}
	return response, nil
}

// exchange greets another sidecar, sends it a text, nil: none, and returns what it answers.
func (t *Transport) exchange(ctx context.Context, from, hello string, send []byte, maxBytes int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	// From the own address: that is what a firewall between sidecars goes by.
	own := t.listener.Addr().(*net.TCPAddr).AddrPort().Addr()
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: own.AsSlice()}}).DialContext(ctx, "tcp4", from)
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

// Close ends the sockets and waits for all that was begun.
func (t *Transport) Close() error {
	t.stop()
	err := errors.Join(t.datagrams.Close(), t.listener.Close())
	t.goroutines.Wait()
	return err
}
