package standin

import (
	"slices"

	"milletramp.example/milletramp/internal/lab/record"
)

// The platform's words for the states of a server.
const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
	stateDeleted  = "DELETED"
)

// States are the platform's words for the states of a server.
var States = map[record.State]string{
	record.Serving:  stateServing,
	record.Draining: stateDraining,
	record.Gone:     stateDeleted,
}

// Entry is one server of discovery's list, in the platform's format.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is one message of discovery: all servers, or those that have changed.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// applyChange returns the entries after one of them has changed, in the order in which servers were added.
func applyChange(entries []Entry, changed Entry) []Entry {
	position := slices.IndexFunc(entries, func(e Entry) bool { return e.UID == changed.UID })
	switch {
	case position < 0 && changed.State == stateDeleted:
		return entries
	case position < 0:
		return append(entries, changed)
	case changed.State == stateDeleted:
		return append(entries[:position], entries[position+1:]...)
	default:
		entries[position] = changed
		return entries
	}
}
