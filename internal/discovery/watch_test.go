//go:build go1.25

package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestWatchAcceptsListsInAnyForm checks that lists are accepted if they are indented, arrive in pieces, have no line
// end or arrive together with other lists.
func TestWatchAcceptsListsInAnyForm(t *testing.T) {
	var indented bytes.Buffer
	serving := testserver.ServingList(2, &testserver.Backend{Address: "127.0.0.1:9"})
	if err := json.Indent(&indented, []byte(serving), "\t", "  "); err != nil {
		t.Fatal(err)
	}
	draining := testserver.EndpointEntry("s-{\"[", "127.0.0.1:9", "DRAINING", 0)
	plain := testserver.ListText(3, false) + testserver.ListText(4, false, draining)
	for _, size := range []int{1, 7, 1 << 20} {
		synctest.Test(t, func(t *testing.T) {
			remaining := "HTTP/1.1 200 OK\r\n\r\n\n" + indented.String() + plain
			var pieces []string
			for len(remaining) > 0 {
				n := min(size, len(remaining))
				pieces = append(pieces, remaining[:n])
				remaining = remaining[n:]
			}
			client := NewClient("127.0.0.1:9", 0, dialScripted(time.Millisecond, pieces...))
			var revisions []int64
			onUpdate := func(list List) { revisions = append(revisions, list.Revision) }
			err := client.Watch(context.Background(), 1, onUpdate, func() {})
			if fmt.Sprint(revisions) != "[2 3 4]" || !errors.Is(err, errWatchTimeout) {
				t.Errorf("pieces of %d bytes: revisions %v, error %v; want [2 3 4] and a timeout", size, revisions, err)
			}
		})
	}
}

// TestWatchEndsOnListWithoutEnd checks that bytes of a list that does not end do not keep the watch open, and that a
// list must not exceed maxListBytes.
func TestWatchEndsOnListWithoutEnd(t *testing.T) {
	slowUnterminated := []string{"HTTP/1.1 200 OK\r\n\r\n", `{"rev":1,"targets":[`}
	for range 100 {
		slowUnterminated = append(slowUnterminated, " ")
	}
	oversized := []string{"HTTP/1.1 200 OK\r\n\r\n", `{"rev":1,"targets":[`, strings.Repeat(" ", maxListBytes)}
	for _, tt := range []struct {
		name   string
		pieces []string
		want   error
	}{{"slow list without end", slowUnterminated, errWatchTimeout}, {"oversized list", oversized, bufio.ErrTooLong}} {
		synctest.Test(t, func(t *testing.T) {
			client := NewClient("127.0.0.1:9", 0, dialScripted(time.Second, tt.pieces...))
			startedAt := time.Now()
			onUpdate := func(list List) { t.Errorf("%s: unexpected list %+v", tt.name, list) }
			err := client.Watch(context.Background(), 1, onUpdate, func() {})
			elapsed := time.Since(startedAt)
			if !errors.Is(err, tt.want) || elapsed > 2*time.Second+listTimeout+watchSilenceTimeout {
				t.Errorf("%s: error %v after %v, want %v", tt.name, err, elapsed, tt.want)
			}
		})
	}
}

// TestWatchEndsWhenDiscoveryIsUnresponsive opens a watch on which no data arrives. The watch must end with a timeout.
func TestWatchEndsWhenDiscoveryIsUnresponsive(t *testing.T) {
	client := NewClient(testserver.StartDiscovery(t).Address, testserver.Timeout, nil)
	client.silenceTimeout = 50 * time.Millisecond
	err := client.Watch(context.Background(), -1, func(List) { t.Error("unexpected list") }, func() {})
	if err == nil || !strings.Contains(err.Error(), "watch timed out: no data received for 50ms") {
		t.Errorf("error %v, want a timeout after 50ms", err)
	}
}

// TestWatchReportsHeartbeats checks which reads count as heartbeats: those of only white space, outside a list, after a
// list has arrived or with a known revision.
func TestWatchReportsHeartbeats(t *testing.T) {
	first := testserver.ListText(2, true)
	const firstHalf, secondHalf = `{"rev":3,"targets":`, "[]}\n"
	for _, tt := range []struct {
		name     string
		revision int64
		pieces   []string
		want     int
	}{
		{"with a known revision", 1, []string{"\n", "\n"}, 2},
		{"before the first list", completeListRevision, []string{"\n", first, "\n"}, 1},
		{"together with a list", 1, []string{"\n" + first + "\n"}, 0},
		{"within a list", 1, []string{firstHalf, "\n", secondHalf, "\n"}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pieces := append([]string{"HTTP/1.1 200 OK\r\n\r\n"}, tt.pieces...)
				client := NewClient("127.0.0.1:9", 0, dialScripted(time.Millisecond, pieces...))
				got := 0
				err := client.Watch(context.Background(), tt.revision, func(List) {}, func() { got++ })
				if got != tt.want || !errors.Is(err, errWatchTimeout) && !errors.Is(err, io.EOF) {
					t.Errorf("%d heartbeats, want %d, error %v", got, tt.want, err)
				}
			})
		})
	}
}

// TestWatchFailsOnNonOKStatus checks that a response with a status other than 200 ends the watch with an error that
// contains the status, and that no list is read from the body.
func TestWatchFailsOnNonOKStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(testserver.ListText(1, true)))
	}))
	defer server.Close()
	client := NewClient(server.Listener.Addr().String(), testserver.Timeout, nil)
	client.firstListTimeout = testserver.Timeout
	client.silenceTimeout = testserver.Timeout
	onUpdate := func(list List) { t.Errorf("unexpected list %+v", list) }
	err := client.Watch(context.Background(), completeListRevision, onUpdate, func() {})
	if err == nil || !strings.Contains(err.Error(), "status 503") {
		t.Errorf("error %v, want one that contains status 503", err)
	}
}
