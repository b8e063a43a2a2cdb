package mesh

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

const patience = 30 * time.Second

// TestConditions: each condition applies to the datagrams of one direction, and not to those of the other.
func TestConditions(t *testing.T) {
	var mu sync.Mutex
	var now Conditions
	m, err := New(2, 1, func(from, _ int) Conditions {
		mu.Lock()
		defer mu.Unlock()
		if from == 0 {
			return now
		}
		return Conditions{}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	var ends [2]*net.UDPConn
	for i := range ends {
		inside := netip.MustParseAddrPort(m.Inside(i))
		if ends[i], err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(inside)); err != nil {
			t.Fatal(err)
		}
		defer ends[i].Close()
	}
	// send sends datagrams from one end and a mark behind them, and counts what the other got by then.
	send := func(from, n int, c Conditions, quiet time.Duration) (got int, took time.Duration) {
		t.Helper()
		mu.Lock()
		now = c
		mu.Unlock()
		begun := time.Now()
		to := netip.MustParseAddrPort(m.Outside(1 - from))
		for i := range n {
			if _, err := ends[from].WriteToUDPAddrPort([]byte(fmt.Sprint("x", i)), to); err != nil {
				t.Fatal(err)
			}
			if i%20 == 19 {
				time.Sleep(time.Millisecond) // no buffer is to overflow
			}
		}
		buffer := make([]byte, 100)
		for {
			if err := ends[1-from].SetReadDeadline(time.Now().Add(quiet)); err != nil {
				t.Fatal(err)
			}
			_, who, err := ends[1-from].ReadFromUDPAddrPort(buffer)
			if err != nil {
				return got, took
			}
			if want := netip.MustParseAddrPort(m.Outside(from)); who != want {
				t.Fatalf("it comes from %v, want %v", who, want)
			}
			got, took = got+1, time.Since(begun)
		}
	}
	if got, _ := send(0, 200, Conditions{}, time.Second); got != 200 {
		t.Errorf("%d of 200 with no condition", got)
	}
	if got, _ := send(0, 20, Conditions{Cut: true}, 100*time.Millisecond); got != 0 {
		t.Errorf("%d of 20 through a cut", got)
	}
	if got, _ := send(1, 20, Conditions{Cut: true}, time.Second); got != 20 {
		t.Errorf("%d of 20 the other way", got)
	}
	if got, _ := send(0, 400, Conditions{Drop: 0.5}, time.Second); got < 140 || got > 260 {
		t.Errorf("%d of 400 with half of them dropped", got)
	}
	if got, _ := send(0, 200, Conditions{Duplicate: 0.5}, time.Second); got < 240 || got > 360 {
		t.Errorf("%d of 200 with half of them doubled", got)
	}
	got, took := send(0, 50, Conditions{Delay: 300 * time.Millisecond}, time.Second)
	if got != 50 || took < 100*time.Millisecond {
		t.Errorf("%d of 50 within %v with a delay", got, took)
	}
	if got, took := send(0, 60, Conditions{Rate: 600}, 2*time.Second); got != 60 || took < 150*time.Millisecond {
		t.Errorf("%d of 60 within %v at a limited rate", got, took)
	}
}

// TestConnections: a caller is connected to a listener, and not through a cut.
func TestConnections(t *testing.T) {
	var cut sync.Map
	m, err := New(2, 1, func(from, to int) Conditions {
		_, ok := cut.Load([2]int{from, to})
		return Conditions{Cut: ok}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	l, err := net.Listen("tcp4", m.Inside(1))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			fmt.Fprint(c, c.RemoteAddr().(*net.TCPAddr).IP)
			c.Close()
		}
	}()
	from := netip.MustParseAddrPort(m.Inside(0)).Addr()
	call := func() (string, error) {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
		c, err := d.Dial("tcp4", m.Outside(1))
		if err != nil {
			return "", err
		}
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(patience))
		text, err := io.ReadAll(c)
		return string(text), err
	}
	if got, err := call(); err != nil || got != netip.MustParseAddrPort(m.Outside(0)).Addr().String() {
		t.Errorf("got %q, error %v", got, err)
	}
	cut.Store([2]int{1, 0}, true)
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
	c, err := d.Dial("tcp4", m.Outside(1))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(make([]byte, 10)); n > 0 || err == nil {
		t.Errorf("%d bytes through a cut, error %v", n, err)
	}
}
