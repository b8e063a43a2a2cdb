package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Watch asks for the changes after a revision (below 0: for the complete list) and calls onUpdate with each list
// until the watch ends. It calls onUnchanged when discovery reports that nothing has changed since the last list, or
// since that revision. It always returns an error, which says why the watch ended.
func (c *Client) Watch(ctx context.Context, revision int64, onUpdate func(List), onUnchanged func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &watch{client: c, cancel: cancel, revision: revision, onUpdate: onUpdate, onUnchanged: onUnchanged}
	w.startTimers()
	defer w.stopTimers()
	body, err := c.openWatch(ctx, revision)
	if err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	defer body.Close()
	return w.readLists(ctx, body)
}

// watch is a Watch in progress.
type watch struct {
	client       *Client
	cancel       context.CancelCauseFunc // ends it
	revision     int64                   // of the last list; below 0: no list has come that was asked for as complete
	splitter     jsonSplitter
	slowTimer    *time.Timer // calls the client's onSlow; nil: nobody waits for it
	silenceTimer *time.Timer // ends a watch without progress
	onUpdate     func(List)
	onUnchanged  func()
}

// startTimers starts the wait for the first list, or for a heartbeat where a revision is known.
func (w *watch) startTimers() {
	if w.revision >= 0 {
		w.silenceTimer = w.endAfter(w.client.silenceTimeout)
		return
	}
	firstListTimeout := min(w.client.firstListTimeout, w.client.silenceTimeout)
	if w.client.onSlow == nil {
		w.silenceTimer = w.endAfter(firstListTimeout)
		return
	}
	w.slowTimer = time.AfterFunc(firstListTimeout, w.client.onSlow)
	w.silenceTimer = w.endAfter(slowListTimeout)
}

// endAfter returns a timer that ends the watch.
func (w *watch) endAfter(timeout time.Duration) *time.Timer {
	return time.AfterFunc(timeout, func() {
		w.cancel(fmt.Errorf("%w: nothing came for %v", errWatchTimeout, timeout))
	})
}

func (w *watch) stopTimers() {
	w.silenceTimer.Stop()
	if w.slowTimer != nil {
		w.slowTimer.Stop()
	}
}

// readLists reads lists up to the end of the watch.
func (w *watch) readLists(ctx context.Context, body io.Reader) error {
	scanner := bufio.NewScanner(&progressReader{body, w.handleProgress})
	scanner.Buffer(nil, maxListBytes)
	scanner.Split(w.splitter.split)
	for scanner.Scan() {
		list, err := ParseList(scanner.Bytes())
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		w.handleList(list)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	return errors.New("watch: ended")
}

// handleList handles a list, from which on silence is measured by its own timeout.
func (w *watch) handleList(list List) {
	w.revision = list.Revision
	w.stopTimers()
	w.silenceTimer = w.endAfter(w.client.silenceTimeout)
	w.onUpdate(list)
}

// handleProgress handles what was just read. White space outside a list is a heartbeat: nothing has changed. Bytes
// before the first list of a complete watch are no progress, and neither are those of a list that takes too long.
func (w *watch) handleProgress(text []byte) {
	if w.revision < 0 {
		return
	}
	if !w.splitter.inObject() && len(bytes.TrimSpace(text)) == 0 {
		w.onUnchanged()
	}
	if w.splitter.objectAge() < w.client.listTimeout {
		w.silenceTimer.Reset(w.client.silenceTimeout)
	}
}

// progressReader calls onRead with what each read returned.
type progressReader struct {
	io.Reader
	onRead func(text []byte)
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.onRead(b[:n])
	}
	return n, err
}
