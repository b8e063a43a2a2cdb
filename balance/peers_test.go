package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// peerReportRig is a Balancer with n endpoints of one weight in one group, and the actions that it took.
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
func (r *actionRecorder) Cancel(id RequestID, n int) {
	r.lines = append(r.lines, fmt.Sprint("cancel ", id, n))
}
func (r *actionRecorder) Reject(id RequestID, after time.Duration) {
	r.lines = append(r.lines, fmt.Sprint("refuse ", id, after))
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

// sendSequentially plays n requests one after another and counts attempts by endpoint. Each is answered after 50 ms,
// but for those at silent endpoints.
func (w *peerReportRig) sendSequentially(n int, silent ...string) map[string]int {
	went := map[string]int{}
	for range n {
		w.next++
		w.recorded.sent = nil
		w.Request(w.now, Request{ID: w.next, Tenant: -1, Timeout: 2 * time.Second})
		w.now += 50 * time.Millisecond
		w.Timer(w.now, tokenTick)
		for i, to := range w.recorded.sent {
			went[to]++
			if !slices.Contains(silent, to) {
				w.Result(w.now, Result{ID: w.next, Attempt: i, Endpoint: to, Took: 50 * time.Millisecond, Finished: true})
			}
		}
	}
	return went
}

// TestSuspectedEndpointsAreUsedLast: an endpoint that peers suspect gets no request while another has capacity,
// and is used where there is no other.
func TestSuspectedEndpointsAreUsedLast(t *testing.T) {
	w := newPeerReportRig(t, 6)
	if went := w.sendSequentially(60); went["e1"] < 6 {
		t.Fatalf("without a report it is not in the rotation: %v", went)
	}
	w.SetSuspected([]PeerReport{{"e1", w.now + 1}, {"nobody", w.now + 1}})
	w.now += 2
	went := w.sendSequentially(30)
	if went["e1"] > 0 || went["nobody"] > 0 || len(went) != 5 {
		t.Errorf("suspected: %v", went)
	}
	for _, id := range []string{"e0", "e2", "e3", "e4", "e5"} {
		if !w.SetAdminDown(w.now, id, true) {
			t.Fatal("not known: ", id)
		}
	}
	if went = w.sendSequentially(1); went["e1"] != 1 {
		t.Errorf("the only one left, suspected: %v", went)
	}
}

// TestSuspicionEnds: a peer's report counts until it expires, this sidecar gets an answer itself, the endpoint is
// restarted, or the peers withdraw it.
func TestSuspicionEnds(t *testing.T) {
	for name, end := range map[string]func(w *peerReportRig){
		"expired":         func(w *peerReportRig) { w.now += peerReportLifetime },
		"own answer":      func(w *peerReportRig) { w.known["e1"].lastResponse = w.now },
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

// TestPeerReportsAdmitNoEndpoint: whatever peers report, an endpoint that is draining, removed or
// administratively down gets no request, at most maxSuspectedShare of the ready weight is suspected, and a
// request that finds an endpoint without the reports finds one with them.
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
			t.Errorf("%v of %v is suspected", suspected, ready)
		}
		went := w.sendSequentially(3)
		for id := range went {
			if unusable[id] {
				t.Errorf("%s got a request", id)
			}
		}
		if len(unusable) < n && len(went) == 0 {
			t.Error("no request found an endpoint")
		}
	})
}

type recordingObserver struct{ observed []string }

func (w *recordingObserver) Observe(endpoint string, s Observation) {
	w.observed = append(w.observed, fmt.Sprint(endpoint, " ", s))
}

// TestObserverChangesNoAction: the same events with and without an observer, and with reports about unknown
// endpoints, lead to the same actions.
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

// TestObservationsOfEachOutcome: the observer is notified of what each outcome of an attempt shows.
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
	for range 30 { // its answer does not come
		w.now += tickInterval
		w.Timer(w.now, tokenTick)
		w.Timer(w.now, tokenAttempt+uint64(w.next)*maxAttemptsPerRequest)
	}
	if !slices.Equal(seen.observed, []string{"e0 1", "e0 2"}) {
		t.Errorf("one without an answer is observed as %v, want late once and silent once", seen.observed)
	}
}
