package wire

import (
	"bufio"
	"io"
	"strconv"
	"time"

	"milletramp.example/milletramp/balance"
)

// noInstance is the number of no instance.
const noInstance = -1

// Writer writes the actions of many instances to one reply after another. Errors of the output are kept until
// FinishReply. It is not safe for concurrent use.
type Writer struct {
	output          *bufio.Writer
	line            []byte
	currentInstance int // the one that the latest SPEAKING line of this reply names
}

// NewWriter returns a Writer to output.
func NewWriter(output io.Writer) *Writer {
	return &Writer{output: bufio.NewWriterSize(output, bufferSize), currentInstance: noInstance}
}

// Send writes that an attempt begins. A timeout of 0 lasts until the client gives up.
func (w *Writer) Send(instance int, id balance.RequestID, endpoint string, timeout time.Duration) {
	w.beginAction(instance, "FORWARD")
	w.appendUint(uint64(id))
	w.appendText(endpoint)
	w.appendSeconds(timeout)
	w.endAction()
}

// Cancel writes that an attempt is cancelled.
func (w *Writer) Cancel(instance int, id balance.RequestID, attempt int) {
	w.beginAction(instance, "DROP_ATTEMPT")
	w.appendUint(uint64(id))
	w.appendUint(uint64(attempt))
	w.endAction()
}

// Reject writes that a request is rejected without effect, with a Retry-After; 0 gives no advice.
func (w *Writer) Reject(instance int, id balance.RequestID, retryAfter time.Duration) {
	w.beginAction(instance, "NOT_NOW")
	w.appendUint(uint64(id))
	w.appendSeconds(retryAfter)
	w.endAction()
}

// Fail writes that a request has failed. It may have had an effect.
func (w *Writer) Fail(instance int, id balance.RequestID) {
	w.beginAction(instance, "END_FAILED")
	w.appendUint(uint64(id))
	w.endAction()
}

// Timer writes a request for a Timer event with the token.
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

// Log writes a line of the report.
func (w *Writer) Log(instance int, text string) {
	w.beginAction(instance, "JOURNAL_LINE")
	w.appendText(text)
	w.endAction()
}

// FinishReply ends and flushes the reply, and returns the first error of the output.
func (w *Writer) FinishReply() error {
	_, _ = w.output.WriteString("END\n") // the buffer keeps an error and returns it from Flush
	w.currentInstance = noInstance
	return w.output.Flush()
}

// beginAction starts the line of an action, after a SPEAKING line if the instance differs from the last one.
func (w *Writer) beginAction(instance int, name string) {
	w.line = w.line[:0]
	if instance != w.currentInstance {
		w.line = append(w.line, "SPEAKING"...)
		w.line = append(w.line, fieldSeparator)
		w.line = strconv.AppendInt(w.line, int64(instance), 10)
		w.line = append(w.line, '\n')
		w.currentInstance = instance
	}
	w.line = append(w.line, name...)
}

func (w *Writer) appendUint(n uint64) {
	w.line = append(w.line, fieldSeparator)
	w.line = strconv.AppendUint(w.line, n, 10)
}

func (w *Writer) appendText(text string) {
	w.line = append(w.line, fieldSeparator)
	w.line = append(w.line, text...)
}

// appendSeconds appends a duration in the protocol's resolution of microseconds.
func (w *Writer) appendSeconds(d time.Duration) {
	w.line = append(w.line, fieldSeparator)
	w.line = strconv.AppendFloat(w.line, float64(d.Microseconds())/microsPerSecond, 'f', -1, 64)
}

// endAction ends the line. The buffer keeps an error and returns it from Flush.
func (w *Writer) endAction() { _, _ = w.output.Write(append(w.line, '\n')) }
