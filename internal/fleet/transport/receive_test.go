//go:build go1.25

package transport

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// countingHandler is a Handler that counts datagrams.
type countingHandler struct{ datagrams int }

// Datagram implements Handler.
func (h *countingHandler) Datagram(string, []byte) { h.datagrams++ }

// Snapshot implements Handler.
func (*countingHandler) Snapshot(context.Context) ([]byte, error) { return nil, nil }

// TestReceiveErrors makes reads from the socket fail for some time. The read loop must continue, and pause after each
// failure instead of using all processor time.
func TestReceiveErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, h, begun := 0, &countingHandler{}, time.Now()
		readDatagrams(func([]byte) (int, netip.AddrPort, error) {
			switch calls++; {
			case calls <= 100:
				return 0, netip.AddrPort{}, os.NewSyscallError("recvfrom", syscall.ENOBUFS)
			case calls == 101:
				return 1, netip.AddrPort{}, nil
			}
			return 0, netip.AddrPort{}, net.ErrClosed
		}, h, 10)
		if took := time.Since(begun); took != 100*failurePause || h.datagrams != 1 || calls != 102 {
			t.Errorf("%d datagrams after %d reads in %v", h.datagrams, calls, took)
		}
	})
}
