package wire

import (
	"bufio"
	"io"
	"strconv"
	"time"

	"milletramp.example/milletramp/balance"
)

// noInstance means that no instance is selected.
const noInstance = -1

// Writer encodes the actions of many instances into a sequence of replies. It keeps output errors until FinishReply. It
// is not safe for concurrent use.
type Writer struct {
	output          *bufio.Writer
	line            []byte
	currentInstance int // instance of the latest SPEAKING line in this reply
}

// NewWriter returns a Writer that writes to output.
func NewWriter(output io.Writer) *Writer {
	return &Writer{output: bufio.NewWriterSize(output, bufferSize), currentInstance: noInstance}
}

// Send writes the start of an attempt. A timeout of 0 means that only the deadline of the request applies.
func (w *Writer) Send(instance int, id balance.RequestID, endpoint string, timeout time.Duration) {
	w.beginAction(instance, "FORWARD")
	w.appendUint(uint64(id))
	w.appendText(endpoint)
	w.appendSeconds(timeout)
	w.endAction()
}

// Cancel writes the cancellation of an attempt.
func (w *Writer) Cancel(instance int, id balance.RequestID, attempt int) {
	w.beginAction(instance, "DROP_ATTEMPT")
	w.appendUint(uint64(id))
	w.appendUint(uint64(attempt))
	w.endAction()
}

// Reject writes the rejection of a request that has had no effect. A retryAfter of 0 means no Retry-After.
func (w *Writer) Reject(instance int, id balance.RequestID, retryAfter time.Duration) {
	w.beginAction(instance, "NOT_NOW")
	w.appendUint(uint64(id))
	w.appendSeconds(retryAfter)
	w.endAction()
}

// Fail writes the failure of a request, which may have had an effect.
func (w *Writer) Fail(instance int, id balance.RequestID) {
	w.beginAction(instance, "END_FAILED")
	w.appendUint(uint64(id))
	w.endAction()
}

// Timer writes a request for a Timer event with the given token after a delay.
func (w *Writer) Timer(instance int, after time.Duration, token uint64) {
	w.beginAction(instance, "AFTER")
	w.appendSeconds(after)
	w.appendUint(token)
	w.endAction()
}

// Subscribe writes a subscription to changes of the endpoint list.
func (w *Writer) Subscribe(instance int) {
	w.beginAction(instance, "TAIL")
	w.appendUint(1)
	w.endAction()
}

// Log writes a log line.
func (w *Writer) Log(instance int, text string) {
	w.beginAction(instance, "JOURNAL_LINE")
	w.appendText(text)
	w.endAction()
}

// FinishReply ends and flushes the reply. It returns the first output error.
func (w *Writer) FinishReply() error {
	_, _ = w.output.WriteString("END\n") // bufio.Writer returns a write error from Flush
	w.currentInstance = noInstance
	return w.output.Flush()
}

// beginAction starts the line of an action. If the instance has changed, it writes a SPEAKING line before it.
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

// appendSeconds appends a duration in seconds, with the protocol's resolution of 1 µs.
func (w *Writer) appendSeconds(d time.Duration) {
	w.line = append(w.line, fieldSeparator)
	w.line = strconv.AppendFloat(w.line, float64(d.Microseconds())/microsPerSecond, 'f', -1, 64)
}

// endAction writes the line to the output. bufio.Writer returns a write error from Flush.
func (w *Writer) endAction() { _, _ = w.output.Write(append(w.line, '\n')) }
