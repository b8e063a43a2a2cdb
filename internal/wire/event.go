package wire

import (
	"time"

	"milletramp.example/milletramp/balance"
)

// EventKind is the kind of an event.
type EventKind int

// The kinds of events. A batch begins with BatchStart and ends with BatchEnd. A reply is due after each BatchEnd. The
// events in a batch apply to the instance of the latest SelectInstance.
const (
	BatchStart EventKind = iota
	BatchEnd
	SelectInstance
	StartInstance
	StopInstance
	Endpoints
	Request
	ResponseStarted
	Result
	ClientDisconnected
	Timer

	noEvent EventKind = -1 // message that the Reader processes internally or skips
)

// Event is one event. Only the fields of its kind are valid; the other fields hold values of earlier events.
type Event struct {
	Kind EventKind

	// Now is the time of a BatchStart.
	Now balance.Time

	// Instance is the instance number of a SelectInstance.
	Instance int

	// Settings and Names belong to a StartInstance.
	Settings balance.Settings
	Names    *Names

	// ListKind and Entries belong to an Endpoints event. Entries is valid until its list number is redefined.
	ListKind balance.ListKind
	Entries  []balance.Endpoint

	// ID is the request ID of a Request, ResponseStarted or ClientDisconnected. Attempt is the attempt index of a
	// ResponseStarted.
	ID      balance.RequestID
	Attempt int

	// Class, Tenant, Timeout and Retry belong to a Request. Tenant is empty if the request has none.
	Class   string
	Tenant  string
	Timeout time.Duration
	Retry   bool // marked by the client as a retry

	// Result belongs to a Result event.
	Result balance.Result

	// Token belongs to a Timer.
	Token uint64
}
