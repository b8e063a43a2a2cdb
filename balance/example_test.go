package balance_test

import (
	"fmt"
	"time"

	"milletramp.example/milletramp/balance"
)

// printer is a host that prints the actions it is called for.
type printer struct{}

func (printer) Send(id balance.RequestID, endpoint string, _ time.Duration) {
	fmt.Println("send", id, "to", endpoint)
}
func (printer) SetSendTimeout(balance.RequestID, int, time.Duration) {}
func (printer) Cancel(id balance.RequestID, attempt int)             { fmt.Println("cancel", id, attempt) }
func (printer) Reject(id balance.RequestID, _ time.Duration)         { fmt.Println("reject", id) }
func (printer) Fail(id balance.RequestID)                            { fmt.Println("fail", id) }

func (printer) Timer(
	time.Duration,
	uint64,
) {
}                               // a real host calls Balancer.Timer when the timer expires
func (printer) Subscribe()      {}
func (printer) Log(text string) { fmt.Println(text) }

func Example() {
	b, err := balance.New(balance.Settings{
		Seed: 1, Peers: 1, Zone: "north", Service: "orders", MaxAttempts: 2,
		Classes: []balance.Class{{Name: "read", Effect: balance.Idempotent, Priority: 1,
			LatencyObjective: 200 * time.Millisecond, Deadline: time.Second}},
		Rules: []balance.Rule{{
			Name: "canary", Source: balance.Match{"service": "*"}, Service: balance.Match{"service": "orders"},
			Destinations: []balance.Destination{
				{Weight: 100, Match: balance.Match{"service": "orders", "version": "v1"}},
				{Weight: 0, Match: balance.Match{"service": "orders", "version": "v2"}},
			},
		}},
	}, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	b.Endpoints(now, balance.ListFull, []balance.Endpoint{
		{ID: "10.0.0.1:80", Zone: "north", Kind: "v1", Weight: 1},
		{ID: "10.0.0.2:80", Zone: "north", Kind: "v2", Weight: 1},
	})
	b.Request(now, balance.Request{ID: 7, Class: 0, Tenant: -1, Timeout: time.Second})
	b.Result(now+50*time.Millisecond, balance.Result{ID: 7, Attempt: 0, Endpoint: "10.0.0.1:80",
		Outcome: balance.Errored, Took: 50 * time.Millisecond})
	// Output:
	// send 7 to 10.0.0.1:80
	// reject 7
}
