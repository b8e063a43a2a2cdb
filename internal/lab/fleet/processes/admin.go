package processes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// adminTimeout is the time limit of a call to an admin server. Another test checks for a response within 1 s, on a
	// machine where nothing else runs.
	adminTimeout = 5 * time.Second
	// operatorRetries is the maximum number of times an operator repeats a call that no other sidecar has confirmed.
	operatorRetries = 3

	readinessPath     = "/ops/readiness"
	fleetPath         = "/ops/fleet"
	serverDownPath    = "/ops/servers/down"
	serverUpPath      = "/ops/servers/up"
	policyStatusPath  = "/ops/policy/status"
	policyProposePath = "/ops/policy/propose"
	policyOutcomePath = "/ops/policy/outcome"

	// unconfirmedText is part of the response to an operator's call that no other sidecar has confirmed
	// (docs/fleet.md).
	unconfirmedText = "it holds here, and the fleet may not know"
)

// adminResponse is the response of an admin server.
type adminResponse struct {
	status int // HTTP status; 0 if there was no response
	body   string
}

// callAdmin sends a request to an admin server and returns its response. On any error the status is 0.
func callAdmin(address, method, path, body string) (response adminResponse) {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return adminResponse{}
	}
	raw, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return adminResponse{}
	}
	defer raw.Body.Close()
	text, err := io.ReadAll(raw.Body)
	if err != nil {
		return adminResponse{}
	}
	return adminResponse{status: raw.StatusCode, body: string(text)}
}

// callAdmin sends a request to the admin server of the sidecar's current process.
func (s *sidecar) callAdmin(method, path, body string) adminResponse {
	return callAdmin(s.adminAddresses[s.currentSlot()], method, path, body)
}

// setAdminDown sets a server administratively down or up through this sidecar's admin server, as an operator does. It
// records a failure if the call fails, unless the sidecar is expected to be down (see expectedDown).
func (s *sidecar) setAdminDown(server string, down bool) {
	path := serverUpPath
	if down {
		path = serverDownPath
	}
	body := fmt.Sprintf(`{"target":%q}`, server)
	started, slot := s.run.clock.now(), s.currentSlot()
	response := s.callAdmin(http.MethodPost, path, body)
	if response.status == 0 && s.currentSlot() != slot { // an upgrade ended the process: call its successor
		response = s.callAdmin(http.MethodPost, path, body)
	}
	for range operatorRetries {
		if !response.isUnconfirmed() {
			break
		}
		response = s.callAdmin(http.MethodPost, path, body)
	}
	if response.status != http.StatusOK && !s.expectedDown(started-adminTimeout, s.run.clock.now()) {
		s.run.recorder.addFailure("%s: operator's call on server %s failed: status %d, body %q",
			s.name, server, response.status, response.body)
	}
}

// isUnconfirmed reports whether the sidecar accepted the call but no other sidecar has confirmed it.
func (r adminResponse) isUnconfirmed() bool {
	return r.status == http.StatusServiceUnavailable && strings.Contains(r.body, unconfirmedText)
}
