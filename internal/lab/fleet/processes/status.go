package processes

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/checker"
)

// The phases, as named by the admin server, in which a sidecar guarantees that its copy of the fleet state is complete.
const (
	phaseSynced       = "whole"
	phaseBootstrapped = "fresh"
)

// fleetStatus is the part of the fleet status at a sidecar's admin server that the checker needs. It shares no type
// with the sidecar.
type fleetStatus struct {
	Phase       string            `json:"phase"`
	MembersHere int               `json:"members_here"`
	Sums        map[string]string `json:"sums"` // checksums by kind of row
	Servers     []struct {
		ID    string `json:"id"`
		Out   bool   `json:"out"`
		Calls []struct {
			ID  string `json:"id"`
			Out bool   `json:"out"`
		} `json:"calls"`
	} `json:"by_hand"`
	Suspicions []struct {
		ID        string  `json:"id"`
		Suspected bool    `json:"in_doubt"`
		Seconds   float64 `json:"for_s"`
		Listed    bool    `json:"listed"`
	} `json:"in_doubt"`
}

func (s *sidecar) fleetStatus() (status fleetStatus, ok bool) {
	response := s.callAdmin(http.MethodGet, fleetPath, "")
	if response.status != http.StatusOK {
		return status, false
	}
	return status, json.Unmarshal([]byte(response.body), &status) == nil
}

// pollStatus records the sidecar's status every PollInterval until the context ends.
func (s *sidecar) pollStatus(ctx context.Context) {
	ticker := time.NewTicker(s.run.options.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.observe()
		case <-ctx.Done():
			return
		}
	}
}

// observe records the sidecar's status and returns the checksum of its copy. It records nothing and returns "" if the
// sidecar is down, does not respond or is restarted meanwhile.
func (s *sidecar) observe() (sum string) {
	before, running := s.currentIncarnation()
	if !running {
		return ""
	}
	status, ok := s.fleetStatus()
	at := s.run.clock.now() // taken after the response: a suspended process responds with its state at resumption
	after, running := s.currentIncarnation()
	if !ok || !running || after != before {
		return ""
	}
	snapshot := status.toSnapshot()
	snapshot.At = at
	snapshot.Sidecar = s.name
	snapshot.Incarnation = before.number
	s.run.recorder.addSnapshot(before, snapshot)
	return snapshot.Checksum
}

// toSnapshot converts the status to the checker's type.
func (f fleetStatus) toSnapshot() checker.Snapshot {
	snapshot := checker.Snapshot{
		Ready:      f.Phase == phaseSynced || f.Phase == phaseBootstrapped,
		Checksum:   f.checksum(),
		Calls:      map[string][]checker.ActiveCall{},
		Suspicions: map[string]time.Duration{},
	}
	for _, server := range f.Servers {
		if server.Out {
			snapshot.AdminDown = append(snapshot.AdminDown, server.ID)
		}
		for _, call := range server.Calls {
			active := checker.ActiveCall{ID: callID(server.ID, call.ID), Down: call.Out}
			snapshot.Calls[server.ID] = append(snapshot.Calls[server.ID], active)
		}
	}
	for _, suspicion := range f.Suspicions {
		if suspicion.Suspected && suspicion.Listed {
			snapshot.Suspicions[suspicion.ID] = time.Duration(suspicion.Seconds * float64(time.Second))
		}
	}
	return snapshot
}

// checksum returns a string that is the same for equal copies.
func (f fleetStatus) checksum() string {
	parts := make([]string, 0, len(f.Sums))
	for kind, sum := range f.Sums {
		parts = append(parts, kind+" "+sum)
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
