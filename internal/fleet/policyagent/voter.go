package policyagent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fleet/policy"
	"milletramp.example/milletramp/internal/fleet/raftlog"
	"milletramp.example/milletramp/internal/fleet/raftnode"
)

const (
	maxQueuedEvents     = 1024                   // for the Raft node
	maxQueuedMessages   = 64                     // for one voter
	maxQueues           = 64                     // current and former voters with a message queue
	folderRetryInterval = 200 * time.Millisecond // while another process holds the lock of the folder
	maxFolderRetryDelay = 5 * time.Second        // between two attempts to open a folder after a system error
)

// faultBusy is the fault of a request that the Raft node could not accept, or did not process in time.
const faultBusy = "policy: this decider is busy"

// nodeCall is a request that is executed by the Raft node's goroutine. The fields response and lease may be read after
// done is closed. The caller may have timed out by then.
type nodeCall struct {
	request  request
	response response
	lease    chan consensus.LeaseReply // nil: no lease was requested
	done     chan struct{}
}

// serveRequest passes a request to the Raft node's goroutine and waits for the response.
func (a *Agent) serveRequest(ctx context.Context, req request) response {
	if !a.isVoter {
		return response{Fault: a.settings.Name + " is no decider"}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := &nodeCall{request: req, done: make(chan struct{})}
	select {
	case a.events <- func(now raftnode.Time) { defer close(call.done); a.execute(now, call) }:
	default:
		return response{Fault: faultBusy}
	}
	select {
	case <-call.done:
	case <-ctx.Done():
		return response{Fault: faultBusy}
	}
	if call.lease == nil {
		return call.response
	}
	return awaitLease(ctx, call)
}

// awaitLease waits until the leader has confirmed its leadership, and returns the response with the lease.
func awaitLease(ctx context.Context, call *nodeCall) response {
	resp := call.response
	select {
	case reply := <-call.lease:
		if reply.Err != nil {
			resp.Fault = reply.Err.Error()
		} else {
			resp.Lease = &reply.Grant
		}
	case <-ctx.Done():
		resp.Fault = faultBusy
	}
	return resp
}

// execute executes a request. It runs on the Raft node's goroutine.
func (a *Agent) execute(now raftnode.Time, call *nodeCall) {
	req, resp := call.request, &call.response
	resp.Leader = a.node.Leader()
	var err error
	switch {
	case req.Raft != nil:
		err = a.node.Receive(now, req.Raft)
	case req.Lease != nil:
		a.lastToken++
		call.lease = make(chan consensus.LeaseReply, 1)
		a.pendingLeases[a.lastToken] = call.lease
		a.node.RequestLease(now, a.lastToken, *req.Lease)
		resp.Voters, _ = a.node.Voters()
	case req.Propose != nil:
		err = a.node.Propose(now, *req.Propose)
	case req.Replace != nil:
		err = a.node.Replace(now, req.Replace.Outgoing, req.Replace.Incoming)
	case req.State:
		resp.State = a.voterState(now)
	default:
		lookUpLedger(a.node.Ledger(), req, resp)
	}
	if err != nil {
		resp.Fault = err.Error()
	}
}

// lookUpLedger sets the response to a request for a document or an outcome from a ledger.
func lookUpLedger(l *policy.Ledger, req request, resp *response) {
	switch {
	case l == nil:
		resp.Fault = "no consensus group yet"
	case req.Document > 0:
		d, known := l.Document(req.Document)
		if !known {
			d, known = l.Former(req.Document)
		}
		if !known {
			resp.Fault = fmt.Sprintf("no document %d", req.Document)
			return
		}
		resp.Document = &document{d.Number, d.Text}
	case req.Outcome != "":
		outcome := l.Outcome(req.Outcome)
		resp.Outcome = &outcome
	}
}

func (a *Agent) voterState(now raftnode.Time) *VoterState {
	l := a.node.Ledger()
	s := &VoterState{
		Voter:        a.settings.Name,
		Leader:       a.node.Leader(),
		Bootstrapped: l != nil,
		Standbys:     a.node.Standbys(now),
		Standby:      a.node.IsStandby(),
	}
	s.Voters, s.Settled = a.node.Voters()
	if err := a.node.Err(); err != nil {
		s.NodeError = err.Error()
	}
	if l == nil {
		return s
	}
	d := l.InForce()
	s.InForce, s.Digest, s.Outcomes = d.Number, d.Digest.String(), l.Outcomes()
	var longest time.Duration
	s.Waiting, longest = a.node.Waiting(now)
	s.WaitSeconds = longest.Round(time.Millisecond).Seconds()
	if p := l.Pending(); p != nil {
		s.Pending = &p.Outcome
	}
	return s
}

// runNode runs the Raft node until the agent is closed. It is the body of the Raft node's goroutine.
func (a *Agent) runNode() {
	folder := a.openFolder()
	if folder == nil {
		return
	}
	node, err := raftnode.New(a.now(), raftnode.Settings{
		Name:          a.settings.Name,
		Voters:        a.settings.Voters,
		InitialPolicy: a.settings.InitialPolicy,
		Terms:         a.settings.Terms,
	}, folder, a.log)
	if err != nil {
		a.log.Error("policy voter not started; this sidecar does not vote", "err", err)
		_ = folder.Close() // nothing was written, so an error loses no data
		return
	}
	a.node = node
	defer folder.Close()
	tick := time.NewTicker(consensus.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case event := <-a.events:
			event(a.now())
		case <-tick.C:
			a.node.Tick(a.now())
		}
		a.sendActions()
		if a.node.Err() != nil {
			a.failPendingLeases()
		}
	}
}

// sendActions performs the Raft node's pending actions. A message to a voter whose queue is full is dropped, as if it
// was lost on the network. Raft sends it again.
func (a *Agent) sendActions() {
	out := a.node.TakeActions()
	for _, message := range out.Send {
		select {
		case a.queueTo(message.To) <- message.Payload:
		default:
		}
	}
	for _, reply := range out.LeaseReplies {
		if lease := a.pendingLeases[reply.Token]; lease != nil {
			delete(a.pendingLeases, reply.Token)
			lease <- reply // does not block: the channel is buffered and each token has one reply
		}
	}
}

// failPendingLeases fails all pending lease requests, because the Raft node will not reply to them.
func (a *Agent) failPendingLeases() {
	for token, lease := range a.pendingLeases {
		delete(a.pendingLeases, token)
		lease <- consensus.LeaseReply{Token: token, Err: consensus.ErrNoLeader}
	}
}

// queueTo returns the message queue of a voter, or nil if there are maxQueues already. A queue and its goroutine are
// created on first use, because a voter that has replaced another is not in the operator's file.
func (a *Agent) queueTo(voter string) chan<- []byte {
	queue := a.queues[voter]
	if queue == nil && len(a.queues) < maxQueues {
		queue = make(chan []byte, maxQueuedMessages)
		a.queues[voter] = queue
		a.spawn(func() { a.sendQueued(voter, queue) })
	}
	return queue
}

// sendQueued sends the queued messages of one voter, one at a time, until the agent is closed.
func (a *Agent) sendQueued(voter string, queue <-chan []byte) {
	for {
		select {
		case <-a.ctx.Done():
			return
		case text := <-queue:
			ctx, cancel := context.WithTimeout(a.ctx, voterCallTimeout)
			if _, err := a.callChecked(ctx, voter, request{Raft: text}); err != nil {
				a.log.Debug("sending a message to a voter failed", "voter", voter, "err", err)
			}
			cancel()
		}
	}
}

// openFolder opens the voter's folder. It retries while another process has the folder open, such as the predecessor
// process during an upgrade, and after system errors. It returns nil if the agent is closed, or if the contents of the
// folder are invalid, which a retry cannot fix. In the latter case this sidecar serves requests but does not vote.
func (a *Agent) openFolder() *raftlog.Log {
	delay := folderRetryInterval
	for attempt := 0; ; attempt++ {
		folder, dropped, err := raftlog.Open(a.settings.Folder, rand.Uint64()|1)
		if err == nil {
			if dropped > 0 {
				a.log.Warn("dropped an incomplete last record of the voter's folder",
					"folder", a.settings.Folder, "bytes", dropped)
			}
			return folder
		}
		locked, errno := errors.Is(err, raftlog.ErrLocked), syscall.Errno(0)
		if !locked && !errors.As(err, &errno) {
			a.log.Error("policy voter not started; this sidecar does not vote", "err", err)
			return nil
		}
		if attempt == 0 {
			a.log.Warn("voter's folder cannot be opened; retrying", "err", err)
		}
		delay = min(2*delay, maxFolderRetryDelay)
		if locked {
			delay = folderRetryInterval
		}
		if !sleep(a.ctx, delay) {
			return nil
		}
	}
}
