package membership

// MessageKind is the type of a Message.
type MessageKind uint8

// The message types.
const (
	Ping    MessageKind = iota + 1 // requests an Ack
	Ack                            // acknowledges the Ping with the same Seq
	PingReq                        // requests an indirect probe: the receiver pings Target and forwards its Ack
	Nack                           // responds to a PingReq: Target has not acknowledged yet
)

// Message is one message of the protocol. Piggybacked member states are not part of it.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	Seq  uint64      `cbor:"2,keyasint"`
	// Target is the name of the member to which a Ping is addressed, or that the receiver of a PingReq is to ping. A
	// Ping without a Target is acknowledged by whichever member has the destination address.
	Target        string `cbor:"3,keyasint,omitempty"`
	TargetAddress string `cbor:"4,keyasint,omitempty"` // PingReq only
}

// Outgoing is a message to send.
type Outgoing struct {
	To      string // destination address
	Message Message
}

// Change is a change of the state that this member holds for another one, or the loss of its own name.
type Change struct {
	Member   Member
	Previous Member // its State is invalid if the member was unknown before
	// Superseded is set if a later process has taken over this member's own name. Member is that process.
	Superseded bool
}
