package sidecar

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
	// watchSilence is how long a watch may be silent: discovery writes at least an empty line every 2 s. A machine that is cut off
	// says nothing, and without this bound the list in hand would be believed for good.
	watchSilence = 3 * time.Second
	// firstListWithin is how long the first list may take of a watch that asks for the whole list. That list is answered at once.
	firstListWithin = 1200 * time.Millisecond
	// slowListWithin is how long a call goes on for its first list next to others, where discovery is slow.
	slowListWithin = 5 * time.Second
	// objectWithin is how long one list may take to come, in pieces, before its bytes no longer count as progress.
	objectWithin = 2 * time.Second
	// leastConnect is the least time that a connection to discovery gets to come up.
	leastConnect = 500 * time.Millisecond
	mostObject   = 4 << 20 // bytes of one list
	toldWithin   = 6 * time.Second
)

// longestUntold is the longest time from a watch's last byte to a new list, with one more call that fails though discovery could be
// reached: the silence is noticed, the call waits its turn, fails, waits again, and the next one is answered.
const longestUntold = watchSilence + balance.FirstDiscoveryBackoff + firstListWithin + 2*balance.FirstDiscoveryBackoff

// errSilent says that a watch was given up as nothing came.
var errSilent = errors.New("discovery is silent")

// Target is one server of discovery's list.
type Target struct {
	ID      string
	Address string
	Zone    string
	Kind    string
	Cell    int
	State   balance.State
	Size    float64
	Boot    time.Time // when it last started; zero: long ago
}

// List is what discovery says at once: all servers, or those that changed.
type List struct {
	Rev     int64
	All     bool
	Targets []Target
}

// parseList reads discovery's JSON strictly: a list that is wrong in one entry is wrong.
func parseList(text []byte) (List, error) {
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
	list := List{Rev: *l.Rev, All: l.All}
	for i, e := range l.Targets {
		t := Target{ID: e.UID, Address: e.Endpoint, Zone: e.AZ, Kind: e.Model, Cell: e.PodGroup, Size: 1}
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
			if t.Size = *e.Capacity; t.Size < 0 {
				return List{}, fmt.Errorf("target %d, %q: capacity_hint %v is negative", i, e.UID, t.Size)
			}
		}
		if e.BootMS > 0 {
			t.Boot = wallclock.FromMilliseconds(e.BootMS)
		}
		list.Targets = append(list.Targets, t)
	}
	return list, nil
}

// discovery is the client of the list of servers.
type discovery struct {
	address   string
	client    *http.Transport
	silence   time.Duration
	firstList time.Duration
	object    time.Duration
	slow      func() // called where the first list is late, and the call then goes on for a while; nil: it ends
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newDiscovery returns a client of the discovery at address. dial nil: over TCP, with at least connect for a connection to come up.
func newDiscovery(address string, connect time.Duration, dial dialFunc) *discovery {
	if dial == nil {
		dial = (&net.Dialer{Timeout: max(connect, leastConnect)}).DialContext
	}
	return &discovery{address: address, silence: watchSilence, firstList: firstListWithin, object: objectWithin, client: &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		DisableKeepAlives:  true, // a watch lasts as long as its connection
	}}
}

// watch asks for the changes after version from (below 0: for the whole list) and hands each list to told, until the
// watch ends. Where discovery says that nothing has changed since the last list, or since version from, it calls
// unchanged. It always returns an error, which says why.
func (d *discovery) watch(ctx context.Context, from int64, told func(List), unchanged func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := d.silence
	if from < 0 {
		patience = min(d.firstList, d.silence)
	}
	var late *time.Timer
	if from < 0 && d.slow != nil {
		late = time.AfterFunc(patience, d.slow)
		defer late.Stop()
		patience = slowListWithin
	}
	silent := time.AfterFunc(patience, func() { cancel(fmt.Errorf("%w: nothing came for %v", errSilent, patience)) })
	defer silent.Stop()
	body, err := d.open(ctx, from)
	if err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	defer body.Close()

	lists := &objects{}
	came := func(text []byte) {
		if from >= 0 && !lists.begun() && len(bytes.TrimSpace(text)) == 0 {
			unchanged()
		}
		if from >= 0 && lists.age() < d.object {
			silent.Reset(d.silence)
		}
	}
	in := bufio.NewScanner(&progress{body, came})
	in.Buffer(nil, mostObject)
	in.Split(lists.split)
	for in.Scan() {
		list, err := parseList(in.Bytes())
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		patience, from = d.silence, list.Rev
		if late != nil {
			late.Stop()
		}
		silent.Reset(d.silence)
		told(list)
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	return errors.New("watch: ended")
}

// open calls discovery and returns the body of its answer.
func (d *discovery) open(ctx context.Context, from int64) (io.ReadCloser, error) {
	url := "http://" + d.address + "/v1/servers?watch=1"
	if from >= 0 {
		url += "&from=" + strconv.FormatInt(from, 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return resp.Body, nil
}

// progress calls came each time that something was read, with what it was.
type progress struct {
	io.Reader
	came func(text []byte)
}

// Read implements io.Reader.
func (p *progress) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.came(b[:n])
	}
	return n, err
}
