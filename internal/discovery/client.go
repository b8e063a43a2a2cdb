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
	// watchSilenceTimeout is how long a watch may bring nothing. Discovery sends at least an empty line every 2 s; a
	// machine that is cut off sends nothing, and its last list would be taken for the current one for ever.
	watchSilenceTimeout = 3 * time.Second
	// FirstListTimeout is how long the first list may take of a watch that asks for the complete list, which
	// discovery sends at once.
	FirstListTimeout = 1200 * time.Millisecond
	// slowListTimeout is how long a watch that is late with its first list goes on next to another one.
	slowListTimeout = 5 * time.Second
	// listTimeout is how long one list may take to come, in pieces, before its bytes no longer count as progress.
	listTimeout = 2 * time.Second
	// minConnectTimeout is the least time that a connection to discovery gets to open.
	minConnectTimeout = 500 * time.Millisecond
	// maxListBytes bounds one list.
	maxListBytes = 4 << 20
)

// MaxStaleness is how long after discovery has a change, and can be reached, the change counts as notified, whatever
// calls failed before.
const MaxStaleness = 6 * time.Second

// MaxUpdateDelay is the longest time from a watch's last byte to a new list if one call fails although discovery can be
// reached: the silence is noticed, the call is made after a backoff and fails, and after another one the next call is
// answered. It has to be less than MaxStaleness.
const MaxUpdateDelay = watchSilenceTimeout + balance.FirstDiscoveryBackoff +
	FirstListTimeout + 2*balance.FirstDiscoveryBackoff

// errWatchTimeout says that a watch was given up as nothing came.
var errWatchTimeout = errors.New("discovery is silent")

// completeListRevision is the revision to watch from that asks for the complete list.
const completeListRevision = -1

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client watches the list of servers at one address of discovery.
type Client struct {
	address          string
	transport        *http.Transport
	silenceTimeout   time.Duration
	firstListTimeout time.Duration
	listTimeout      time.Duration
	onSlow           func() // called where the first list is late; the watch then goes on for a while. nil: it ends
}

// NewClient returns a client of the discovery at address. dial opens connections; nil: over TCP, with connectTimeout,
// but at least minConnectTimeout, for a connection to open.
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
			DisableKeepAlives:  true, // a watch lasts as long as its connection
		},
	}
}

// openWatch calls discovery and returns the body of its response.
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
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return response.Body, nil
}
