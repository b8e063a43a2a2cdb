package sidecar

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
	"milletramp.example/milletramp/internal/upstream"
)

// expectAdminDown fails the test unless exactly these of s-0, s-1 and s-9 are administratively down, both in the
// Balancer and in the upstream client.
func (p *program) expectAdminDown(want ...string) {
	p.T.Helper()
	var down []string
	if err := p.operator.loop.Do(context.Background(), func() { down = p.operator.loop.AdminDown() }); err != nil {
		p.T.Fatal(err)
	}
	if unavailable := p.unavailableServers(); !slices.Equal(down, want) || !slices.Equal(unavailable, want) {
		p.T.Errorf("administratively down %q, unavailable %q, want %q", down, unavailable, want)
	}
}

// unavailableServers returns those of s-0, s-1 and s-9 to which the upstream client makes no attempt. s-9 is on no
// endpoint list, so it is added to that of the upstream client, and only there, during the call.
func (p *program) unavailableServers() (unavailable []string) {
	p.T.Helper()
	client := p.operator.loop.Upstream()
	backend := testserver.StartBackend(p.T, testserver.Respond(200, "", "ok"))
	list := func(state string) {
		entry := testserver.EndpointEntry("s-9", backend.Address, state, 0)
		client.Update(parseList(p.T, testserver.ListText(2, false, entry)))
	}
	list("SERVING")
	defer list("DELETED")
	for _, id := range []string{"s-0", "s-1", "s-9"} {
		message := &upstream.Message{Method: http.MethodGet, URL: &url.URL{Path: "/api"}, ID: "id-1"}
		request := upstream.AttemptRequest{ServerID: id, Message: message}
		switch r := client.Attempt(context.Background(), request); r.Outcome {
		case balance.Served:
		case balance.NotSent:
			unavailable = append(unavailable, id)
		default:
			p.T.Errorf("%s: outcome %d", id, r.Outcome)
		}
	}
	return unavailable
}

// TestApplyAdminDown: servers that are administratively down in the fleet are set down here, listed or not, and set up
// once they are up in the fleet. A server that only an operator's call at this sidecar has set down stays down.
func TestApplyAdminDown(t *testing.T) {
	p := startInDir(t, t.TempDir())
	if _, err := p.operator.SetAdminDown(context.Background(), "s-1", true, false); err != nil {
		t.Fatal(err)
	}
	p.expectAdminDown("s-1")
	p.operator.applyAdminDown([]string{"s-0", "s-9"})
	p.expectAdminDown("s-0", "s-1", "s-9")
	p.operator.applyAdminDown([]string{"s-9"})
	p.expectAdminDown("s-1", "s-9")
	p.operator.applyAdminDown(nil)
	p.expectAdminDown("s-1")
	p.operator.applyAdminDown([]string{"s-1"}) // from here on it is down in the fleet as well
	p.expectAdminDown("s-1")
	p.operator.applyAdminDown(nil)
	p.expectAdminDown()
}

// adminDownParticipant is a fake Participant in a fleet without a policy. The test sets its results for operators'
// calls.
type adminDownParticipant struct {
	fakeParticipant
	knows                bool
	knowsErr             error
	confirmed, contacted int
	err                  error
	calls                []adminDownCall
}

// adminDownCall is a call that was published to the fleet.
type adminDownCall struct {
	server        string
	down, confirm bool
}

// Policy implements Participant.
func (*adminDownParticipant) Policy() proxy.Policy { return nil }

// KnowsServer implements Participant.
func (p *adminDownParticipant) KnowsServer(context.Context, string) (bool, error) {
	return p.knows, p.knowsErr
}

// SetAdminDown implements Participant.
func (p *adminDownParticipant) SetAdminDown(_ context.Context, server string,
	down, confirm bool) (confirmed, contacted int, err error) {
	p.calls = append(p.calls, adminDownCall{server, down, confirm})
	return p.confirmed, p.contacted, p.err
}

// publishTest is a call to publish to the fleet and the expected result for its operator.
type publishTest struct {
	name        string
	participant *adminDownParticipant // nil: not in a fleet
	other       bool                  // another process of the sidecar is running
	known       bool
	forwarded   bool // another process forwarded the call
	note        string
	err         string // part of the expected error; "": no error
	wrapped     error  // error that the expected error wraps; nil: any
	calls       []adminDownCall
}

// TestPublishToFleet: the operator of a call gets a note or an error that matches the outcome of its replication.
func TestPublishToFleet(t *testing.T) {
	errDisk := errors.New("disk full")
	unknownServer := admin.ErrUnknownServer
	confirmedCalls := []adminDownCall{{"s-0", true, true}}
	unconfirmedCalls := []adminDownCall{{"s-0", true, false}}
	for _, tt := range []publishTest{
		{name: "no fleet", known: true},
		{name: "no fleet, unknown server", err: unknownServer.Error(), wrapped: unknownServer},
		{name: "unknown server", participant: &adminDownParticipant{},
			err: unknownServer.Error(), wrapped: unknownServer},
		{name: "unknown here, known to the fleet",
			participant: &adminDownParticipant{knows: true, confirmed: 1, contacted: 1},
			note:        "1 other sidecars hold it", calls: confirmedCalls},
		{name: "query of the fleet fails", participant: &adminDownParticipant{knowsErr: errDisk},
			err: "disk full", wrapped: errDisk},
		{name: "stored by others", participant: &adminDownParticipant{confirmed: 3, contacted: 4}, known: true,
			note: "3 other sidecars hold it and tell the rest", calls: confirmedCalls},
		{name: "no response from others", participant: &adminDownParticipant{contacted: 4}, known: true,
			note: "no other sidecar has answered", calls: confirmedCalls},
		{name: "no other sidecar", participant: &adminDownParticipant{}, known: true,
			note: "there is no other sidecar", calls: confirmedCalls},
		{name: "forwarded by the other process", participant: &adminDownParticipant{confirmed: 3, contacted: 4},
			known: true, forwarded: true, calls: unconfirmedCalls},
		{name: "superseded, another process runs", participant: &adminDownParticipant{err: ErrSuperseded},
			other: true, known: true, calls: confirmedCalls},
		{name: "superseded, no other process", participant: &adminDownParticipant{err: ErrSuperseded}, known: true,
			err: "it holds here alone", calls: confirmedCalls},
		{name: "replication fails", participant: &adminDownParticipant{err: errDisk}, known: true,
			err: "it holds here, and the fleet may not know: disk full", wrapped: errDisk, calls: confirmedCalls},
	} {
		t.Run(tt.name, func(t *testing.T) { tt.run(t) })
	}
}

// run publishes the call and checks the result.
func (tt *publishTest) run(t *testing.T) {
	dir := t.TempDir()
	p := startInDir(t, dir)
	if tt.other {
		joinOtherProcess(t, dir, "")
	}
	if tt.participant != nil {
		participant := Participant(tt.participant)
		p.operator.participant.Store(&participant)
		defer p.operator.participant.Store(nil)
	}
	note, err := p.operator.publishToFleet(context.Background(), "s-0", true, tt.known, tt.forwarded)
	if (note == "") != (tt.note == "") || !strings.Contains(note, tt.note) {
		t.Errorf("note %q, want %q", note, tt.note)
	}
	if (err == nil) != (tt.err == "") || err != nil && !strings.Contains(err.Error(), tt.err) {
		t.Errorf("error %v, want %q", err, tt.err)
	}
	if tt.wrapped != nil && !errors.Is(err, tt.wrapped) {
		t.Errorf("error %v, want one that wraps %v", err, tt.wrapped)
	}
	if tt.participant != nil && !slices.Equal(tt.participant.calls, tt.calls) {
		t.Errorf("calls to the fleet %+v, want %+v", tt.participant.calls, tt.calls)
	}
}
