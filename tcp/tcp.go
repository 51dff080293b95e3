// Package tcp accepts, bounds and inspects TCP connections. A ConnectionSet bounds the
// connections of a listener, a Peeker inspects one without reading from it. Change this
// package to change which connections a host accepts, keeps or gives up.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// State is the state of a connection as seen by its reader.
type State int

const (
	// Idle means that the connection is open and has no bytes to read.
	Idle State = iota
	// Readable means that there are bytes to read.
	Readable
	// Closed means that the remote side has closed the connection or its sending
	// side, or that the connection has failed.
	Closed
)

// Peek returns the state of a connection without blocking and without consuming
// bytes. A connection that is not a socket counts as Idle; one whose read deadline
// has passed counts as Closed.
func Peek(conn net.Conn) State {
	return NewPeeker(conn).Peek()
}

// Peeker inspects one connection repeatedly. Only one goroutine may use it at a
// time.
type Peeker struct {
	raw   syscall.RawConn
	peek  func(descriptor uintptr) bool
	state State
}

// NewPeeker returns a Peeker for the connection.
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

// Peek returns the state of the connection, like the function Peek.
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

// lossTimeout is the time after which a connection with unacknowledged bytes counts
// as lost. It allows several round trips between data centres and retransmissions.
const lossTimeout = 700 * time.Millisecond

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package
// syscall does not define.
const tcpUserTimeout = 18

// DetectLoss makes a connection fail when the remote side acknowledges nothing for
// lossTimeout. It can be used as the Control function of a net.Dialer.
func DetectLoss(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(lossTimeout.Milliseconds()))
	})

	return errors.Join(err, failure)
}

// RaiseWriteBuffer raises the kernel's buffer for bytes that the remote side has not
// acknowledged. It never lowers it. The kernel limits its size.
func RaiseWriteBuffer(conn *net.TCPConn, bytes int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { // fails only on a closed connection
		if size, err := syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF); err == nil && size < bytes {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bytes) // a smaller buffer works too
		}
	})
}

// TookSocketError reports whether a failed write returned the error of the socket, such as
// that of a reset. The kernel returns it only once: a read after the write returns io.EOF,
// as if the remote side had ended its stream. With EPIPE it had, because Linux reports a
// reset behind the end of the stream as EPIPE.
func TookSocketError(err error) bool {
	var number syscall.Errno

	return errors.As(err, &number) && number != syscall.EPIPE
}
