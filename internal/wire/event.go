package wire

import (
	"time"

	"milletramp.example/milletramp/balance"
)

// EventKind is the kind of an event.
type EventKind int

// The kinds of events. A batch begins with BatchStart and ends with BatchEnd, after which a reply is due. The events
// between them concern the instance of the latest SelectInstance.
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

	noEvent EventKind = -1 // of a message that the Reader keeps to itself or skips
)

// Event is one event. Only the fields of its kind are set; the others hold values of earlier events.
type Event struct {
	Kind EventKind

	// Now is the clock of a BatchStart.
	Now balance.Time

	// Instance is the number that a SelectInstance names.
	Instance int

	// Settings and Names are those of a StartInstance.
	Settings balance.Settings
	Names    *Names

	// ListKind and Entries are those of an Endpoints event. The entries hold until the list's number is defined anew.
	ListKind balance.ListKind
	Entries  []balance.Endpoint

	// ID is the request of a Request, AnswerStarted or ClientGone, and Attempt the attempt of an AnswerStarted.
	ID      balance.RequestID
	Attempt int

	// Class, Tenant, Timeout and Retry describe a Request. Tenant is empty where it has none.
	Class   string
	Tenant  string
	Timeout time.Duration
	Retry   bool // the client marks it as a retry

	// Result is that of a Result event.
	Result balance.Result

	// Token is that of a Timer.
	Token uint64
}
