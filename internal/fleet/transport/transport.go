// Package transport holds the only sockets between sidecars: one for datagrams and a listener for snapshots and calls, at one address.
// It decides nothing; what comes is bounded in size, number and time before anybody looks at it.
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

const (
	maxSnapshots    = 4               // that get a snapshot at a time
	exchangeTimeout = 2 * time.Second // a snapshot takes at most, from the connection's first byte to its last
	snapshotHello   = "milletramp-fleet 1\n"
	callHello       = "milletramp-call  1\n" // as long as the other one

	// MaxCall is the most bytes of a call and of its answer. Large ones come one at a time.
	MaxCall        = 8 << 20
	maxSmallCall   = 64 << 10
	maxConnections = 64 // small calls at a time
)

// Handler is who a Link hands to what has come. Its methods are called from the Link's goroutines, datagrams one at a time.
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

// Transport is a sidecar's way to the others.
type Transport struct {
	datagrams       *net.UDPConn
	listener        *net.TCPListener
	maxSnapshot     int // bytes of a snapshot
	goroutines      sync.WaitGroup
	ctx             context.Context
	stop            context.CancelFunc
	snapshotSlots   chan struct{}
	callHandler     CallHandler   // nil: calls are turned away
	connectionSlots chan struct{} // has one for each call in hand
	largeCallSlot   chan struct{} // and for each large one
}

// Listen listens at an address, of IPv4 and with a port. Where another process has the port, as in an upgrade, any other
// port of the same address serves: others hear of it from this sidecar itself.
func Listen(address string, mostSnapshot int) (l *Transport, err error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() {
		return nil, fmt.Errorf("fleet: address %q: an IPv4 address and a port are needed", address)
	}
	l = &Transport{maxSnapshot: mostSnapshot, snapshotSlots: make(chan struct{}, maxSnapshots), connectionSlots: make(chan struct{}, maxConnections),
		largeCallSlot: make(chan struct{}, 1)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	for _, port := range []uint16{at.Port(), 0, 0, 0} { // a free port for both may take some tries
		if l.datagrams, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at.Addr(), port))); err != nil {
			continue
		}
		same := netip.AddrPortFrom(at.Addr(), l.datagrams.LocalAddr().(*net.UDPAddr).AddrPort().Port())
		if l.listener, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(same)); err == nil {
			return l, nil
		}
		err = errors.Join(err, l.datagrams.Close())
	}
	l.stop()
	return nil, fmt.Errorf("fleet: %w", err)
}

// Address is where others reach this sidecar.
func (l *Transport) Address() string { return l.listener.Addr().String() }

// SetCallHandler has calls be answered. It is to be called before Serve, where there is to be an answer.
func (l *Transport) SetCallHandler(c CallHandler) { l.callHandler = c }

// Serve hands to h what comes, until Close.
func (l *Transport) Serve(h Handler, mostPacket int) {
	l.goroutines.Add(2)
	go func() {
		defer l.goroutines.Done()
		buffer := make([]byte, mostPacket+1) // a byte more shows that one is too long
		for {
			n, from, err := l.datagrams.ReadFromUDPAddrPort(buffer)
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err == nil:
				h.Datagram(from.String(), buffer[:n])
			}
		}
	}()
	go func() {
		defer l.goroutines.Done()
		for {
			c, err := l.listener.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				select {
				case <-time.After(10 * time.Millisecond): // out of descriptors, most likely
				case <-l.ctx.Done():
				}
				continue
			}
			select {
			case l.connectionSlots <- struct{}{}:
				l.goroutines.Add(1)
				go func() {
					defer l.goroutines.Done()
					l.serveConnection(c, h)
					<-l.connectionSlots
				}()
			default:
				c.Close() // it asks another one
			}
		}
	}()
}

// serveConnection gives a caller a snapshot, or the answer to a call: its length in 4 bytes, and its bytes.
func (l *Transport) serveConnection(c net.Conn, h Handler) {
	defer c.Close()
	defer context.AfterFunc(l.ctx, func() { c.Close() })()
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
		case l.snapshotSlots <- struct{}{}:
			defer func() { <-l.snapshotSlots }()
		default:
			return
		}
		if text, err = h.Snapshot(l.ctx); len(text) > l.maxSnapshot {
			return
		}
	case callHello:
		if text, err = l.serveCall(c); len(text) > MaxCall {
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
func (l *Transport) serveCall(c net.Conn) ([]byte, error) {
	if l.callHandler == nil {
		return nil, errors.New("fleet: nobody answers calls")
	}
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxCall {
		return nil, fmt.Errorf("fleet: a call of %d bytes, %d are allowed", n, MaxCall)
	}
	if n > maxSmallCall { // Danger: many large ones at once would take all memory
		select {
		case l.largeCallSlot <- struct{}{}:
			defer func() { <-l.largeCallSlot }()
		default:
			return nil, errors.New("fleet: another large call is in hand")
		}
	}
	text, err := readMessage(c, n)
	if err != nil {
		return nil, err
	}
	return l.callHandler.Call(l.ctx, text)
}

// writeMessage writes a length in 4 bytes, and so many bytes.
func writeMessage(c net.Conn, text []byte) error {
	_, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
	return err
}

// readMessage reads so many bytes. Danger: a length alone must not take memory: it is taken as the bytes come.
func readMessage(c net.Conn, n uint32) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err == nil && len(text) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return text, err
}

// Send sends a datagram. What cannot be sent is lost, as on the way.
func (l *Transport) Send(to string, text []byte) error {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("fleet: address %.80q: %w", to, err)
	}
	_, err = l.datagrams.WriteToUDPAddrPort(text, at)
	return err
}

// Fetch gets a snapshot from another sidecar.
func (l *Transport) Fetch(ctx context.Context, from string) ([]byte, error) {
	text, err := l.exchange(ctx, from, snapshotHello, nil, l.maxSnapshot)
	if err != nil {
		return nil, fmt.Errorf("fleet: snapshot of %s: %w", from, err)
	}
	return text, nil
}

// Call calls another sidecar and returns its answer.
func (l *Transport) Call(ctx context.Context, to string, text []byte) ([]byte, error) {
	if len(text) > MaxCall {
		return nil, fmt.Errorf("fleet: a call of %d bytes, %d are allowed", len(text), MaxCall)
	}
	answer, err := l.exchange(ctx, to, callHello, text, MaxCall)
	if err != nil {
		return nil, fmt.Errorf("fleet: call of %s: %w", to, err)
	}
	return answer, nil
}

// exchange greets another sidecar, sends it a text, nil: none, and returns what it answers.
func (l *Transport) exchange(ctx context.Context, from, hello string, send []byte, most int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	// From the own address: that is what a firewall between sidecars goes by.
	own := l.listener.Addr().(*net.TCPAddr).AddrPort().Addr()
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
	if int64(n) > int64(most) {
		return nil, fmt.Errorf("%d bytes, %d are allowed", n, most)
	}
	return readMessage(c, n)
}

// Close ends the sockets and waits for all that was begun.
func (l *Transport) Close() error {
	l.stop()
	err := errors.Join(l.datagrams.Close(), l.listener.Close())
	l.goroutines.Wait()
	return err
}
