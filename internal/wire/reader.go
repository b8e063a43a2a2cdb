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
	bufferSize     = 1 << 16 // size in bytes of the input buffer and of the output buffer
	fieldSeparator = '\t'
	maxLists       = 16 // endpoint lists are numbered from 0 to maxLists-1
)

// attributeRetry is the bit in the attributes of a request that marks it as a retry by the client.
const attributeRetry = 2

// Reader parses events from an input. It is not safe for concurrent use.
type Reader struct {
	input      *bufio.Reader
	longLine   []byte // a line longer than the input buffer
	lineNumber int
	event      Event
	fields     [][]byte // fields of the current line
	fieldErr   error    // error of the first malformed field of the current line
	lists      [maxLists][]balance.Endpoint
	interned   map[string]string
}

// NewReader returns a Reader that reads from input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, bufferSize), interned: map[string]string{}}
}

// Next returns the next event, which is valid until the next call. At the end of input it returns io.EOF. Any other
// error is a LineError.
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

// readLine returns the next line without its newline. The line is valid until the next call.
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

// readLongLine reads the rest of a line whose beginning, start, fills the input buffer. It returns the complete line.
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

// message describes how lines with one message name are parsed.
type message struct {
	kind  EventKind
	parse func(*Reader) error // nil if no field of the line is needed
}

// messages maps the message names of the protocol to their descriptions. Results of health checks (STATUS_BACK) and
// messages of peers (PEER_DATA) are skipped, because the Balancer requests neither.
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

// parse parses one line into r.event and returns the kind of the event, or noEvent if the line is not an event.
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

// Each method below parses the fields of one message. Its comment lists the fields in order, starting with field 1.

// parseBatchStart parses FRAME: time.
func (r *Reader) parseBatchStart() error {
	r.event.Now = r.duration(1)
	return r.lineErr()
}

// parseSelectInstance parses SWITCH_TO: instance.
func (r *Reader) parseSelectInstance() error {
	r.event.Instance = r.integer(1)
	return r.lineErr()
}

// parseStartInstance parses OPEN_INSTANCE: seed, settings as key=value pairs.
func (r *Reader) parseStartInstance() error {
	seed := r.uint64(1)
	if r.fieldErr == nil {
		r.event.Settings, r.event.Names, r.fieldErr = parseSettings(seed, r.fields[2:])
	}
	return r.lineErr()
}

// parseRequest parses DEMAND: request, class, tenant, key, time left, expected work, attributes.
func (r *Reader) parseRequest() error {
	e := &r.event
	e.ID = r.requestID(1)
	e.Class = r.text(2)
	e.Tenant = r.text(3)
	e.Timeout = r.duration(5)
	e.Retry = r.optionalUint64(7)&attributeRetry != 0
	return r.lineErr()
}

// parseResponseStarted parses ACCEPTED: request, attempt, time since the attempt began, server.
func (r *Reader) parseResponseStarted() error {
	r.event.ID = r.requestID(1)
	r.event.Attempt = r.integer(2)
	return r.lineErr()
}

// parseResult parses RESPONSE: request, attempt, server, outcome, time since the attempt began, finished, load report.
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

// parseClientDisconnected parses CLIENT_LEFT: request.
func (r *Reader) parseClientDisconnected() error {
	r.event.ID = r.requestID(1)
	return r.lineErr()
}

// parseTimer parses DUE: token.
func (r *Reader) parseTimer() error {
	r.event.Token = r.uint64(1)
	return r.lineErr()
}
