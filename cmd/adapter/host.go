package main

import (
	"errors"
	"fmt"
	"io"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/wire"
)

// noInstance is the value of host.selected until a batch selects an instance.
const noInstance = -1

// host owns the running instances and the state of the current batch.
type host struct {
	writer    *wire.Writer
	instances map[int]*instance
	now       balance.Time // time of the current batch
	selected  int          // number of the instance that the next events concern
}

// run processes batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	h := &host{
		writer:    wire.NewWriter(out),
		instances: map[int]*instance{},
		selected:  noInstance,
	}
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(event); err != nil {
			return err
		}
	}
}

// handle processes one event. Events for a running instance are dispatched to it.
func (h *host) handle(event *wire.Event) error {
	switch event.Kind {
	case wire.BatchStart:
		h.now = event.Now
		h.selected = noInstance
	case wire.BatchEnd:
		if err := h.writer.FinishReply(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	case wire.SelectInstance:
		h.selected = event.Instance
	case wire.StartInstance:
		return h.start(event)
	case wire.StopInstance:
		delete(h.instances, h.selected)
	default:
		return h.dispatch(event)
	}
	return nil
}

// start starts the selected instance. It replaces an instance that already runs under this number.
func (h *host) start(event *wire.Event) error {
	started, err := newInstance(h.selected, h.writer, event)
	if err != nil {
		return fmt.Errorf("instance %d: %w", h.selected, err)
	}
	h.instances[h.selected] = started
	return nil
}

// dispatch passes an event to the selected instance.
func (h *host) dispatch(event *wire.Event) error {
	selected, running := h.instances[h.selected]
	if !running {
		return fmt.Errorf("event for instance %d, which is not running", h.selected)
	}
	if err := selected.handle(h.now, event); err != nil {
		return fmt.Errorf("instance %d: %w", h.selected, err)
	}
	return nil
}
