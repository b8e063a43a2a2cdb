package netretry

import "golang.org/x/sys/unix"

// recvfromFunc has the signature of unix.Recvfrom.
type recvfromFunc func(fd int, p []byte, flags int) (int, unix.Sockaddr, error)

// pollFunc has the signature of unix.Poll.
type pollFunc func(fds []unix.PollFd, timeout int) (int, error)

// Peek returns how many bytes can be read from a socket, counting at most one. It neither waits nor consumes any. For
// an open connection with nothing to read it returns EAGAIN.
func Peek(fd int) (n int, err error) { return peek(fd, unix.Recvfrom) }

func peek(fd int, receive recvfromFunc) (n int, err error) {
	var first [1]byte
	err = RetryOnEINTR(func() error {
		n, _, err = receive(fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err
	})
	return n, err
}

// Poll returns which of the events a file has now, and POLLHUP and POLLERR if it has them. It does not wait.
func Poll(fd int, events int16) (int16, error) { return poll(fd, events, unix.Poll) }

func poll(fd int, events int16, call pollFunc) (int16, error) {
	state := []unix.PollFd{{Fd: int32(fd), Events: events}}
	err := RetryOnEINTR(func() error {
		_, err := call(state, 0)
		return err
	})
	return state[0].Revents, err
}
