package processes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	responseTime      = 15 * time.Millisecond // of a backend without a fault
	faultPollInterval = responseTime          // between two checks whether an unresponsive backend's fault is over
	// extraBackends is the number of backends beyond those of the plan. No operator's call concerns them.
	extraBackends = 2
)

// backend is a server that sidecars forward requests to. The plan can make it respond late or not at all.
type backend struct {
	run   *fleetRun
	index int
}

func serverName(index int) string { return fmt.Sprint("s-", index) }

// startBackends starts all backends and returns their endpoint list for discovery, as JSON.
func (r *fleetRun) startBackends() (endpoints []byte, err error) {
	list := endpointList{Revision: 1, Complete: true}
	for i := range r.plan.Servers + extraBackends {
		address, err := r.serve(&backend{run: r, index: i})
		if err != nil {
			return nil, err
		}
		list.Targets = append(list.Targets, endpoint{
			UID: serverName(i), Address: address, Zone: "a", Model: "m", State: "SERVING", CapacityHint: 1,
		})
	}
	return json.Marshal(list)
}

// ServeHTTP responds to a request and records its arrival and, unless the backend is unresponsive, its end. The request
// id begins with the name of the sidecar that forwarded it.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sidecarName, _, _ := strings.Cut(r.Header.Get(requestIDHeader), "-")
	recorder, server := b.run.recorder, serverName(b.index)
	recorder.addSend(sidecarName, server)
	unresponsive, delay := b.condition()
	select {
	case <-time.After(responseTime + delay):
	case <-r.Context().Done():
		recorder.addEnd(sidecarName, server, false)
		return
	}
	if unresponsive {
		b.withholdResponse(r)
		return
	}
	recorder.addEnd(sidecarName, server, true)
	fmt.Fprint(w, "ok")
}

// withholdResponse waits until the client disconnects or the fault is over. In the latter case it closes the connection
// without a response.
func (b *backend) withholdResponse(r *http.Request) {
	for {
		select {
		case <-time.After(faultPollInterval):
		case <-r.Context().Done():
			return
		}
		if unresponsive, _ := b.condition(); !unresponsive {
			panic(http.ErrAbortHandler)
		}
	}
}

// condition returns the backend's fault at the current time of the plan: no response at all, or an added delay.
func (b *backend) condition() (unresponsive bool, delay time.Duration) {
	return b.run.plan.ServerCondition(b.run.clock.now(), b.index)
}
