package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/metrics"
	"milletramp.example/milletramp/internal/upstream"
)

// TestChunkedBodyBeyondTheLimitGets413: a request body without a declared length is refused once more than
// MaxRequestBody of it has come, and no server gets any of it.
func TestChunkedBodyBeyondTheLimitGets413(t *testing.T) {
	p := startTestProxy(t, testserver.Respond(200, "", "ok"))
	conn := p.DialConn()
	head := testserver.RequestHead("POST", "chunked-1", "pay") + "Transfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	var sender sync.WaitGroup
	sender.Add(1)
	go func() {
		defer sender.Done()
		const size = upstream.MaxBufferedBody
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		for range MaxRequestBody/size + 4 {
			if _, err := io.WriteString(conn, chunk); err != nil {
				return // refused
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n") // so that a body that is not refused gets a response
	}()
	if status, body := readResponse(t, conn); status != http.StatusRequestEntityTooLarge || body != "body too large" {
		t.Errorf("status %d, %q", status, body)
	}
	conn.Close()
	sender.Wait()
	if n := p.backend.RequestCount(); n != 0 {
		t.Errorf("%d requests at the server", n)
	}
}

// sendBody sends a request with a body of this size on a connection of its own, and reads the response.
func (p *testProxy) sendBody(id string, size int) (status int, body string) {
	p.T.Helper()
	conn := p.DialConn()
	head := testserver.RequestHead("POST", id, "pay")
	request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, strings.Repeat("x", size))
	if _, err := io.WriteString(conn, request); err != nil {
		p.T.Fatal(err)
	}
	return readResponse(p.T, conn)
}

// TestLargeBodyWithoutBuffersGets503: a body longer than a buffer is refused, and its request counted as rejected,
// while other bodies hold all buffers; a short one is not. Once there are buffers again it is served.
func TestLargeBodyWithoutBuffersGets503(t *testing.T) {
	const large = 2 * upstream.MaxBufferedBody
	p := startTestProxy(t, testserver.Respond(200, "", "ok"))
	buffers := p.handler.bodyBuffers
	if !buffers.reserve(buffers.maxBuffers) {
		t.Fatal("buffers are in use at the start")
	}
	status, body := p.sendBody("large-1", large)
	if status != http.StatusServiceUnavailable || body != "refused: too many large bodies at once" {
		t.Errorf("status %d, %q without buffers", status, body)
	}
	var counters strings.Builder
	if err := p.loop.Metrics().Write(&counters, metrics.Gauges{}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(counters.String(), "sidecar.dropped.pay=1\n") {
		t.Errorf("counters\n%swant sidecar.dropped.pay=1", counters.String())
	}
	if status, body := p.sendBody("short-1", 4); status != http.StatusOK {
		t.Errorf("status %d, %q to a short body", status, body)
	}
	buffers.mu.Lock()
	reserved := buffers.reserved
	buffers.mu.Unlock()
	if reserved != buffers.maxBuffers {
		t.Errorf("%d buffers are reserved, want the %d that were before", reserved, buffers.maxBuffers)
	}
	buffers.release(buffers.maxBuffers, nil)
	if status, body := p.sendBody("large-2", large); status != http.StatusOK {
		t.Errorf("status %d, %q with buffers", status, body)
	}
	if n := p.backend.RequestCount(); n != 2 {
		t.Errorf("%d requests at the server, want 2", n)
	}
}
