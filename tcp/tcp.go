// Package tcp looks at a TCP connection without reading from it. Change this
// package to learn more about a connection before it is used or given up.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// State is what waits on a connection.
type State int

const (
	// Idle says that the connection is open and nothing waits to be read.
	Idle State = iota
	// Readable says that bytes wait to be read.
	Readable
	// Closed says that the other side closed the connection, or only its sending
	// side, or that the connection failed.
	Closed
)

// Peek returns the state of a connection at once and reads nothing from it. A
// connection that is no socket counts as quiet; one whose read deadline has
// passed counts as closed.
func Peek(conn net.Conn) State {
	return NewPeeker(conn).Peek()
}

// Peeker looks at one connection again and again. One goroutine uses it at a
// time.
type Peeker struct {
	raw   syscall.RawConn
	peek  func(descriptor uintptr) bool
	state State
}

// NewPeeker returns a peeker for the connection.
func NewPeeker(conn net.Conn) *Peeker {
	peeker := &Peeker{}
	system, ok := conn.(syscall.Conn)
	if !ok {
		return peeker
	}
	raw, err := system.SyscallConn()
	if err != nil {
		peeker.state = Closed

		return peeker
	}
	peeker.raw = raw
	peeker.peek = func(descriptor uintptr) bool {
		peeker.state = peekDescriptor(int(descriptor))

		return true
	}

	return peeker
}

// Peek returns the state of the connection as the function Peek does.
func (p *Peeker) Peek() State {
	if p.raw != nil && p.raw.Read(p.peek) != nil {
		return Closed
	}

	return p.state
}

// peekDescriptor returns the state of a socket.
func peekDescriptor(descriptor int) State {
	var buffer [1]byte
	for {
		count, _, err := syscall.Recvfrom(descriptor, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return Idle
		case err != nil || count == 0:
			return Closed
		default:
			return Readable
		}
	}
}

// lossTimeout is how long sent bytes may stay unacknowledged until a connection
// counts as lost: several round trips between data centres and retransmissions.
const lossTimeout = 700 * time.Millisecond

// tcpUserTimeout is the number of Linux's TCP_USER_TIMEOUT, which package syscall
// does not name.
const tcpUserTimeout = 18

// DetectLoss makes a connection fail when the other side acknowledges nothing.
// It fits the Control field of a net.Dialer.
func DetectLoss(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(lossTimeout.Milliseconds()))
	})

	return errors.Join(err, failure)
}
