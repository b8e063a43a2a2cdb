package membership

// MessageKind is a kind of message.
type MessageKind uint8

// The kinds of messages.
const (
	Ping    MessageKind = iota + 1 // asks for an Ack
	Ack                            // answers the Ping of the same Seq
	PingReq                        // asks for an indirect probe: ping Target and pass its Ack on
	Nack                           // answers a PingReq: Target has not acknowledged so far
)

// Message is one message of the protocol. Members whose state travels with it are not part of it.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	Seq  uint64      `cbor:"2,keyasint"`
	// Target is the name of the member that a Ping is for, or that a PingReq asks to be pinged. The member at the
	// address answers a Ping without one.
	Target        string `cbor:"3,keyasint,omitempty"`
	TargetAddress string `cbor:"4,keyasint,omitempty"` // PingReq only
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      string // an address
	Message Message
}

// Change is an update of what this member holds of another one, or of its own name.
type Change struct {
	Member   Member
	Previous Member // its State is no valid one where the member was not known
	// Superseded is set where a later process has taken this member's own name: Member is that process.
	Superseded bool
}
