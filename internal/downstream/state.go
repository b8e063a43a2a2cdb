package downstream

// connState is the state of a client connection. The lock of its Listener guards it. The table shows the next state for
// each event and state.
//
//	event            new       idle      active     retiring     lingering  closed
//	input            new       idle      active     new or idle  lingering  -
//	request read     active    active    active     active       active     -
//	handler started  active    active    active     retiring     active     -
//	response sent    -         -         idle       -            -          -
//	final response   -         -         lingering  -            -          -
//	retire           retiring  retiring  active     -            closed     -
//	close            closed    closed    closed     closed       closed     -
//
// A dash means that the event has no effect in this state. In every state except active and closed, the connection has
// no request, but a part of a head may have been read (see Conn.partialHead).
type connState int

const (
	stateNew       connState = iota // accepted, no request was read
	stateIdle                       // all responses were sent, another request may follow
	stateActive                     // a request was read, its response was not sent
	stateRetiring                   // its reader closes it unless unread bytes have arrived
	stateLingering                  // its final response was sent, it is read until the client closes it
	stateClosed
)

// hasNoRequest reports whether a connection in this state is open and has no request without a response.
func (s connState) hasNoRequest() bool { return s != stateActive && s != stateClosed }

// connEvent is an event that may change the state of a connection.
type connEvent int

const (
	eventInput          connEvent = iota // bytes were read or can be read, not necessarily a complete head
	eventRequestRead                     // the head of a request was read
	eventHandlerStarted                  // http.Server has read a request, or failed to read one
	eventResponseSent                    // http.Server reported http.StateIdle after a response
	eventFinalResponse                   // a response was written and no further request is served
	eventRetire                          // the connection is to be closed
	eventClose                           // the connection was closed
)

// transitions maps each event and state to the next state. Events without an effect in a state are absent.
var transitions = map[connEvent]map[connState]connState{
	eventInput: {
		stateNew:       stateNew,
		stateIdle:      stateIdle,
		stateActive:    stateActive,
		stateRetiring:  stateIdle, // or new: see nextState
		stateLingering: stateLingering,
	},
	eventRequestRead: {
		stateNew:       stateActive,
		stateIdle:      stateActive,
		stateActive:    stateActive,
		stateRetiring:  stateActive,
		stateLingering: stateActive,
	},
	eventHandlerStarted: {
		stateNew:       stateActive,
		stateIdle:      stateActive,
		stateActive:    stateActive,
		stateRetiring:  stateRetiring,
		stateLingering: stateActive,
	},
	eventResponseSent:  {stateActive: stateIdle},
	eventFinalResponse: {stateActive: stateLingering},
	eventRetire: {
		stateNew:       stateRetiring,
		stateIdle:      stateRetiring,
		stateActive:    stateActive, // closed after its response
		stateLingering: stateClosed,
	},
	eventClose: {
		stateNew:       stateClosed,
		stateIdle:      stateClosed,
		stateActive:    stateClosed,
		stateRetiring:  stateClosed,
		stateLingering: stateClosed,
	},
}

// nextState returns the next state after an event, and whether the event has an effect in this state. used is
// Conn.used; it determines whether a retiring connection with new input becomes new or idle again.
func nextState(state connState, event connEvent, used bool) (next connState, ok bool) {
	next, ok = transitions[event][state]
	if !ok {
		return state, false
	}
	if state == stateRetiring && next == stateIdle && !used {
		return stateNew, true
	}
	return next, true
}
