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

// TestChunkedBodyOverLimitGets413 checks that a request body without a declared length is refused once it exceeds
// MaxRequestBody, and that no server receives any of it.
func TestChunkedBodyOverLimitGets413(t *testing.T) {
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
		_, _ = io.WriteString(conn, "0\r\n\r\n") // ends the body, so that the test gets a response if the body is not refused
	}()
	if status, body := readResponse(t, conn); status != http.StatusRequestEntityTooLarge || body != "body too large" {
		t.Errorf("status %d, %q, want 413 and the body limit", status, body)
	}
	conn.Close()
	sender.Wait()
	if n := p.backend.RequestCount(); n != 0 {
		t.Errorf("the server received %d requests, want 0", n)
	}
}

// sendBody sends a request with a body of size bytes on a new connection and reads the response.
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

// TestShortBodiesCountInPool guards against many bodies of up to 64 KiB that exhaust the memory: what exceeds the first
// few KiB is reserved in the pool, and released with the body. A body whose client has announced it but sent only a part
// holds no more than that part needs.
func TestShortBodiesCountInPool(t *testing.T) {
	pool := &bufferPool{maxBuffers: 1}
	first := newRequestBody(pool, upstream.MaxBufferedBody-1)
	if err := first.ensureSpace(); err != nil || cap(first.buffers[0]) > initialBodyBuffer || pool.reservedBytes != 0 {
		t.Fatalf("error %v, %d bytes held and %d reserved before any was read", err, cap(first.buffers[0]), pool.reservedBytes)
	}
	fill := func(b *requestBody) *httpError {
		b.buffers[0] = b.buffers[0][:cap(b.buffers[0])]
		return b.ensureSpace()
	}
	if err := fill(first); err != nil || pool.reservedBytes != upstream.MaxBufferedBody {
		t.Fatalf("error %v, %d bytes reserved", err, pool.reservedBytes)
	}
	second := newRequestBody(pool, 2*initialBodyBuffer)
	if err := fill(second); err != errBodiesTooLarge {
		t.Errorf("error %v for a body without memory, want errBodiesTooLarge", err)
	}
	second.release()
	first.release()
	if pool.reservedBytes != 0 {
		t.Errorf("%d bytes are reserved after the release", pool.reservedBytes)
	}
	if err := fill(newRequestBody(pool, 2*initialBodyBuffer)); err != nil {
		t.Errorf("error %v with free memory", err)
	}
}

// TestLargeBodyWithoutBuffersGets503 checks that a body larger than one buffer is refused, and its request counted as
// rejected, while all buffers are reserved. A short body is accepted. Once buffers are free again, a large body is
// accepted too.
func TestLargeBodyWithoutBuffersGets503(t *testing.T) {
	const large = 2 * upstream.MaxBufferedBody
	p := startTestProxy(t, testserver.Respond(200, "", "ok"))
	buffers := p.handler.bodyBuffers
	if !buffers.reserve(buffers.maxBuffers) {
		t.Fatal("buffers are reserved before the test")
	}
	status, body := p.sendBody("large-1", large)
	if status != http.StatusServiceUnavailable || body != "refused: too many large bodies at once" {
		t.Errorf("large body without free buffers: status %d, %q, want 503", status, body)
	}
	var counters strings.Builder
	if err := p.loop.Metrics().Write(&counters, metrics.Gauges{}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(counters.String(), "sidecar.dropped.pay=1\n") {
		t.Errorf("counters\n%swant sidecar.dropped.pay=1", counters.String())
	}
	if status, body := p.sendBody("short-1", 4); status != http.StatusOK {
		t.Errorf("short body: status %d, %q, want 200", status, body)
	}
	buffers.mu.Lock()
	reserved := buffers.reserved
	buffers.mu.Unlock()
	if reserved != buffers.maxBuffers {
		t.Errorf("%d buffers are reserved after the requests, want %d", reserved, buffers.maxBuffers)
	}
	buffers.release(buffers.maxBuffers, nil)
	if status, body := p.sendBody("large-2", large); status != http.StatusOK {
		t.Errorf("large body with free buffers: status %d, %q, want 200", status, body)
	}
	if n := p.backend.RequestCount(); n != 2 {
		t.Errorf("the server received %d requests, want 2", n)
	}
}
