package tcp

import (
	"syscall"
	"time"
)

// aheadReadBytes is the largest number of bytes that ReadAhead reads at once.
const aheadReadBytes = 8 << 10

// receive reads bytes for the HTTP server, first those that are held.
func (c *ServedConn) receive(buffer []byte) (int, error) {
	if c.Requests.Held() > 0 {
		return c.Requests.Take(buffer), nil
	}
	count, err := c.LingeringConn.Read(buffer)
	if count > 0 {
		count = c.Requests.Keep(buffer[:count])
	}

	return count, err
}

// ReadAhead reads bytes that follow the request being handled and holds them. It must
// not be called unless Await has returned Readable. It reports whether there were any.
func (c *ServedConn) ReadAhead(atMost int) bool {
	buffer := make([]byte, min(atMost, aheadReadBytes))
	count, err := c.LingeringConn.Read(buffer)
	c.Requests.Add(buffer[:count])

	return count > 0 && err == nil
}

// Await waits until the connection is readable or closed. It returns Idle when EndAwait
// or a read deadline ends the wait.
func (c *ServedConn) Await() State {
	raw, err := c.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Idle
	err = raw.Read(func(descriptor uintptr) bool {
		state = peekDescriptor(int(descriptor))

		return state != Idle
	})
	if err != nil {
		return Idle // a closed connection is noticed when it is read
	}

	return state
}

// EndAwait ends an Await of another goroutine. ResetAwait must follow when it has
// returned.
func (c *ServedConn) EndAwait() {
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, which ends the wait too
}

// ResetAwait allows reading after EndAwait.
func (c *ServedConn) ResetAwait() {
	_ = c.SetReadDeadline(time.Time{}) // as above
}

var _ syscall.Conn = (*ServedConn)(nil)
