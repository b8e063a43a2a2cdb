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

// Watch requests the changes after a revision, or the complete list if revision is below 0, and calls onUpdate with
// each list until the watch ends. It calls onUnchanged when discovery reports that nothing has changed since the last
// list or, before the first list, since that revision. It always returns an error that gives the reason why the watch
// ended.
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

// watch is the state of one call of Watch.
type watch struct {
	client       *Client
	cancel       context.CancelCauseFunc // ends the watch
	revision     int64                   // revision of the last list; below 0: no complete list has arrived yet
	splitter     jsonSplitter
	slowTimer    *time.Timer // calls the client's onSlow; nil: onSlow is not set or no complete list was requested
	silenceTimer *time.Timer // ends a watch without progress
	onUpdate     func(List)
	onUnchanged  func()
}

// startTimers starts the timeout for the first list or, if a revision is known, for a list or heartbeat.
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
		w.cancel(fmt.Errorf("%w: no data received for %v", errWatchTimeout, timeout))
	})
}

func (w *watch) stopTimers() {
	w.silenceTimer.Stop()
	if w.slowTimer != nil {
		w.slowTimer.Stop()
	}
}

// readLists reads and handles lists until the watch ends.
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
	return errors.New("watch: stream closed by discovery")
}

// handleList passes a list to onUpdate. The silence timeout replaces the timeouts for the first list.
func (w *watch) handleList(list List) {
	w.revision = list.Revision
	w.stopTimers()
	w.silenceTimer = w.endAfter(w.client.silenceTimeout)
	w.onUpdate(list)
}

// handleProgress handles bytes that were just read. White space outside a list is a heartbeat, which reports that
// nothing has changed. Bytes do not count as progress before the first list of a watch that requested the complete
// list, or within a list that takes longer than listTimeout.
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

// progressReader is an io.Reader that passes the bytes of each read to onRead.
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
