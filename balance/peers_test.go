package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// peerReportRig is a Balancer with n endpoints of equal weight in one group, and a record of its actions.
type peerReportRig struct {
	*Balancer
	recorded *actionRecorder
	now      Time
	next     RequestID
}

// actionRecorder records actions as text.
type actionRecorder struct {
	lines []string
	sent  []string
}

func (r *actionRecorder) Send(id RequestID, endpoint string, timeout time.Duration) {
	r.lines = append(r.lines, fmt.Sprint("send ", id, endpoint, timeout))
	r.sent = append(r.sent, endpoint)
}
func (r *actionRecorder) SetSendTimeout(id RequestID, n int, timeout time.Duration) {
	r.lines = append(r.lines, fmt.Sprint("set send timeout ", id, n, timeout))
}
func (r *actionRecorder) Cancel(id RequestID, n int) {
	r.lines = append(r.lines, fmt.Sprint("cancel ", id, n))
}
func (r *actionRecorder) Reject(id RequestID, after time.Duration) {
	r.lines = append(r.lines, fmt.Sprint("reject ", id, after))
}
func (r *actionRecorder) Fail(id RequestID) { r.lines = append(r.lines, fmt.Sprint("fail ", id)) }
func (r *actionRecorder) Timer(after time.Duration, token uint64) {
	r.lines = append(r.lines, fmt.Sprint("timer ", after, token))
}
func (r *actionRecorder) Subscribe()      { r.lines = append(r.lines, "subscribe") }
func (r *actionRecorder) Log(text string) { r.lines = append(r.lines, text) }

func newPeerReportRig(t rapid.TB, n int) *peerReportRig {
	t.Helper()
	acts := &actionRecorder{}
	b, err := New(
		Settings{Seed: 1, Peers: 80, Zone: "a", Zones: []string{"a"}, Kinds: []string{"k"}, Service: "s",
			Classes: []Class{
				{Name: "c", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, Priority: 1},
			},
			MaxAttempts: 3, CancelAllowed: true, HedgingAllowed: true, MaxListAge: time.Second, SlowStartWindow: 5 * time.Second, SlowStartCapacity: 0.3,
			OverloadMultiple: 4, OverloadWindow: 2 * time.Second},
		acts,
	)
	if err != nil {
		t.Fatal(err)
	}
	w := &peerReportRig{Balancer: b, recorded: acts, now: 24 * time.Hour}
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Zone: "a", Kind: "k", Weight: 1})
	}
	b.Endpoints(w.now, ListFull, list)
	return w
}

// sendSequentially sends n requests one after another and counts the attempts by endpoint. Each is served
// after 50 ms, except those at silent endpoints.
func (w *peerReportRig) sendSequentially(n int, silent ...string) map[string]int {
	counts := map[string]int{}
	for range n {
		w.next++
		w.recorded.sent = nil
		w.Request(w.now, Request{ID: w.next, Tenant: -1, Timeout: 2 * time.Second})
		w.now += 50 * time.Millisecond
		w.Timer(w.now, tokenTick)
		for i, to := range w.recorded.sent {
			counts[to]++
			if !slices.Contains(silent, to) {
				w.Result(w.now, Result{ID: w.next, Attempt: i, Endpoint: to, Took: 50 * time.Millisecond, Finished: true})
			}
		}
	}
	return counts
}

// TestSuspectedEndpointsAreUsedLast checks that an endpoint that peers suspect gets no request while another
// has capacity, and is used if there is no other.
func TestSuspectedEndpointsAreUsedLast(t *testing.T) {
	w := newPeerReportRig(t, 6)
	if counts := w.sendSequentially(60); counts["e1"] < 6 {
		t.Fatalf("without a report endpoint e1 is not in the rotation: %v", counts)
	}
	w.SetSuspected([]PeerReport{{"e1", w.now + 1}, {"nobody", w.now + 1}})
	w.now += 2
	counts := w.sendSequentially(30)
	if counts["e1"] > 0 || counts["nobody"] > 0 || len(counts) != 5 {
		t.Errorf("attempts %v while e1 is suspected", counts)
	}
	for _, id := range []string{"e0", "e2", "e3", "e4", "e5"} {
		if !w.SetAdminDown(w.now, id, true) {
			t.Fatal("SetAdminDown reports a listed endpoint as unknown: ", id)
		}
	}
	if counts = w.sendSequentially(1); counts["e1"] != 1 {
		t.Errorf("attempts %v, want 1 at e1, which is suspected and the only endpoint left", counts)
	}
}

// TestSuspicionEnds checks that a peer's report is in force until it expires, this sidecar gets a response
// itself, the endpoint is restarted, or the peers withdraw the report.
func TestSuspicionEnds(t *testing.T) {
	for name, end := range map[string]func(w *peerReportRig){
		"expired":         func(w *peerReportRig) { w.now += peerReportLifetime },
		"own response":    func(w *peerReportRig) { w.known["e1"].lastResponse = w.now },
		"withdrawn":       func(w *peerReportRig) { w.SetSuspected(nil) },
		"restarted":       func(w *peerReportRig) { w.SetAdminDown(w.now, "e1", true); w.SetAdminDown(w.now, "e1", false) },
		"others reported": func(w *peerReportRig) { w.SetSuspected([]PeerReport{{"e2", w.now}}) },
	} {
		w := newPeerReportRig(t, 6)
		w.sendSequentially(60)
		w.SetSuspected([]PeerReport{{"e1", w.now + 1}})
		w.now += 2
		if !w.suspectedByPeers(w.known["e1"], w.now) {
			t.Fatal("not suspected after the report")
		}
		end(w)
		if w.suspectedByPeers(w.known["e1"], w.now) {
			t.Errorf("%s: still suspected", name)
		}
	}
}

// TestPeerReportsAdmitNoEndpoint checks three rules for arbitrary peer reports: an endpoint that is draining,
// removed or administratively down gets no request, at most maxSuspectedShare of the ready weight is
// suspected, and requests are still sent.
func TestPeerReportsAdmitNoEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "endpoints")
		w := newPeerReportRig(t, n)
		w.sendSequentially(5 * n)
		unusable := map[string]bool{}
		for i := range n {
			id := fmt.Sprint("e", i)
			switch rapid.IntRange(0, 5).Draw(t, "state") {
			case 0:
				w.Endpoints(w.now, ListChanges, []Endpoint{{ID: id, Zone: "a", Kind: "k", Weight: 1, State: Draining}})
			case 1:
				w.Endpoints(w.now, ListChanges, []Endpoint{{ID: id, Zone: "a", Kind: "k", Weight: 1, State: Removed}})
			case 2:
				w.SetAdminDown(w.now, id, true)
			default:
				continue
			}
			unusable[id] = true
		}
		var reports []PeerReport
		for range rapid.IntRange(0, 20).Draw(t, "reports") {
			reports = append(reports, PeerReport{fmt.Sprint("e", rapid.IntRange(0, 14).Draw(t, "about")),
				w.now + Time(rapid.Int64Range(-int64(10*time.Second), int64(time.Second)).Draw(t, "since"))})
		}
		w.SetSuspected(reports)
		suspected, ready := 0.0, 0.0
		for _, e := range w.listed {
			if e.State == Ready {
				ready += e.Weight
			}
			if e.suspicionWrittenAt != 0 {
				suspected += e.Weight
			}
		}
		if suspected > maxSuspectedShare*ready {
			t.Errorf("weight %v of %v is suspected", suspected, ready)
		}
		counts := w.sendSequentially(3)
		for id := range counts {
			if unusable[id] {
				t.Errorf("unusable endpoint %s got a request", id)
			}
		}
		if len(unusable) < n && len(counts) == 0 {
			t.Error("no request found an endpoint")
		}
	})
}

type recordingObserver struct{ observed []string }

func (w *recordingObserver) Observe(endpoint string, s Observation) {
	w.observed = append(w.observed, fmt.Sprint(endpoint, " ", s))
}

// TestObserverChangesNoAction checks that the same events lead to the same actions with and without an
// observer, and with reports about unknown endpoints.
func TestObserverChangesNoAction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, watched := newPeerReportRig(t, 5), newPeerReportRig(t, 5)
		seen := &recordingObserver{}
		watched.SetObserver(seen)
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			silent := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"e0", "e1", "e2", "e3"}), 0, 2, rapid.ID).
				Draw(t, "silent")
			for _, w := range []*peerReportRig{plain, watched} {
				w.sendSequentially(3, silent...)
				w.Timer(w.now, tokenAttempt+uint64(w.next)*maxAttemptsPerRequest)
			}
			watched.SetSuspected([]PeerReport{{"nobody", watched.now}})
		}
		if !slices.Equal(plain.recorded.lines, watched.recorded.lines) {
			t.Error("an observer changed the actions")
		}
		if len(seen.observed) == 0 {
			t.Error("the observer was notified of nothing")
		}
	})
}

// TestObservationsOfEachOutcome checks which observation each outcome of an attempt leads to.
func TestObservationsOfEachOutcome(t *testing.T) {
	for outcome, want := range map[Outcome][]string{Served: {"e0 0"}, Errored: {"e0 3"}, Reset: {"e0 3"}, ConnectFailed: {"e0 4"}, Saturated: nil,
		Cancelled: nil, NotSent: nil} {
		w, seen := newPeerReportRig(t, 1), &recordingObserver{}
		w.SetObserver(seen)
		w.Request(w.now, Request{ID: 1, Tenant: -1, Timeout: time.Second})
		w.Result(
			w.now+time.Millisecond,
			Result{ID: 1, Endpoint: "e0", Outcome: outcome, Took: time.Millisecond, Finished: true},
		)
		if !slices.Equal(seen.observed, want) {
			t.Errorf("outcome %d: %v, want %v", outcome, seen.observed, want)
		}
	}
	w, seen := newPeerReportRig(t, 1), &recordingObserver{}
	w.sendSequentially(3000)
	w.SetObserver(seen)
	w.next++
	w.now++
	w.Request(w.now, Request{ID: w.next, Tenant: -1, Timeout: 10 * time.Second})
	for range 30 { // without a response
		w.now += tickInterval
		w.Timer(w.now, tokenTick)
		w.Timer(w.now, tokenAttempt+uint64(w.next)*maxAttemptsPerRequest)
	}
	if !slices.Equal(seen.observed, []string{"e0 1", "e0 2"}) {
		t.Errorf("observations of an attempt without a response: %v, want late once and no response once", seen.observed)
	}
}
