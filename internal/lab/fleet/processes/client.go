package processes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	requestTimeout = 5 * time.Second // for the response of a running sidecar

	requestIDHeader       = "X-Request-ID"
	classHeader           = "X-Priority-Class"
	timeoutHeader         = "X-Timeout-Ms"
	requestTimeoutAllowed = time.Second // sent by clients in timeoutHeader
	defaultClass          = "read"
)

// requestCounter makes request ids unique among all runs in this process.
var requestCounter atomic.Int64

// sendRequests sends one request after another until the context ends. It records a failure for a request without a
// response, unless the sidecar is expected to be down (see expectedDown).
func (s *sidecar) sendRequests(ctx context.Context) {
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(s.run.options.RequestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		started := s.run.clock.now()
		request, err := s.newRequest(defaultClass)
		if err != nil {
			s.run.recorder.addFailure("%v", err)
			return
		}
		_, err = roundTrip(client, request)
		if err != nil && !s.expectedDown(started-requestTimeout, s.run.clock.now()) {
			s.run.recorder.addFailure("%s did not respond to its client: %v", s.name, err)
		}
	}
}

func newHTTPClient() *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
}

// newRequest returns a request of the given class. Its id begins with the sidecar's name, which the backends record.
func (s *sidecar) newRequest(class string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.listenAddress+"/api", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(requestIDHeader, fmt.Sprintf("%s-%d", s.name, requestCounter.Add(1)))
	request.Header.Set(classHeader, class)
	request.Header.Set(timeoutHeader, fmt.Sprint(requestTimeoutAllowed.Milliseconds()))
	return request, nil
}

// roundTrip sends a request and reads the complete response.
func roundTrip(client *http.Client, request *http.Request) (status int, err error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
