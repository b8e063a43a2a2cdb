package wire

import (
	"bufio"
	"io"
	"strconv"
	"time"

	"milletramp.example/milletramp/balance"
)

// Writer writes the actions of many instances. Errors are kept and returned by End.
type Writer struct {
	output          *bufio.Writer
	line            []byte
	currentInstance int // the instance whose actions are being written; -1: none yet
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{output: bufio.NewWriterSize(out, 1<<16), currentInstance: -1}
}

// beginAction starts an action's line.
func (w *Writer) beginAction(instance int, name string) {
	w.line = w.line[:0]
	if instance != w.currentInstance {
		w.line = append(w.line, "SPEAKING\t"...)
		w.line = strconv.AppendInt(w.line, int64(instance), 10)
		w.line = append(w.line, '\n')
		w.currentInstance = instance
	}
	w.line = append(w.line, name...)
}

func (w *Writer) appendUint(n uint64) {
	w.line = strconv.AppendUint(append(w.line, '\t'), n, 10)
}

func (w *Writer) appendText(s string) { w.line = append(append(w.line, '\t'), s...) }

// appendSeconds writes a time in the wire's resolution of microseconds.
func (w *Writer) appendSeconds(d time.Duration) {
	w.line = strconv.AppendFloat(append(w.line, '\t'), float64(d.Microseconds())/1e6, 'f', -1, 64)
}

// endAction writes the line out; the error, if any, stays with the buffer until the reply's flush.
func (w *Writer) endAction() { _, _ = w.output.Write(append(w.line, '\n')) }

// Send writes an attempt.
func (w *Writer) Send(instance int, id balance.RequestID, endpoint string, timeout time.Duration) {
	w.beginAction(instance, "FORWARD")
	w.appendUint(uint64(id))
	w.appendText(endpoint)
	w.appendSeconds(timeout)
	w.endAction()
}

// Cancel writes the end of interest in an attempt.
func (w *Writer) Cancel(instance int, id balance.RequestID, attempt int) {
	w.beginAction(instance, "DROP_ATTEMPT")
	w.appendUint(uint64(id))
	w.appendUint(uint64(attempt))
	w.endAction()
}

// Reject writes a refusal.
func (w *Writer) Reject(instance int, id balance.RequestID, after time.Duration) {
	w.beginAction(instance, "NOT_NOW")
	w.appendUint(uint64(id))
	w.appendSeconds(after)
	w.endAction()
}

// Fail writes a failure.
func (w *Writer) Fail(instance int, id balance.RequestID) {
	w.beginAction(instance, "END_FAILED")
	w.appendUint(uint64(id))
	w.endAction()
}

// Timer writes the wish for a timer event.
func (w *Writer) Timer(instance int, after time.Duration, token uint64) {
	w.beginAction(instance, "AFTER")
	w.appendSeconds(after)
	w.appendUint(token)
	w.endAction()
}

// Subscribe writes a subscription to discovery's changes.
func (w *Writer) Subscribe(instance int) {
	w.beginAction(instance, "TAIL")
	w.appendUint(1)
	w.endAction()
}

// Log writes a report line.
func (w *Writer) Log(instance int, text string) {
	w.beginAction(instance, "JOURNAL_LINE")
	w.appendText(text)
	w.endAction()
}

// FinishReply closes and flushes the reply.
func (w *Writer) FinishReply() error {
	_, _ = w.output.WriteString("END\n")
	w.currentInstance = -1
	return w.output.Flush()
}
