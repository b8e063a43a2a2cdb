package testserver

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Failure is a system call that fails, or is short.
type Failure struct {
	Errno    syscall.Errno // 0: none
	MaxBytes int           // bytes that it reads or writes; 0 without an errno: all
}

// Failures makes system calls of a program fail, each kind as planned and then no more. The kinds are listen, accept,
// connect, and read and write with client or server before them, such as "server read". The zero value plans none.
type Failures struct {
	mu   sync.Mutex
	plan map[string][]Failure // by kind of call
}

// Set plans the next calls of a kind, in place of what was planned.
func (f *Failures) Set(call string, plan ...Failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil {
		f.plan = map[string][]Failure{}
	}
	f.plan[call] = plan
}

// Next returns how the next call of a kind goes: the bytes that it transfers at most, 0 for any, and its error.
func (f *Failures) Next(call string) (maxBytes int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	plan := f.plan[call]
	if len(plan) == 0 {
		return 0, nil
	}
	f.plan[call] = plan[1:]
	if plan[0].Errno != 0 {
		err = &net.OpError{Op: call, Err: os.NewSyscallError(call, plan[0].Errno)}
	}
	return plan[0].MaxBytes, err
}

// Dial connects to a server over TCP, unless the next connect fails.
func (f *Failures) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if _, err := f.Next("connect"); err != nil {
		return nil, err
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return f.ServerConn(c.(*net.TCPConn)), nil
}

// ServerConn returns c as a connection to a server whose reads and writes fail as planned.
func (f *Failures) ServerConn(c *net.TCPConn) net.Conn { return &failingConn{c, f, "server "} }

// ClientConn returns c as a connection from a client whose reads and writes fail as planned.
func (f *Failures) ClientConn(c *net.TCPConn) net.Conn { return &failingConn{c, f, "client "} }

// failingConn is a connection whose calls fail as planned for its side.
type failingConn struct {
	*net.TCPConn
	plan *Failures
	side string
}

// Read implements net.Conn.
func (c *failingConn) Read(p []byte) (int, error) {
	maxBytes, err := c.plan.Next(c.side + "read")
	if err != nil {
		return 0, err
	}
	if maxBytes > 0 {
		p = p[:min(maxBytes, len(p))]
	}
	return c.TCPConn.Read(p)
}

// Write implements net.Conn.
func (c *failingConn) Write(p []byte) (int, error) {
	maxBytes, err := c.plan.Next(c.side + "write")
	if maxBytes > 0 || err != nil {
		p = p[:min(maxBytes, len(p))]
	}
	n, failed := c.TCPConn.Write(p)
	return n, errors.Join(err, failed)
}

var (
	// MachineErrnos are failures of this machine, which tell nothing of a server.
	MachineErrnos = []syscall.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL,
		unix.EAGAIN, unix.EINTR}
	// AcceptErrnos are the errors of accept(2).
	AcceptErrnos = []syscall.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENETUNREACH, unix.ENETDOWN,
		unix.EHOSTUNREACH, unix.EPROTO, unix.EPERM, unix.ECONNABORTED}
	// StreamErrnos are failures of reads and writes that say something of this machine only.
	StreamErrnos = []syscall.Errno{unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN, unix.EINTR}
)
