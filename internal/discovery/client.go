package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/wallclock"
)

// The times of the client of discovery. What discovery tells counts as told toldWithin after it had it and could be reached, whatever
// calls failed before, so the longest way to a list has to stay under that: see longestUntold.
const (
	// watchSilenceTimeout is how long a watch may be silent: discovery writes at least an empty line every 2 s. A machine that is cut off
	// says nothing, and without this bound the list in hand would be believed for good.
	watchSilenceTimeout = 3 * time.Second
	// FirstListTimeout is how long the first list may take of a watch that asks for the whole list. That list is answered at once.
	FirstListTimeout = 1200 * time.Millisecond
	// slowListTimeout is how long a call goes on for its first list next to others, where discovery is slow.
	slowListTimeout = 5 * time.Second
	// listTimeout is how long one list may take to come, in pieces, before its bytes no longer count as progress.
	listTimeout = 2 * time.Second
	// minConnectTimeout is the least time that a connection to discovery gets to come up.
	minConnectTimeout = 500 * time.Millisecond
	maxListBytes      = 4 << 20 // bytes of one list
	MaxStaleness      = 6 * time.Second
)

// MaxUpdateDelay is the longest time from a watch's last byte to a new list, with one more call that fails though discovery could be
// reached: the silence is noticed, the call waits its turn, fails, waits again, and the next one is answered.
const MaxUpdateDelay = watchSilenceTimeout + balance.FirstDiscoveryBackoff + FirstListTimeout + 2*balance.FirstDiscoveryBackoff

// errWatchTimeout says that a watch was given up as nothing came.
var errWatchTimeout = errors.New("discovery is silent")

// Endpoint is one server of discovery's list.
type Endpoint struct {
	ID        string
	Address   string
	Zone      string
	Kind      string
	PodGroup  int
	State     balance.State
	Weight    float64
	StartedAt time.Time // when it last started; zero: long ago
}

// List is what discovery says at once: all servers, or those that changed.
type List struct {
	Revision  int64
	Complete  bool
	Endpoints []Endpoint
}

// ParseList reads discovery's JSON strictly: a list that is wrong in one entry is wrong.
func ParseList(text []byte) (List, error) {
	var l struct {
		Rev     *int64
		All     bool
		Targets []struct {
			UID      string   `json:"uid"` // a name that has to be folded takes longer to find
			Endpoint string   `json:"endpoint"`
			AZ       string   `json:"az"`
			Model    string   `json:"model"`
			PodGroup int      `json:"pod_group"`
			State    string   `json:"state"`
			Capacity *float64 `json:"capacity_hint"`
			BootMS   int64    `json:"boot_ms"`
		}
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if l.Rev == nil {
		return List{}, errors.New("list has no rev")
	}
	list := List{Revision: *l.Rev, Complete: l.All}
	for i, e := range l.Targets {
		t := Endpoint{ID: e.UID, Address: e.Endpoint, Zone: e.AZ, Kind: e.Model, PodGroup: e.PodGroup, Weight: 1}
		switch e.State {
		case "SERVING":
			t.State = balance.Ready
		case "DRAINING":
			t.State = balance.Draining
		case "DELETED":
			t.State = balance.Removed
		default:
			return List{}, fmt.Errorf("target %d, %q: unknown state %q", i, e.UID, e.State)
		}
		if t.ID == "" {
			return List{}, fmt.Errorf("target %d has no uid", i)
		}
		if _, _, err := net.SplitHostPort(t.Address); err != nil && t.State != balance.Removed {
			return List{}, fmt.Errorf("target %d, %q: endpoint: %w", i, e.UID, err)
		}
		if e.Capacity != nil {
			if t.Weight = *e.Capacity; t.Weight < 0 {
				return List{}, fmt.Errorf("target %d, %q: capacity_hint %v is negative", i, e.UID, t.Weight)
			}
		}
		if e.BootMS > 0 {
			t.StartedAt = wallclock.FromMilliseconds(e.BootMS)
		}
		list.Endpoints = append(list.Endpoints, t)
	}
	return list, nil
}

// Client is the client of the list of servers.
type Client struct {
	address          string
	transport        *http.Transport
	silenceTimeout   time.Duration
	firstListTimeout time.Duration
	listTimeout      time.Duration
	onSlow           func() // called where the first list is late, and the call then goes on for a while; nil: it ends
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client of the discovery at address. dial nil: over TCP, with at least connect for a connection to come up.
func NewClient(address string, connect time.Duration, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: max(connect, minConnectTimeout)}).DialContext
	}
	return &Client{address: address, silenceTimeout: watchSilenceTimeout, firstListTimeout: FirstListTimeout, listTimeout: listTimeout, transport: &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		DisableKeepAlives:  true, // a watch lasts as long as its connection
	}}
}

// Watch asks for the changes after version from (below 0: for the whole list) and hands each list to told, until the
// watch ends. Where discovery says that nothing has changed since the last list, or since version from, it calls
// unchanged. It always returns an error, which says why.
func (d *Client) Watch(ctx context.Context, from int64, told func(List), unchanged func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := d.silenceTimeout
	if from < 0 {
		patience = min(d.firstListTimeout, d.silenceTimeout)
	}
	var late *time.Timer
	if from < 0 && d.onSlow != nil {
		late = time.AfterFunc(patience, d.onSlow)
		defer late.Stop()
		patience = slowListTimeout
	}
	silent := time.AfterFunc(patience, func() { cancel(fmt.Errorf("%w: nothing came for %v", errWatchTimeout, patience)) })
	defer silent.Stop()
	body, err := d.openWatch(ctx, from)
	if err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	defer body.Close()

	lists := &jsonSplitter{}
	came := func(text []byte) {
		if from >= 0 && !lists.inObject() && len(bytes.TrimSpace(text)) == 0 {
			unchanged()
		}
		if from >= 0 && lists.objectAge() < d.listTimeout {
			silent.Reset(d.silenceTimeout)
		}
	}
	in := bufio.NewScanner(&progressReader{body, came})
	in.Buffer(nil, maxListBytes)
	in.Split(lists.split)
	for in.Scan() {
		list, err := ParseList(in.Bytes())
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		patience, from = d.silenceTimeout, list.Revision
		if late != nil {
			late.Stop()
		}
		silent.Reset(d.silenceTimeout)
		told(list)
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	return errors.New("watch: ended")
}

// openWatch calls discovery and returns the body of its answer.
func (d *Client) openWatch(ctx context.Context, from int64) (io.ReadCloser, error) {
	url := "http://" + d.address + "/v1/servers?watch=1"
	if from >= 0 {
		url += "&from=" + strconv.FormatInt(from, 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return resp.Body, nil
}

// progressReader calls came each time that something was read, with what it was.
type progressReader struct {
	io.Reader
	onRead func(text []byte)
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.onRead(b[:n])
	}
	return n, err
}
