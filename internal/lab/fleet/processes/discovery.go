package processes

import (
	"fmt"
	"net/http"
	"time"
)

// watchEventInterval is the time between two events of a watch.
const watchEventInterval = time.Second

// endpoint is a backend as discovery lists it.
type endpoint struct {
	UID          string `json:"uid"`
	Address      string `json:"endpoint"`
	Zone         string `json:"az"`
	Model        string `json:"model"`
	State        string `json:"state"`
	CapacityHint int    `json:"capacity_hint"`
}

// endpointList is a watch event with all endpoints.
type endpointList struct {
	Revision int        `json:"rev"`
	Complete bool       `json:"all"`
	Targets  []endpoint `json:"targets"`
}

// discovery is the server that sidecars watch. The list never changes.
type discovery struct {
	list []byte
}

// ServeHTTP repeats the list until the client goes.
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
