package deploy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// floods are requests that one client sends on one connection at full speed.
var floods = []struct {
	name    string
	request func(number int) string
}{
	{"health checks", func(int) string { return "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" }},
	{"requests under new ids", func(n int) string { return getHead(n, "", "") }},
	{"requests under long new ids", func(n int) string {
		return strings.Replace(getHead(n, "", ""), "X-Request-ID: ", "X-Request-ID: "+strings.Repeat("i", 12<<10), 1)
	}},
	{"requests of new classes", func(n int) string {
		return strings.Replace(getHead(n, "", ""), "Class: read", fmt.Sprint("Class: c", n), 1)
	}},
	{"new paths", func(n int) string { return fmt.Sprintf("GET /path%d HTTP/1.1\r\nHost: x\r\n\r\n", n) }},
	{"requests with bodies", func(n int) string { return postHead(n, 4) + "body" }},
	{"empty lines", func(int) string { return strings.Repeat("\r\n", 100) }},
	{"unsound requests behind one that waits", func(n int) string {
		if n == 0 {
			return getHead(n, "late", "")
		}
		return "\x00\x01unsound\r\n\r\n"
	}},
	{"requests behind one that waits", func(n int) string {
		if n == 0 {
			return getHead(n, "late", "")
		}
		return getHead(n, "", "")
	}},
}

// TestFloodOnOneConnectionDelaysNoOthers guards against a client that sends at full speed on one connection, and keeps
// others from being answered in time or makes memory grow.
func TestFloodOnOneConnectionDelaysNoOthers(t *testing.T) {
	for _, flood := range floods {
		t.Run(flood.name, func(t *testing.T) { expectAnswersBesideFlood(t, flood.request) })
	}
}

// expectAnswersBesideFlood floods the program on one connection, which is opened again whenever it ends, and sends short
// requests beside it.
func expectAnswersBesideFlood(t *testing.T, request func(number int) string) {
	t.Helper()
	const duration = 4 * time.Second
	s := newSite(t, leastMemoryMB, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Query().Get("k") == "late" {
			time.Sleep(duration)
		}
		fmt.Fprint(w, "ok")
	})
	p := s.start()
	stop, ended := make(chan struct{}), make(chan int, 1)
	go func() { ended <- flood(s.listen, request, stop) }()
	answered := s.answerShortRequests(duration)
	_, peak, descriptors := p.holds()
	close(stop)
	t.Logf("%d requests sent, %d kB at most, %d descriptors; %d short requests answered, the slowest after %v", <-ended, peak,
		descriptors, answered.count, answered.slowest)
	if peak > leastMemoryMB<<10 {
		t.Errorf("%d kB were held of %d MB", peak, leastMemoryMB)
	}
	if answered.late > 0 || answered.slowest > shortTimeout {
		t.Errorf("short requests: %+v", answered)
	}
}

// flood sends requests until stop, and returns their number.
func flood(address string, request func(number int) string, stop <-chan struct{}) (sent int) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return sent
		}
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
		for err == nil {
			select {
			case <-stop:
				conn.Close()
				return sent
			default:
			}
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
			var batch bytes.Buffer
			for batch.Len() < 16<<10 {
				batch.WriteString(request(sent))
				sent++
			}
			_, err = conn.Write(batch.Bytes())
			if os.IsTimeout(err) {
				err = nil // the program does not read
			}
		}
		conn.Close()
	}
}
