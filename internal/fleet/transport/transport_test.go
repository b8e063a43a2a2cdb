package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler is a Handler that queues datagrams and returns a fixed snapshot or error.
type handler struct {
	datagrams chan string
	snapshot  []byte
	err       error
}

func (h *handler) Datagram(_ string, text []byte) { h.datagrams <- string(text) }

func (h *handler) Snapshot(context.Context) ([]byte, error) { return h.snapshot, h.err }

func startTransport(t *testing.T, h *handler) *Transport {
	t.Helper()
	h.datagrams = make(chan string, 100)
	l, err := Listen("127.0.0.1:0", 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	l.Serve(h, 1200)
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	})
	return l
}

// TestDatagramAndSnapshot sends a datagram, and fetches a large and an empty snapshot and one that fails.
func TestDatagramAndSnapshot(t *testing.T) {
	h := &handler{snapshot: bytes.Repeat([]byte("x"), 1<<20)}
	a, b := startTransport(t, &handler{}), startTransport(t, h)
	if err := a.Send(b.Address(), []byte("hello")); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-h.datagrams:
		if got != "hello" {
			t.Errorf("datagram %q, want hello", got)
		}
	case <-time.After(testTimeout):
		t.Fatal("no datagram received")
	}
	if got, err := a.Fetch(context.Background(), b.Address()); err != nil || !bytes.Equal(got, h.snapshot) {
		t.Errorf("large snapshot: %d bytes, error %v", len(got), err)
	}
	h.snapshot = nil
	if got, err := a.Fetch(context.Background(), b.Address()); err != nil || len(got) != 0 {
		t.Errorf("empty snapshot: %d bytes, error %v", len(got), err)
	}
	h.err = errors.New("snapshot failed")
	if _, err := a.Fetch(context.Background(), b.Address()); err == nil {
		t.Error("no error for a failed snapshot")
	}
}

// TestPortInUse requires that Listen uses another port if the port is in use, and rejects invalid addresses.
func TestPortInUse(t *testing.T) {
	a := startTransport(t, &handler{})
	b, err := Listen(a.Address(), 100)
	if err != nil {
		t.Fatal(err)
	}
	if b.Address() == a.Address() {
		t.Error("both transports have the same address")
	}
	if err := b.Close(); err != nil {
		t.Error(err)
	}
	for _, bad := range []string{"", "nowhere", "[::1]:7000", "127.0.0.1"} {
		if l, err := Listen(bad, 100); err == nil {
			l.Close()
			t.Errorf("no error for address %q", bad)
		}
	}
}

// TestMisbehavingPeers connects peers that send invalid or too much data, or none. Each must be rejected within its
// timeout, and the transport must continue to serve others.
func TestMisbehavingPeers(t *testing.T) {
	a, b := startTransport(t, &handler{}), startTransport(t, &handler{snapshot: []byte("state")})
	for _, text := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n      "), bytes.Repeat([]byte("x"), 4096)} {
		c, err := net.Dial("tcp", b.Address())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(text)
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		if got, err := io.ReadAll(c); len(got) > 0 || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("response %q to an invalid hello, error %v", got, err)
		}
		c.Close()
	}
	// Connections without data occupy their slots until they time out. Then others are served.
	for range maxSnapshots {
		c, err := net.Dial("tcp", b.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if got, err := a.Fetch(context.Background(), b.Address()); err == nil && string(got) == "state" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("connections without data block others permanently")
		}
	}
	// A peer that announces more than the maximum size, and one that closes the connection early.
	for _, length := range []uint32{1<<20 + 1, 1 << 20} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = io.ReadFull(c, make([]byte, len(snapshotHello)))
			fmt.Fprintf(c, "%s%s", binary.BigEndian.AppendUint32(nil, length), "half")
		}()
		if got, err := a.Fetch(context.Background(), l.Addr().String()); err == nil {
			t.Errorf("no error after %d of %d bytes", len(got), length)
		}
		l.Close()
		<-done
	}
}
