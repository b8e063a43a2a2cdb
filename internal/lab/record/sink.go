package record

// Sink takes events in the order of their times. An event holds until Record returns.
type Sink interface {
	Record(e *Event)
}

// Sinks hands each event to several sinks in turn.
type Sinks []Sink

// Record implements Sink.
func (s Sinks) Record(e *Event) {
	for _, sink := range s {
		sink.Record(e)
	}
}

// Tape keeps all events.
type Tape struct {
	Events []Event
}

// Record implements Sink.
func (t *Tape) Record(e *Event) {
	t.Events = append(t.Events, *e)
}
