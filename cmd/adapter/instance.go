package main

import (
	"fmt"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/wire"
)

// noTenant is the tenant index of a request without a known tenant.
const noTenant = -1

// instance is one simulated sidecar. It implements the Actions of its Balancer by writing them to the reply.
type instance struct {
	number   int
	writer   *wire.Writer
	names    *wire.Names
	balancer *balance.Balancer
}

// newInstance returns an instance with the settings of a StartInstance event.
func newInstance(number int, writer *wire.Writer, event *wire.Event) (*instance, error) {
	i := &instance{number: number, writer: writer, names: event.Names}
	var err error
	if i.balancer, err = balance.New(event.Settings, i); err != nil {
		return nil, err
	}
	return i, nil
}

// handle passes an event to the Balancer.
func (i *instance) handle(now balance.Time, event *wire.Event) error {
	switch event.Kind {
	case wire.Endpoints:
		i.balancer.Endpoints(now, event.ListKind, event.Entries)
	case wire.Request:
		return i.request(now, event)
	case wire.ResponseStarted:
		i.balancer.ResponseStarted(now, event.ID, event.Attempt)
	case wire.Result:
		i.balancer.Result(now, event.Result)
	case wire.ClientDisconnected:
		i.balancer.ClientGone(now, event.ID)
	case wire.Timer:
		i.balancer.Timer(now, event.Token)
	}
	return nil
}

// request passes a client's request to the Balancer, with the indexes of its class and tenant.
func (i *instance) request(now balance.Time, event *wire.Event) error {
	class, known := i.names.Class[event.Class]
	if !known {
		return fmt.Errorf("request of unknown class %q", event.Class)
	}
	tenant, known := i.names.Tenant[event.Tenant]
	if !known {
		tenant = noTenant
	}
	i.balancer.Request(now, balance.Request{
		ID:      event.ID,
		Class:   class,
		Tenant:  tenant,
		Timeout: event.Timeout,
		Retry:   event.Retry,
	})
	return nil
}

// Send implements balance.Actions, as do the methods after it. It ignores the time limit for the start of the attempt,
// which the protocol cannot express, and sets no timeout.
func (i *instance) Send(id balance.RequestID, endpoint string, _ time.Duration) {
	i.writer.Send(i.number, id, endpoint, 0)
}

// SetSendTimeout does nothing: the protocol cannot express it, and an attempt has left once its connection is there.
func (i *instance) SetSendTimeout(balance.RequestID, int, time.Duration) {}

func (i *instance) Cancel(id balance.RequestID, attempt int) {
	i.writer.Cancel(i.number, id, attempt)
}

func (i *instance) Reject(id balance.RequestID, retryAfter time.Duration) {
	i.writer.Reject(i.number, id, retryAfter)
}

// Fail ends a request as failed.
func (i *instance) Fail(id balance.RequestID) {
	i.writer.Fail(i.number, id)
}

// Timer requests a Timer event with the token after the given time.
func (i *instance) Timer(after time.Duration, token uint64) {
	i.writer.Timer(i.number, after, token)
}

// Subscribe subscribes to the changes of discovery.
func (i *instance) Subscribe() {
	i.writer.Subscribe(i.number)
}

// Log writes a log line.
func (i *instance) Log(text string) {
	i.writer.Log(i.number, text)
}
