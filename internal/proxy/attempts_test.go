//go:build go1.25

package proxy

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestCancelSparesBegunResponse guards against a sound response that is cut off in favor of a second attempt: an attempt
// whose response has begun is cancelled only once the request has its final response.
func TestCancelSparesBegunResponse(t *testing.T) {
	for _, begun := range []bool{false, true} {
		for _, completed := range []bool{false, true} {
			t.Run(fmt.Sprintf("begun %v, completed %v", begun, completed), func(t *testing.T) {
				loop := newTestLoop(context.Background(), t, &testserver.Backend{Address: silentAddress})
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				control := attemptControl{cancel: cancel, responseBegun: &atomic.Bool{}}
				control.responseBegun.Store(begun)
				request := &inflightRequest{attempts: []attemptControl{control}}
				request.completed.Store(completed)
				loop.inflight[1] = request
				loop.Cancel(1, 0)
				if cancelled := ctx.Err() != nil; cancelled != (completed || !begun) {
					t.Errorf("cancelled %v", cancelled)
				}
			})
		}
	}
}

// TestBegunResponseIsRecorded checks that an attempt is marked when the first byte of its response has arrived.
func TestBegunResponseIsRecorded(t *testing.T) {
	const stalledHead = "HTTP/1.1 200 OK\r\nContent-Le"
	for _, text := range []string{"", stalledHead} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			runSimulation(t, testserver.Settings, func(sim *simulation) {
				sim.respond = respondAlways(text)
				response := sim.send("pay", time.Minute, nil)
				<-sim.arrivals
				time.Sleep(time.Second) // simulated clock
				begun := make(chan bool, 1)
				sim.loop.Post(func() { begun <- sim.loop.inflight[1].attempts[0].responseBegun.Load() })
				if got := <-begun; got != (text != "") {
					t.Errorf("response begun: %v", got)
				}
				<-response
			})
		})
	}
}
