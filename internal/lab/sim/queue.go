package sim

import "time"

// event is something due at a time. seq keeps those of one time in the order in which they were asked for, so that a
// run depends on its seed alone.
type event struct {
	at     time.Duration
	seq    uint64
	token  uint64
	a      int32
	b      int32
	kind   kind
	status uint8
	att    *attempt
	req    *request
	do     func()
}

type kind uint8

const (
	evAsk      kind = iota // the next arrival at sidecar a
	evAgain                // a client's further try: req
	evDeadline             // req's time is over
	evLeave                // req's client leaves
	evTimer                // sidecar a, life b, token
	evReach                // att's last byte reaches its node
	evBack                 // att ends for its sidecar with status and token
	evCancel               // a node learns that att is called off
	evNode                 // node a has something to do
	evTold                 // sidecar a hears from discovery
	evAct                  // act a of the plan
	evUp                   // sidecar a is up again
	evLate                 // a mutant's late answer to req
	evDo                   // do
	evNote                 // a mutant's sidecar a is told of node b, and hears later
)

// queue is a 4-ary heap of events by time, then by the order of asking.
type queue struct {
	heap []event
	seq  uint64
}

func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !before(&e, &q.heap[up]) {
			break
		}
		q.heap[i] = q.heap[up]
		i = up
	}
	q.heap[i] = e
}

func (q *queue) pop() event {
	top := q.heap[0]
	n := len(q.heap) - 1
	e := q.heap[n]
	q.heap[n] = event{}
	q.heap = q.heap[:n]
	if n == 0 {
		return top
	}
	i := 0
	for {
		least := -1
		for c := 4*i + 1; c <= 4*i+4 && c < n; c++ {
			if least < 0 || before(&q.heap[c], &q.heap[least]) {
				least = c
			}
		}
		if least < 0 || !before(&q.heap[least], &e) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = e
	return top
}

func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }
