package downstream

// connState is the state of a client connection. Its Listener's lock guards it.
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
// A dash is an event that has no effect in this state. Every state but active and closed is one without a request; a
// part of a head may have been read in each of them, which Conn.partialHead says.
type connState int

const (
	stateNew       connState = iota // accepted, and no request was read
	stateIdle                       // its requests are answered, and another one may come
	stateActive                     // a request was read and is not answered
	stateRetiring                   // its reader closes it unless bytes wait
	stateLingering                  // its final response was sent, and it is read to the client's end
	stateClosed
)

// hasNoRequest reports whether a connection in this state is open and has no request to answer.
func (s connState) hasNoRequest() bool { return s != stateActive && s != stateClosed }

// connEvent is what changes the state of a connection.
type connEvent int

const (
	eventInput          connEvent = iota // bytes were read, or wait to be, that make no complete request
	eventRequestRead                     // the head of a request was read
	eventHandlerStarted                  // http.Server has read a request, or has failed to
	eventResponseSent                    // http.Server keeps the connection behind a response
	eventFinalResponse                   // a response was written behind which nothing more is served
	eventRetire                          // the connection is to end
	eventClose                           // the connection was closed
)

// transitions are the states that follow each event, by state. Events that have no effect in a state are not there.
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
		stateActive:    stateActive, // its response ends it
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

// nextState returns the state that follows an event, and whether the event has an effect in this state. used says
// whether the connection has ever had a request: one that goes on after all was new or idle before.
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
