// Package link holds the only sockets between sidecars: one for datagrams and a listener for snapshots and calls, at one address.
// It decides nothing; what comes is bounded in size, number and time before anybody looks at it.
package link

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
	mostCallers = 4               // that get a snapshot at a time
	callWithin  = 2 * time.Second // a snapshot takes at most, from the connection's first byte to its last
	// failurePause follows a system call that failed, which may fail again for some time.
	failurePause = 10 * time.Millisecond
	greeting     = "milletramp-fleet 1\n"
	callHello    = "milletramp-call  1\n" // as long as the other one

	// MostCall is the most bytes of a call and of its answer. Large ones come one at a time.
	MostCall   = 8 << 20
	smallCall  = 64 << 10
	mostCalled = 64 // small calls at a time
)

// Handler is who a Link hands to what has come. Its methods are called from the Link's goroutines, datagrams one at a time.
type Handler interface {
	// Datagram takes a datagram. text is the handler's only until it returns.
	Datagram(from string, text []byte)
	// Snapshot returns what a caller gets.
	Snapshot(ctx context.Context) ([]byte, error)
}

// Called answers calls. Its method is called from many goroutines.
type Called interface {
	Call(ctx context.Context, text []byte) ([]byte, error)
}

// Link is a sidecar's way to the others.
type Link struct {
	packets *net.UDPConn
	calls   *net.TCPListener
	most    int // bytes of a snapshot
	over    sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
	places  chan struct{}
	called  Called        // nil: calls are turned away
	calling chan struct{} // has one for each call in hand
	large   chan struct{} // and for each large one
}

// Listen listens at an address, of IPv4 and with a port. Where another process has the port, as in an upgrade, any other
// port of the same address serves: others hear of it from this sidecar itself.
func Listen(address string, mostSnapshot int) (l *Link, err error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() {
		return nil, fmt.Errorf("fleet: address %q: an IPv4 address and a port are needed", address)
	}
	l = &Link{most: mostSnapshot, places: make(chan struct{}, mostCallers), calling: make(chan struct{}, mostCalled),
		large: make(chan struct{}, 1)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	for _, port := range []uint16{at.Port(), 0, 0, 0} { // a free port for both may take some tries
		if l.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at.Addr(), port))); err != nil {
			continue
		}
		same := netip.AddrPortFrom(at.Addr(), l.packets.LocalAddr().(*net.UDPAddr).AddrPort().Port())
		if l.calls, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(same)); err == nil {
			return l, nil
		}
		err = errors.Join(err, l.packets.Close())
	}
	l.stop()
	return nil, fmt.Errorf("fleet: %w", err)
}

// Address is where others reach this sidecar.
func (l *Link) Address() string { return l.calls.Addr().String() }

// Answer has calls be answered. It is to be called before Serve, where there is to be an answer.
func (l *Link) Answer(c Called) { l.called = c }

// Serve hands to h what comes, until Close.
func (l *Link) Serve(h Handler, mostPacket int) {
	l.over.Add(2)
	go func() {
		defer l.over.Done()
		receive(l.packets.ReadFromUDPAddrPort, h, mostPacket)
	}()
	go func() {
		defer l.over.Done()
		for {
			c, err := l.calls.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				select {
				case <-time.After(failurePause): // out of descriptors, most likely
				case <-l.ctx.Done():
				}
				continue
			}
			select {
			case l.calling <- struct{}{}:
				l.over.Add(1)
				go func() {
					defer l.over.Done()
					l.answer(c, h)
					<-l.calling
				}()
			default:
				c.Close() // it asks another one
			}
		}
	}()
}

// receive hands to h each datagram that read gives, until its socket is closed.
func receive(read func([]byte) (int, netip.AddrPort, error), h Handler, mostPacket int) {
	buffer := make([]byte, mostPacket+1) // a byte more shows that one is too long
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

// answer gives a caller a snapshot, or the answer to a call: its length in 4 bytes, and its bytes.
func (l *Link) answer(c net.Conn, h Handler) {
	defer c.Close()
	defer context.AfterFunc(l.ctx, func() { c.Close() })()
	_ = c.SetDeadline(time.Now().Add(callWithin))
	hello := make([]byte, len(greeting))
	if _, err := io.ReadFull(c, hello); err != nil {
		return
	}
	var text []byte
	var err error
	switch string(hello) {
	case greeting:
		select {
		case l.places <- struct{}{}:
			defer func() { <-l.places }()
		default:
			return
		}
		if text, err = h.Snapshot(l.ctx); len(text) > l.most {
			return
		}
	case callHello:
		if text, err = l.call(c); len(text) > MostCall {
			return
		}
	default:
		return
	}
	if err == nil {
		_ = writeText(c, text) // the caller sees the end
	}
}

// call reads a call and returns its answer.
func (l *Link) call(c net.Conn) ([]byte, error) {
	if l.called == nil {
		return nil, errors.New("fleet: nobody answers calls")
	}
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MostCall {
		return nil, fmt.Errorf("fleet: a call of %d bytes, %d are allowed", n, MostCall)
	}
	if n > smallCall { // Danger: many large ones at once would take all memory
		select {
		case l.large <- struct{}{}:
			defer func() { <-l.large }()
		default:
			return nil, errors.New("fleet: another large call is in hand")
		}
	}
	text, err := readText(c, n)
	if err != nil {
		return nil, err
	}
	return l.called.Call(l.ctx, text)
}

// writeText writes a length in 4 bytes, and so many bytes.
func writeText(c net.Conn, text []byte) error {
	_, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
	return err
}

// readText reads so many bytes. Danger: a length alone must not take memory: it is taken as the bytes come.
func readText(c net.Conn, n uint32) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err == nil && len(text) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return text, err
}

// Send sends a datagram. What cannot be sent is lost, as on the way.
func (l *Link) Send(to string, text []byte) error {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("fleet: address %.80q: %w", to, err)
	}
	_, err = l.packets.WriteToUDPAddrPort(text, at)
	return err
}

// Fetch gets a snapshot from another sidecar.
func (l *Link) Fetch(ctx context.Context, from string) ([]byte, error) {
	text, err := l.ask(ctx, from, greeting, nil, l.most)
	if err != nil {
		return nil, fmt.Errorf("fleet: snapshot of %s: %w", from, err)
	}
	return text, nil
}

// Call calls another sidecar and returns its answer.
func (l *Link) Call(ctx context.Context, to string, text []byte) ([]byte, error) {
	if len(text) > MostCall {
		return nil, fmt.Errorf("fleet: a call of %d bytes, %d are allowed", len(text), MostCall)
	}
	answer, err := l.ask(ctx, to, callHello, text, MostCall)
	if err != nil {
		return nil, fmt.Errorf("fleet: call of %s: %w", to, err)
	}
	return answer, nil
}

// ask greets another sidecar, sends it a text, nil: none, and returns what it answers.
func (l *Link) ask(ctx context.Context, from, hello string, send []byte, most int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	// From the own address: that is what a firewall between sidecars goes by.
	own := l.calls.Addr().(*net.TCPAddr).AddrPort().Addr()
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
		if err := writeText(c, send); err != nil {
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
	return readText(c, n)
}

// Close ends the sockets and waits for all that was begun.
func (l *Link) Close() error {
	l.stop()
	err := errors.Join(l.packets.Close(), l.calls.Close())
	l.over.Wait()
	return err
}
