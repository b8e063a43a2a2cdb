package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/wallclock"
)

// defaultWeight is the weight of an endpoint whose entry has no capacity_hint.
const defaultWeight = 1

// Endpoint is one server in an endpoint list.
type Endpoint struct {
	ID        string
	Address   string // host and port
	Zone      string
	Kind      string
	PodGroup  int
	State     balance.State
	Weight    float64
	StartedAt time.Time // last start as reported by discovery, wall-clock time; zero: not reported, long ago
}

// List is one message of a watch. It contains all servers or only those that changed.
type List struct {
	Revision  int64
	Complete  bool // a server that is not in Endpoints was removed
	Endpoints []Endpoint
}

// listJSON is the wire format of a List. encoding/json decodes keys that match exactly faster than keys that differ in
// case.
type listJSON struct {
	Rev     *int64      `json:"rev"`
	All     bool        `json:"all"`
	Targets []entryJSON `json:"targets"`
}

// entryJSON is the wire format of an Endpoint.
type entryJSON struct {
	UID          string   `json:"uid"`
	Endpoint     string   `json:"endpoint"`
	AZ           string   `json:"az"`
	Model        string   `json:"model"`
	PodGroup     int      `json:"pod_group"`
	State        string   `json:"state"`
	CapacityHint *float64 `json:"capacity_hint"`
	BootMS       int64    `json:"boot_ms"` // start time in milliseconds since 1970; 0: long ago
}

// ParseList parses one list in discovery's JSON format. It rejects the complete list if one entry is invalid.
func ParseList(text []byte) (List, error) {
	var decoded listJSON
	if err := json.Unmarshal(text, &decoded); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if decoded.Rev == nil {
		return List{}, errors.New("list has no rev")
	}
	list := List{Revision: *decoded.Rev, Complete: decoded.All}
	for i := range decoded.Targets {
		endpoint, err := decoded.Targets[i].parse(i)
		if err != nil {
			return List{}, err
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// parse validates an entry and converts it to an Endpoint. index is the position of the entry in the list.
func (e *entryJSON) parse(index int) (Endpoint, error) {
	state, err := parseState(e.State)
	if err != nil {
		return Endpoint{}, fmt.Errorf("target %d, %q: %w", index, e.UID, err)
	}
	if e.UID == "" {
		return Endpoint{}, fmt.Errorf("target %d has no uid", index)
	}
	if _, _, err := net.SplitHostPort(e.Endpoint); err != nil && state != balance.Removed {
		return Endpoint{}, fmt.Errorf("target %d, %q: endpoint: %w", index, e.UID, err)
	}
	endpoint := Endpoint{
		ID:       e.UID,
		Address:  e.Endpoint,
		Zone:     e.AZ,
		Kind:     e.Model,
		PodGroup: e.PodGroup,
		State:    state,
		Weight:   defaultWeight,
	}
	if e.CapacityHint != nil {
		endpoint.Weight = *e.CapacityHint
	}
	if endpoint.Weight < 0 {
		return Endpoint{}, fmt.Errorf("target %d, %q: capacity_hint %v is negative", index, e.UID, endpoint.Weight)
	}
	if e.BootMS > 0 {
		endpoint.StartedAt = wallclock.FromMilliseconds(e.BootMS)
	}
	return endpoint, nil
}

// parseState converts the state name of an entry.
func parseState(name string) (balance.State, error) {
	switch name {
	case "SERVING":
		return balance.Ready, nil
	case "DRAINING":
		return balance.Draining, nil
	case "DELETED":
		return balance.Removed, nil
	}
	return 0, fmt.Errorf("unknown state %q", name)
}
