package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// sendChunksForever is a handler that sends a chunk now and then, until the peer closes the connection.
func sendChunksForever(conn net.Conn, _ *http.Request, _ []byte) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for err == nil {
		_, err = io.WriteString(conn, "4\r\nbag \r\n")
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// TestOverdueResponseReleasesAll checks what a response leaves behind that was ended because its server had not given it
// in time: one failed request, nothing in flight, no connection to the server, and a line in the log with the class and
// the reason.
func TestOverdueResponseReleasesAll(t *testing.T) {
	log := &lockedBuffer{}
	p := startTestProxyWithLog(t, sendChunksForever, slog.New(slog.NewTextHandler(log, nil)))
	resp, err := p.HTTP.Do(p.NewRequest(context.Background(), "book", "300"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("status %d, error %v, want an incomplete response", resp.StatusCode, err)
	}
	testserver.Eventually(t, func() string {
		counters := p.loop.metrics.Class("book")
		served, failed := counters.Served.Load(), counters.Failed.Load()
		open, _ := p.loop.upstream.ConnCounts()
		if served != 0 || failed != 1 || p.handler.InFlight() != 0 || open != 0 {
			return fmt.Sprintf("%d served, %d failed, %d in flight, %d connections to the server, want 1 failed",
				served, failed, p.handler.InFlight(), open)
		}
		return ""
	})
	if text := log.String(); !strings.Contains(text, "class=book") || !strings.Contains(text, errOverdue.Error()) {
		t.Errorf("log without class and reason:\n%s", text)
	}
}
