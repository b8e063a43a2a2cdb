package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"milletramp.example/milletramp/balance"
)

const (
	bufferSize     = 1 << 16 // bytes, of input and of output
	fieldSeparator = '\t'
	maxLists       = 16 // numbers that lists of endpoints may have
)

// attributeRetry is the bit of a request's attributes that marks a client's retry.
const attributeRetry = 2

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	input      *bufio.Reader
	longLine   []byte // a line that exceeds the input's buffer
	lineNumber int
	event      Event
	fields     [][]byte // of the current line
	fieldErr   error    // the first malformed field of the current line
	lists      [maxLists][]balance.Endpoint
	interned   map[string]string
}

// NewReader returns a Reader of input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, bufferSize), interned: map[string]string{}}
}

// Next returns the next event, which holds until the following call. At the end of input it returns io.EOF; other
// errors are a LineError.
func (r *Reader) Next() (*Event, error) {
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		if err != nil {
			return nil, &LineError{Line: r.lineNumber + 1, Err: err}
		}
		if len(line) == 0 {
			continue
		}
		kind, err := r.parse(line)
		if err != nil {
			return nil, &LineError{Line: r.lineNumber, Err: err}
		}
		if kind != noEvent {
			return &r.event, nil
		}
	}
}

// readLine returns the next line without its newline. It holds until the following call.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.input.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	if err != nil && (!errors.Is(err, io.EOF) || len(line) == 0) {
		return nil, err
	}
	r.lineNumber++
	return bytes.TrimSuffix(line, []byte{'\n'}), nil
}

// readLongLine returns start, which fills the input's buffer, and what follows it up to the end of the line.
func (r *Reader) readLongLine(start []byte) ([]byte, error) {
	r.longLine = append(r.longLine[:0], start...)
	for {
		part, err := r.input.ReadSlice('\n')
		r.longLine = append(r.longLine, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.longLine, err
		}
	}
}

// message is how the lines of one name are read.
type message struct {
	kind  EventKind
	parse func(*Reader) error // nil: the line has no fields of interest
}

// messages are those of the protocol by their names. Results of health checks and messages of peers are skipped, as
// the module asks for neither.
var messages = map[string]message{
	"FRAME":         {BatchStart, (*Reader).parseBatchStart},
	"YOUR_TURN":     {BatchEnd, nil},
	"SWITCH_TO":     {SelectInstance, (*Reader).parseSelectInstance},
	"OPEN_INSTANCE": {StartInstance, (*Reader).parseStartInstance},
	"STOP":          {StopInstance, nil},
	"DEFINE_LIST":   {noEvent, (*Reader).parseList},
	"ENDPOINTS":     {Endpoints, (*Reader).parseEndpoints},
	"DEMAND":        {Request, (*Reader).parseRequest},
	"ACCEPTED":      {ResponseStarted, (*Reader).parseResponseStarted},
	"RESPONSE":      {Result, (*Reader).parseResult},
	"CLIENT_LEFT":   {ClientDisconnected, (*Reader).parseClientDisconnected},
	"DUE":           {Timer, (*Reader).parseTimer},
	"STATUS_BACK":   {noEvent, nil},
	"PEER_DATA":     {noEvent, nil},
}

// parse reads one line into r.event and returns the event's kind, or noEvent if the line is none.
func (r *Reader) parse(line []byte) (EventKind, error) {
	r.splitFields(line)
	m, known := messages[string(r.fields[0])]
	if !known {
		return noEvent, fmt.Errorf("unknown message %q", r.fields[0])
	}
	r.event.Kind = m.kind
	if m.parse == nil {
		return m.kind, nil
	}
	return m.kind, m.parse(r)
}

// Each of the methods below reads the fields of one message, which its comment names in their order from field 1.

// parseBatchStart reads FRAME: clock.
func (r *Reader) parseBatchStart() error {
	r.event.Now = r.duration(1)
	return r.lineErr()
}

// parseSelectInstance reads SWITCH_TO: instance.
func (r *Reader) parseSelectInstance() error {
	r.event.Instance = r.integer(1)
	return r.lineErr()
}

// parseStartInstance reads OPEN_INSTANCE: seed, settings as key=value pairs.
func (r *Reader) parseStartInstance() error {
	seed := r.uint64(1)
	if r.fieldErr == nil {
		r.event.Settings, r.event.Names, r.fieldErr = parseSettings(seed, r.fields[2:])
	}
	return r.lineErr()
}

// parseRequest reads DEMAND: request, class, tenant, key, time left, expected work, attributes.
func (r *Reader) parseRequest() error {
	e := &r.event
	e.ID = r.requestID(1)
	e.Class = r.text(2)
	e.Tenant = r.text(3)
	e.Timeout = r.duration(5)
	e.Retry = r.optionalUint64(7)&attributeRetry != 0
	return r.lineErr()
}

// parseResponseStarted reads ACCEPTED: request, attempt, time since the attempt began, server.
func (r *Reader) parseResponseStarted() error {
	r.event.ID = r.requestID(1)
	r.event.Attempt = r.integer(2)
	return r.lineErr()
}

// parseResult reads RESPONSE: request, attempt, server, outcome, time since the attempt began, finished, load report.
func (r *Reader) parseResult() error {
	r.event.Result = balance.Result{
		ID:       r.requestID(1),
		Attempt:  r.integer(2),
		Endpoint: r.text(3),
		Outcome:  r.outcome(4),
		Took:     r.duration(5),
		Finished: r.boolean(6),
	}
	return r.lineErr()
}

// parseClientDisconnected reads CLIENT_LEFT: request.
func (r *Reader) parseClientDisconnected() error {
	r.event.ID = r.requestID(1)
	return r.lineErr()
}

// parseTimer reads DUE: token.
func (r *Reader) parseTimer() error {
	r.event.Token = r.uint64(1)
	return r.lineErr()
}
