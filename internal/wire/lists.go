package wire

import (
	"errors"
	"fmt"
	"io"

	"milletramp.example/milletramp/balance"
)

// defaultWeight is the weight of an entry without a weight field.
const defaultWeight = 1

var listKinds = map[string]balance.ListKind{
	"all":        balance.ListFull,
	"changes":    balance.ListChanges,
	"remembered": balance.ListRemembered,
	"refused":    balance.ListRefused,
}

var endpointStates = map[string]balance.State{
	"healthy":      balance.Ready,
	"cordoned":     balance.Draining,
	"deregistered": balance.Removed,
}

// parseEndpoints parses ENDPOINTS: list number, mode, version. A refused call has no list.
func (r *Reader) parseEndpoints() error {
	e := &r.event
	e.Entries = nil
	if len(r.fields) < 3 {
		r.fieldErr = errors.New("too few fields")
		return r.lineErr()
	}
	kind, known := listKinds[string(r.fields[2])]
	if !known {
		r.fail(2, "a known list mode")
		return r.lineErr()
	}
	e.ListKind = kind
	if kind != balance.ListRefused {
		e.Entries = r.lists[r.listNumber(1)]
	}
	return r.lineErr()
}

// parseList parses DEFINE_LIST: list number, number of entries. One line per entry follows.
func (r *Reader) parseList() error {
	number := r.listNumber(1)
	size := r.integer(2)
	if err := r.lineErr(); err != nil {
		return err
	}
	list := r.lists[number][:0]
	for range size {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // io.EOF means the end of input between messages
		}
		if err != nil {
			return fmt.Errorf("list of %d entries is truncated: %w", size, err)
		}
		entry, err := r.parseEntry(line)
		if err != nil {
			return err
		}
		list = append(list, entry)
	}
	r.lists[number] = list
	return nil
}

// parseEntry parses ITEM: server, zone, kind, pod group, state, weight, start time.
func (r *Reader) parseEntry(line []byte) (balance.Endpoint, error) {
	r.splitFields(line)
	if string(r.fields[0]) != "ITEM" {
		return balance.Endpoint{}, fmt.Errorf("expected ITEM, got %q", r.fields[0])
	}
	entry := balance.Endpoint{
		ID:       r.text(1),
		Zone:     r.text(2),
		Kind:     r.text(3),
		PodGroup: int(r.optionalUint64(4)),
		Weight:   defaultWeight,
	}
	if entry.ID == "" {
		r.fail(1, "a server ID")
	}
	entry.State = r.state(5)
	if !r.isAbsent(6) {
		entry.Weight = r.float64(6)
	}
	if !r.isAbsent(7) {
		entry.Started = r.duration(7)
	}
	return entry, r.lineErr()
}

func (r *Reader) state(i int) balance.State {
	state, known := endpointStates[r.text(i)]
	if !known {
		r.fail(i, "a known endpoint state")
	}
	return state
}

func (r *Reader) listNumber(i int) int {
	n := r.integer(i)
	if n >= maxLists {
		r.fail(i, "a list number from 0 to 15")
		return 0
	}
	return n
}
