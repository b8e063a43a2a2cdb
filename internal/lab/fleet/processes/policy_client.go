package processes

import (
	"context"
	"net/http"
	"time"
)

const policyRequestInterval = 10 * time.Millisecond

// sendPolicyRequests sends requests until the context ends and records those that are served. The requests have the
// classes of the documents in turn. Unlike sendRequests, it does not check that each request has a response.
func (s *sidecar) sendPolicyRequests(ctx context.Context) {
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(policyRequestInterval)
	defer ticker.Stop()
	documents := len(s.run.plan.Changes) + 2 // plus the first one and the one proposed after the last fault
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		document := i % documents
		request, err := s.newRequest(documentClass(document))
		if err != nil {
			s.run.recorder.addFailure("%v", err)
			return
		}
		sent := s.run.clock.now()
		status, err := roundTrip(client, request)
		if err == nil && status == http.StatusOK {
			s.run.recorder.addServed(ServedRequest{Sidecar: s.name, Document: document, Sent: sent})
		}
	}
}
