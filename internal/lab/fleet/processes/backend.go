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
	faultPollInterval = responseTime          // until a backend without a response looks whether its fault is over
	// extraBackends are further backends that no operator's call concerns.
	extraBackends = 2
)

// backend is a server that sidecars forward requests to. The plan may have it respond late or not at all.
type backend struct {
	run   *fleetRun
	index int
}

func serverName(index int) string { return fmt.Sprint("s-", index) }

// startBackends starts all backends and returns the list of them for discovery.
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

// ServeHTTP responds to a request, whose id begins with its sidecar's name.
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

// withholdResponse waits until the client goes or the fault is over. In the latter case it closes the connection.
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

// condition is what the plan has the backend do now.
func (b *backend) condition() (unresponsive bool, delay time.Duration) {
	return b.run.plan.ServerCondition(b.run.clock.now(), b.index)
}
