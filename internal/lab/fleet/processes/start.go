package processes

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// startAll starts backends, discovery and sidecars, and waits until the fleet is ready.
func (r *fleetRun) startAll() error {
	endpoints, err := r.startBackends()
	if err != nil {
		return err
	}
	discoveryAddress, err := r.serve(&discovery{list: endpoints})
	if err != nil {
		return err
	}
	if err := r.writeFleetFile(); err != nil {
		return err
	}
	for i := range r.plan.Sidecars {
		s, err := r.newSidecar(i)
		if err != nil {
			return err
		}
		if err := s.writeConfigFile(discoveryAddress, endpoints); err != nil {
			return err
		}
		r.sidecars = append(r.sidecars, s)
	}
	for _, s := range r.sidecars {
		if err := s.start(); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// awaitReady waits until each sidecar is ready and has all others in its member list.
func (r *fleetRun) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for {
		var missing []string
		for _, s := range r.sidecars {
			if detail, ready := s.checkReady(); !ready {
				missing = append(missing, detail)
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return &StartError{Details: append(missing, r.recorder.allFailures()...)}
		}
		time.Sleep(startPollInterval)
	}
}

// checkReady reports whether the sidecar is ready and has all others in its member list. Otherwise detail describes its
// state.
func (s *sidecar) checkReady() (detail string, ready bool) {
	status, ok := s.fleetStatus()
	readiness := s.callAdmin(http.MethodGet, readinessPath, "")
	if ok && status.MembersHere == s.run.plan.Sidecars && readiness.status == http.StatusOK {
		return "", true
	}
	return fmt.Sprintf("%s: fleet status received: %v, phase %s, %d members, readiness %d %s", s.name, ok, status.Phase,
		status.MembersHere, readiness.status, strings.TrimSpace(readiness.body)), false
}
