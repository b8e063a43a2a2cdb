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
	// adminTimeout bounds a call of an admin server. That it responds within 1 s is tested where nothing else runs.
	adminTimeout = 5 * time.Second
	// operatorRetries is how often an operator calls again where the sidecar cannot say whether the fleet knows.
	operatorRetries = 3

	readinessPath     = "/ops/readiness"
	fleetPath         = "/ops/fleet"
	serverDownPath    = "/ops/servers/down"
	serverUpPath      = "/ops/servers/up"
	policyStatusPath  = "/ops/policy/status"
	policyProposePath = "/ops/policy/propose"
	policyOutcomePath = "/ops/policy/outcome"

	// unconfirmedText is in the response to an operator's call that no other sidecar has confirmed (docs/fleet.md).
	unconfirmedText = "it holds here, and the fleet may not know"
)

// adminResponse is an admin server's response.
type adminResponse struct {
	status int // 0: there was none
	body   string
}

// callAdmin makes a call at an admin server.
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

// callAdmin makes a call at the admin server of the sidecar's current process.
func (s *sidecar) callAdmin(method, path, body string) adminResponse {
	return callAdmin(s.adminAddresses[s.currentSlot()], method, path, body)
}

// setAdminDown takes a server down or up again, as an operator does at this sidecar.
func (s *sidecar) setAdminDown(server string, down bool) {
	path := serverUpPath
	if down {
		path = serverDownPath
	}
	body := fmt.Sprintf(`{"target":%q}`, server)
	started, slot := s.run.clock.now(), s.currentSlot()
	response := s.callAdmin(http.MethodPost, path, body)
	if response.status == 0 && s.currentSlot() != slot { // an upgrade ended the process: its successor is called
		response = s.callAdmin(http.MethodPost, path, body)
	}
	for range operatorRetries {
		if !response.isUnconfirmed() {
			break
		}
		response = s.callAdmin(http.MethodPost, path, body)
	}
	if response.status != http.StatusOK && !s.expectedDown(started-adminTimeout, s.run.clock.now()) {
		s.run.recorder.addFailure("%s answers a call on %s with %d %q", s.name, server, response.status, response.body)
	}
}

// isUnconfirmed says whether the sidecar took the call and cannot say whether others know of it.
func (r adminResponse) isUnconfirmed() bool {
	return r.status == http.StatusServiceUnavailable && strings.Contains(r.body, unconfirmedText)
}
