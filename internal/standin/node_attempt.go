package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/servermodel"
)

const (
	healthPath        = "/healthz"
	malformedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nspoilt"
)

// nodeAttempt is one attempt at a request that has reached a node.
type nodeAttempt struct {
	node    *Node
	request uint64
	number  uint8 // of the request's attempts
	info    RequestInfo
	fresh   bool                     // it is the first on its connection
	ended   chan servermodel.Outcome // the model's, once the work is done
}

// ServeHTTP implements http.Handler.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == healthPath {
		return
	}
	id, err := strconv.ParseUint(r.Header.Get("X-Request-ID"), 16, 64)
	info, registered := n.requests.Lookup(id)
	began, fresh, ok := n.beginRequest(r)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	a := &nodeAttempt{node: n, request: id, number: n.requests.nextAttempt(id), info: info, fresh: fresh}
	a.recordArrival(sidecarOf(r), began)
	if err != nil || !registered {
		http.Error(w, "no client sent this", http.StatusBadRequest)
		return
	}
	a.serve(w, r)
}

// beginRequest returns when the first byte of a request came and whether it is the first on its connection. It returns
// false if the process has been killed.
func (n *Node) beginRequest(r *http.Request) (began time.Duration, fresh, ok bool) {
	c, _ := r.Context().Value(connContextKey{}).(net.Conn)
	n.mu.Lock()
	defer n.mu.Unlock()
	tracked := n.conns[c]
	if tracked == nil || n.killed {
		return 0, false, false
	}
	fresh = tracked.fresh
	tracked.fresh = false
	return tracked.requestBegan, fresh, true
}

// event is an event of this attempt at the node.
func (a *nodeAttempt) event(kind record.Kind) record.Event {
	return record.Event{Kind: kind, Request: a.request, Attempt: a.number, Node: a.node.Number}
}

func (a *nodeAttempt) recordArrival(sidecar int32, began time.Duration) {
	sent := a.event(record.Sent)
	sent.At = began
	sent.Sidecar = sidecar
	a.node.log.Add(sent)
	arrived := a.event(record.Arrived)
	arrived.Sidecar = sidecar
	arrived.Work = a.info.Work
	arrived.Effect = a.request
	a.node.log.Add(arrived)
}

func (a *nodeAttempt) recordEnd(status record.Status) {
	ended := a.event(record.AttemptEnded)
	ended.Status = status
	a.node.log.Add(ended)
}

// serve lets the model decide on the attempt, and writes its response.
func (a *nodeAttempt) serve(w http.ResponseWriter, r *http.Request) {
	a.ended = make(chan servermodel.Outcome, 1)
	job := &servermodel.Job{Work: a.info.Work, Owner: a.ended}
	admission, model := a.offer(job)
	switch admission {
	case servermodel.Rejected:
		a.reject(w)
		return
	case servermodel.Lost:
		<-r.Context().Done()
		a.recordEnd(record.Cancelled)
		panic(http.ErrAbortHandler)
	case servermodel.Deduplicated:
		a.node.log.Add(a.event(record.Deduplicated))
	default:
		a.node.log.Add(a.event(record.Ran))
	}
	select {
	case outcome := <-a.ended:
		a.respond(w, outcome, job.Work)
	case <-r.Context().Done():
		a.cancel(model, job)
		a.recordEnd(record.Cancelled)
		panic(http.ErrAbortHandler)
	}
}

// offer gives the attempt's job to the model, and returns the admission with that model.
func (a *nodeAttempt) offer(job *servermodel.Job) (servermodel.Admission, *servermodel.Server) {
	arrival := servermodel.Arrival{Class: a.info.Class, Key: a.info.Key, Effect: a.info.Effect}
	if a.fresh {
		arrival.HandshakeWork = a.node.handshakeWork
	}
	n := a.node
	n.mu.Lock()
	defer n.mu.Unlock()
	admission := n.model.Arrive(n.log.Now(), job, arrival)
	n.advance()
	return admission, n.model
}

// cancel ends the work of a cancelled attempt, if the node does so and its process is still the one that has the job.
func (a *nodeAttempt) cancel(model *servermodel.Server, job *servermodel.Job) {
	n := a.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopsOnCancel && n.model == model {
		model.Cancel(n.log.Now(), job)
		n.advance()
	}
}

// reject writes that the request has not run.
func (a *nodeAttempt) reject(w http.ResponseWriter) {
	replied := a.event(record.Replied)
	replied.Status = record.Rejected
	a.node.log.Add(replied)
	a.recordEnd(record.Rejected)
	w.Header().Set("X-Not-Processed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respond records and writes the response to an attempt whose work is done.
func (a *nodeAttempt) respond(w http.ResponseWriter, outcome servermodel.Outcome, work float64) {
	replied := a.event(record.Replied)
	replied.Token = a.node.requests.NextToken()
	replied.Work = work
	if outcome != servermodel.Succeeded {
		replied.Status = record.Failed
	}
	a.node.log.Add(replied)
	writeResponse(w, outcome, replied.Token)
	a.recordEnd(replied.Status)
}

// writeResponse writes the response for how the model ended a request.
func writeResponse(w http.ResponseWriter, outcome servermodel.Outcome, token uint64) {
	switch outcome {
	case servermodel.Failed:
		http.Error(w, "error", http.StatusInternalServerError)
	case servermodel.Malformed:
		writeMalformed(w)
	default:
		body := fmt.Sprintf("%s%d", responsePrefix, token)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
}

// writeMalformed writes a response with two lengths, and closes the connection.
func writeMalformed(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, malformedResponse)
	_ = c.Close()
}
