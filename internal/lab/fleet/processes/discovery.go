package processes

import (
	"fmt"
	"net/http"
	"time"
)

// watchEventInterval is the time between two watch events.
const watchEventInterval = time.Second

// endpoint is a backend's entry in the endpoint list.
type endpoint struct {
	UID          string `json:"uid"`
	Address      string `json:"endpoint"`
	Zone         string `json:"az"`
	Model        string `json:"model"`
	State        string `json:"state"`
	CapacityHint int    `json:"capacity_hint"`
}

// endpointList is a watch event that contains all endpoints.
type endpointList struct {
	Revision int        `json:"rev"`
	Complete bool       `json:"all"`
	Targets  []endpoint `json:"targets"`
}

// discovery is the HTTP server that sidecars watch. Its endpoint list never changes.
type discovery struct {
	list []byte
}

// ServeHTTP sends the endpoint list every watchEventInterval until the client disconnects.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for {
		fmt.Fprintf(w, "%s\n", d.list)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(watchEventInterval):
		case <-r.Context().Done():
			return
		}
	}
}
