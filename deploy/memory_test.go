package deploy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// The least memory and the most descriptors that the platform gives a sidecar.
const (
	leastMemoryMB   = 32
	mostDescriptors = 1024
)

// setDescriptors sets the number of descriptors of processes that are started later.
func (s *site) setDescriptors(count int) {
	s.t.Helper()
	text, err := os.ReadFile(s.file)
	if err != nil {
		s.t.Fatal(err)
	}
	text = bytes.Replace(text, []byte(`"sockets":256`), fmt.Appendf(nil, `"sockets":%d`, count), 1)
	if err := os.WriteFile(s.file, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// memoryLoad is a way in which clients may make a sidecar hold memory for as long as they stay connected.
type memoryLoad struct {
	name   string
	client func(c net.Conn, number int, stop <-chan struct{})
}

// writeSlowly writes data in pieces of 4 KiB, at 64 kB a second, until stop.
func writeSlowly(c net.Conn, data []byte, stop <-chan struct{}) {
	const piece, pause = 4 << 10, 64 * time.Millisecond
	for len(data) > 0 {
		n, err := c.Write(data[:min(piece, len(data))])
		if err != nil {
			return
		}
		data = data[n:]
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// postHead is the head of a request with a body of a length.
func postHead(number, length int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: m%d\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 15000\r\n"+
		"Content-Length: %d\r\n\r\n", number, length)
}

// getHead is a request for a long answer, with further header fields.
func getHead(number int, key, fields string) string {
	return fmt.Sprintf("GET /api?k=%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: m%d\r\nX-Priority-Class: read\r\n"+
		"X-Timeout-Ms: 15000\r\n%s\r\n", key, number, fields)
}

// shortFields are as many header fields as fit into a head of 15 KB.
func shortFields() string {
	var fields strings.Builder
	for n := 0; fields.Len() < 15<<10; n++ {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	return fields.String()
}

var memoryLoads = []memoryLoad{
	{"slow bodies", func(c net.Conn, number int, stop <-chan struct{}) {
		const length = 1 << 20
		_, _ = io.WriteString(c, postHead(number, length))
		writeSlowly(c, make([]byte, length), stop)
	}},
	{"half of a body", func(c net.Conn, number int, _ <-chan struct{}) {
		const length = 1 << 20
		_, _ = io.WriteString(c, postHead(number, length))
		_, _ = c.Write(make([]byte, length/2))
	}},
	{"half of a short body", func(c net.Conn, number int, _ <-chan struct{}) {
		const length = 64 << 10
		_, _ = io.WriteString(c, postHead(number, length))
		_, _ = c.Write(make([]byte, length/2))
	}},
	{"bodies for servers that read slowly", func(c net.Conn, number int, _ <-chan struct{}) {
		const length = 1 << 20
		_, _ = io.WriteString(c, strings.Replace(postHead(number, length), "/api", "/api?k=slow", 1))
		_, _ = c.Write(make([]byte, length))
	}},
	{"whole short bodies", func(c net.Conn, number int, _ <-chan struct{}) {
		const length = 64 << 10
		_, _ = io.WriteString(c, strings.Replace(postHead(number, length), "/api", "/api?k=late", 1))
		_, _ = c.Write(make([]byte, length))
	}},
	{"many short fields", func(c net.Conn, number int, _ <-chan struct{}) {
		_, _ = io.WriteString(c, getHead(number, "late", shortFields()))
	}},
	{"many short fields without an end", func(c net.Conn, number int, _ <-chan struct{}) {
		_, _ = io.WriteString(c, strings.TrimSuffix(getHead(number, "late", shortFields()), "\r\n"))
	}},
	{"slow readers", func(c net.Conn, number int, stop <-chan struct{}) {
		_, _ = io.WriteString(c, getHead(number, "long", ""))
		buffer := make([]byte, 4<<10)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(64 * time.Millisecond):
			}
		}
	}},
	{"readers that stop", func(c net.Conn, number int, _ <-chan struct{}) {
		_, _ = io.WriteString(c, getHead(number, "long", ""))
	}},
	{"answers without an end, to their deadline", func(c net.Conn, number int, _ <-chan struct{}) {
		_, _ = io.WriteString(c, strings.Replace(getHead(number, "trickle", ""), "15000", "1500", 1))
		_, _ = io.Copy(io.Discard, c)
	}},
	{"answers over 64 KiB that trickle", func(c net.Conn, number int, _ <-chan struct{}) {
		_, _ = io.WriteString(c, strings.Replace(getHead(number, "long-trickle", ""), "15000", "1500", 1))
		_, _ = io.Copy(io.Discard, c)
	}},
	{"answers over 64 KiB that trickle, to readers that stop", func(c net.Conn, number int, _ <-chan struct{}) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(c, strings.Replace(getHead(number, "long-trickle", ""), "15000", "1500", 1))
	}},
}

// trickle sends a piece of an answer now and then, until its client has gone.
func trickle(w http.ResponseWriter, r *http.Request) {
	const pause = 100 * time.Millisecond
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, "bag ")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
	}
}

// TestMemoryUnderConnectedClients guards against a process that passes its memory limit, and is killed, because hundreds
// of clients are connected at once that write slowly, stop, send heads of many fields, read slowly or get answers without
// an end. Other requests are answered meanwhile.
func TestMemoryUnderConnectedClients(t *testing.T) {
	const duration = 4 * time.Second
	for _, load := range memoryLoads {
		t.Run(load.name, func(t *testing.T) { expectMemoryWithinLimit(t, load, duration) })
	}
}

// expectMemoryWithinLimit has clients connect at once, as many as the process accepts and more, and looks at its memory.
func expectMemoryWithinLimit(t *testing.T, load memoryLoad, duration time.Duration) {
	t.Helper()
	long := bytes.Repeat([]byte("x"), 64<<10)
	s := newSite(t, leastMemoryMB, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("k") == "slow" {
			time.Sleep(duration)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.URL.Query().Get("k") {
		case "late":
			time.Sleep(duration)
		case "long":
			for range 64 {
				if _, err := w.Write(long); err != nil {
					return
				}
			}
		case "long-trickle":
			_, _ = w.Write(long)
			trickle(w, r)
		case "trickle":
			trickle(w, r)
		}
		fmt.Fprint(w, "ok")
	})
	s.setDescriptors(mostDescriptors)
	p := s.start()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for number := range mostDescriptors / 2 {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		clients.Add(1)
		go func() {
			defer clients.Done()
			load.client(c, number, stop)
		}()
	}
	answered := s.answerShortRequests(duration)
	kB, peak, descriptors := p.holds()
	close(stop)
	if peak > leastMemoryMB<<10 {
		t.Errorf("%d kB were held of %d MB", peak, leastMemoryMB)
	}
	t.Logf("%d kB at most, %d kB and %d descriptors at the end, %d short requests answered, the slowest after %v", peak, kB,
		descriptors, answered.count, answered.slowest)
	if answered.late > 0 {
		t.Errorf("%d short requests were answered more than %v late", answered.late, lateAnswer)
	}
}

const (
	// lateAnswer is the time after a client's timeout from which on its request is lost.
	lateAnswer = 500 * time.Millisecond
	// shortTimeout is the timeout of a short request.
	shortTimeout = 1500 * time.Millisecond
	// shortInterval is the time between two short requests.
	shortInterval = 100 * time.Millisecond
)

// answers counts the final answers to short requests.
type answers struct {
	count, late int
	slowest     time.Duration
}

// answerShortRequests sends short requests one after another, each on a new connection, for a time.
func (s *site) answerShortRequests(duration time.Duration) (got answers) {
	s.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * duration}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(shortInterval) {
		r, err := http.NewRequest("GET", "http://"+s.listen+"/api", nil)
		if err != nil {
			s.t.Fatal(err)
		}
		r.Header = http.Header{"X-Request-Id": {fmt.Sprint("short", got.count)}, "X-Priority-Class": {"read"},
			"X-Timeout-Ms": {fmt.Sprint(shortTimeout.Milliseconds())}}
		began := time.Now()
		resp, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil {
			s.t.Errorf("short request %d: %v", got.count, err)
		}
		took := time.Since(began)
		got.slowest = max(got.slowest, took)
		got.count++
		if took > shortTimeout+lateAnswer {
			got.late++
		}
	}
	return got
}
