package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/scenario"
	"milletramp.example/milletramp/internal/lab/servermodel"
	"milletramp.example/milletramp/internal/lab/workload"
)

const testSidecar = 203

// startNode starts a node of two cores behind a link of testSidecar, and returns it with the link.
func startNode(t *testing.T, log *Log, requests *RequestRegistry) (*Node, *Link) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := NewNode(NodeOptions{
		Number:        7,
		Requests:      requests,
		Log:           log,
		ConnCap:       4,
		IdleTimeout:   time.Minute,
		StopsOnCancel: true,
	})
	spec := servermodel.Spec{Cores: 2, Speed: 1, Slots: 2, QueueLimit: 2, WarmUpShare: 1}
	random := rand.New(rand.NewPCG(1, 1))
	processor := servermodel.NewProcessor(spec, log.Now())
	n.Start(listener, servermodel.NewServer(processor, servermodel.NewPod(time.Minute), servermodel.KeySettings{}, random))
	t.Cleanup(n.Kill)
	link, err := NewLink(SidecarIP(testSidecar), listener.Addr().String(), LinkCondition{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return n, link
}

// eventsOf returns the kinds, statuses and parties of all events, sorted, once there are as many as wanted.
func eventsOf(log *Log, wanted int) (found []string) {
	names := map[record.Kind]string{
		record.Requested: "requested", record.Answered: "answered", record.ClientLeft: "left", record.Sent: "sent",
		record.Arrived: "arrived", record.Ran: "ran", record.Deduplicated: "deduplicated", record.Replied: "replied",
		record.AttemptEnded: "ended",
	}
	for begun := time.Now(); len(log.Events()) < wanted && time.Since(begun) < patience; {
		time.Sleep(time.Millisecond)
	}
	for _, e := range log.Events() {
		found = append(found, fmt.Sprintf(
			"%s status=%d request=%d first=%d sidecar=%d node=%d tenant=%d effect=%d token=%d retry=%v",
			names[e.Kind], e.Status, e.Request, e.FirstRequest,
			e.Sidecar, e.Node, e.Tenant, e.Effect, e.Token, e.RetryAfter))
	}
	slices.Sort(found)
	return found
}

// TestClientsAndNode sends one request through a link to a node, and compares what both recorded.
func TestClientsAndNode(t *testing.T) {
	const (
		requested = "requested status=0 request=1 first=1 sidecar=203 node=0 tenant=-1 effect=1 token=0 retry=0s"
		sent      = "sent status=0 request=1 first=0 sidecar=203 node=7 tenant=0 effect=0 token=0 retry=0s"
		arrived   = "arrived status=0 request=1 first=0 sidecar=203 node=7 tenant=0 effect=1 token=0 retry=0s"
		ran       = "ran status=0 request=1 first=0 sidecar=0 node=7 tenant=0 effect=0 token=0 retry=0s"
	)
	replied := func(status record.Status, token int) string {
		return fmt.Sprintf("replied status=%d request=1 first=0 sidecar=0 node=7 tenant=0 effect=0 token=%d retry=0s",
			status, token)
	}
	ended := func(status record.Status) string {
		return fmt.Sprintf("ended status=%d request=1 first=0 sidecar=0 node=7 tenant=0 effect=0 token=0 retry=0s",
			status)
	}
	answered := func(status record.Status, token int) string {
		return fmt.Sprintf(
			"answered status=%d request=1 first=0 sidecar=203 node=0 tenant=0 effect=0 token=%d retry=0s",
			status, token)
	}
	left := "left status=0 request=1 first=0 sidecar=203 node=0 tenant=0 effect=0 token=0 retry=0s"
	for _, tt := range []struct {
		name    string
		faults  servermodel.Faults
		prepare func(*Clients, *Node, *workload.Request)
		want    []string
	}{
		{"served", servermodel.Faults{}, nil,
			[]string{
				requested, sent, arrived, ran,
				replied(record.Served, 1), ended(record.Served), answered(record.Served, 1),
			}},
		{"rejected", servermodel.Faults{RejectedClasses: map[int]bool{0: true}}, nil,
			[]string{
				requested, sent, arrived,
				replied(record.Rejected, 0), ended(record.Rejected), answered(record.Rejected, 0),
			}},
		{"error", servermodel.Faults{ErrorShare: 1}, nil,
			[]string{
				requested, sent, arrived, ran,
				replied(record.Failed, 1), ended(record.Failed), answered(record.Failed, 0),
			}},
		{"malformed response", servermodel.Faults{MalformedShare: 1}, nil,
			[]string{requested, sent, arrived, ran, replied(record.Failed, 1), ended(record.Failed)}},
		{"no response", servermodel.Faults{LossShare: 1}, nil,
			[]string{requested, sent, arrived, ended(record.Cancelled)}},
		{"client leaves", servermodel.Faults{}, func(_ *Clients, _ *Node, r *workload.Request) {
			r.Work = 10
			r.LeavesAfter = 50 * time.Millisecond
		}, []string{requested, sent, arrived, ran, ended(record.Cancelled), left}},
		{"no sidecar", servermodel.Faults{}, func(c *Clients, _ *Node, _ *workload.Request) { c.SetAddress("") },
			[]string{
				"requested status=4 request=1 first=1 sidecar=203 node=0 tenant=-1 effect=1 token=0 retry=0s",
				"answered status=4 request=1 first=1 sidecar=203 node=0 tenant=-1 effect=1 token=0 retry=0s",
			}},
		{"no node", servermodel.Faults{}, func(_ *Clients, n *Node, _ *workload.Request) { n.Kill() }, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			log := NewLog()
			requests := NewRequestRegistry()
			n, link := startNode(t, log, requests)
			n.Change(func(s *servermodel.Server, _ time.Duration) { s.Faults = tt.faults })
			classes := []scenario.Class{{Name: "one", Effect: "deduplicated"}}
			c := NewClients(ClientOptions{
				Sidecar:       testSidecar,
				Scenario:      &scenario.Scenario{Classes: classes},
				Requests:      requests,
				Log:           log,
				IDs:           &atomic.Uint64{},
				ResponseGrace: 100 * time.Millisecond,
			}, 1)
			defer c.httpClient.CloseIdleConnections()
			c.SetAddress(link.Address())
			request := workload.Request{Tenant: -1, Work: 0.001, Timeout: 200 * time.Millisecond}
			if tt.prepare != nil {
				tt.prepare(c, n, &request)
			}
			c.sendWithRetries(context.Background(), request)
			if tt.want == nil { // whether the request was written before the reset is open, but no node sees it
				for _, e := range log.Events() {
					if e.Kind != record.Requested && e.Kind != record.Answered {
						t.Errorf("event %+v of a node that was killed", e)
					}
				}
				return
			}
			slices.Sort(tt.want)
			if found := eventsOf(log, len(tt.want)); !slices.Equal(found, tt.want) {
				t.Errorf("found\n%q\nwant\n%q", found, tt.want)
			}
		})
	}
}

// TestSidecarOf finds the sidecar of each address that links have.
func TestSidecarOf(t *testing.T) {
	for _, sidecar := range []int{0, 1, 199, 200, 999} {
		r := requestFrom(net.JoinHostPort(SidecarIP(sidecar).String(), "1"))
		if found := sidecarOf(r); found != int32(sidecar) {
			t.Errorf("sidecar %d is found as %d", sidecar, found)
		}
	}
	if found := sidecarOf(requestFrom("127.0.0.1:1")); found != -1 {
		t.Errorf("an address of no sidecar is found as %d", found)
	}
}

func requestFrom(address string) *http.Request { return &http.Request{RemoteAddr: address} }
