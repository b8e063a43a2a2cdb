package netretry

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestPeekAndPollRetryInterruptedCalls checks that Peek and Poll repeat system calls that fail with EINTR.
func TestPeekAndPollRetryInterruptedCalls(t *testing.T) {
	interrupted := 0
	interruptTwice := func() error {
		interrupted++
		if interrupted%3 != 0 {
			return unix.EINTR
		}
		return nil
	}
	n, err := peek(0, func(int, []byte, int) (int, unix.Sockaddr, error) { return 1, nil, interruptTwice() })
	if n != 1 || err != nil {
		t.Errorf("peek: %d, error %v", n, err)
	}
	state, err := poll(0, unix.POLLRDHUP, func(fds []unix.PollFd, _ int) (int, error) {
		fds[0].Revents = 0
		if err := interruptTwice(); err != nil {
			return -1, err
		}
		fds[0].Revents = unix.POLLRDHUP
		return 1, nil
	})
	if state != unix.POLLRDHUP || err != nil || interrupted != 6 {
		t.Errorf("poll: %d, error %v after %d calls", state, err, interrupted)
	}
}
