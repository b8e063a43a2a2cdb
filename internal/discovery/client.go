package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"milletramp.example/milletramp/balance"
)

const (
	// watchSilenceTimeout ends a watch on which nothing arrives. Discovery sends at least an empty line every 2 s. A
	// host that is cut off from the network sends nothing, and its last list would be used indefinitely.
	watchSilenceTimeout = 3 * time.Second
	// FirstListTimeout bounds the wait for the first list of a watch that requests the complete list, which discovery
	// sends immediately.
	FirstListTimeout = 1200 * time.Millisecond
	// slowListTimeout ends a watch that has not delivered its first list, counted from the start of the watch. After
	// FirstListTimeout a second watch is opened as well.
	slowListTimeout = 5 * time.Second
	// listTimeout is the maximum time since the first byte of a list for its further bytes to count as progress.
	listTimeout = 2 * time.Second
	// minConnectTimeout is the minimum timeout for opening a connection to discovery.
	minConnectTimeout = 500 * time.Millisecond
	// maxListBytes is the maximum size of one list, in bytes.
	maxListBytes = 4 << 20
)

// MaxStaleness is the maximum time until a change is received, counted from the moment at which discovery has the
// change and is reachable. It holds regardless of calls that failed earlier.
const MaxStaleness = 6 * time.Second

// MaxUpdateDelay is the maximum time from the last byte of a watch to a new list if one call fails although discovery
// is reachable. It is the sum of the silence timeout, a backoff, the timeout of the failed call, and the backoff before
// the call that succeeds. It must be less than MaxStaleness.
const MaxUpdateDelay = watchSilenceTimeout + balance.FirstDiscoveryBackoff +
	FirstListTimeout + 2*balance.FirstDiscoveryBackoff

// errWatchTimeout reports that a watch was ended because nothing arrived in time.
var errWatchTimeout = errors.New("watch timed out")

// completeListRevision is the revision argument that requests the complete list.
const completeListRevision = -1

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client watches the endpoint list at one discovery address.
type Client struct {
	address          string
	transport        *http.Transport
	silenceTimeout   time.Duration
	firstListTimeout time.Duration
	listTimeout      time.Duration
	// onSlow is called when the first list is late, and the watch then continues up to slowListTimeout. If onSlow is
	// nil, a late first list ends the watch.
	onSlow func()
}

// NewClient returns a client for the discovery service at address. It opens connections with dial. If dial is nil, it
// uses TCP with connectTimeout, but at least minConnectTimeout.
func NewClient(address string, connectTimeout time.Duration, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: max(connectTimeout, minConnectTimeout)}).DialContext
	}
	return &Client{
		address:          address,
		silenceTimeout:   watchSilenceTimeout,
		firstListTimeout: FirstListTimeout,
		listTimeout:      listTimeout,
		transport: &http.Transport{
			DialContext:        dial,
			DisableCompression: true,
			DisableKeepAlives:  true, // each watch has a connection of its own
		},
	}
}

// openWatch sends the watch request and returns the response body. A revision below 0 requests the complete list.
func (c *Client) openWatch(ctx context.Context, revision int64) (io.ReadCloser, error) {
	url := "http://" + c.address + "/v1/servers?watch=1"
	if revision >= 0 {
		url += "&from=" + strconv.FormatInt(revision, 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("discovery responded with status %d", response.StatusCode)
	}
	return response.Body, nil
}
