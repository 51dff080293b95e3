package tcp

import (
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// minAcceptDelay is the time after the first error of Accept until the next try.
	minAcceptDelay = 5 * time.Millisecond
	// maxAcceptDelay is the longest such time, after errors in a row.
	maxAcceptDelay = 200 * time.Millisecond
)

// passingErrors are the errors of accept after which the listener still works: those
// of one connection, of the network, and of a machine or process that lacks resources
// for the moment.
var passingErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPROTO, syscall.EPERM, syscall.EINTR, syscall.EAGAIN,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
}

// passes reports whether Accept may succeed after an error.
func passes(err error) bool {
	return slices.ContainsFunc(passingErrors, func(passing error) bool { return errors.Is(err, passing) })
}

// LastingListener is a listener whose Accept returns only errors that last. After any
// other error it waits and tries again.
type LastingListener struct {
	net.Listener
	// Failed is called with each error that Accept does not return.
	Failed func(err error)

	closeOnce sync.Once
	closed    chan struct{}
}

// NewLastingListener returns a listener that takes over another one.
func NewLastingListener(listener net.Listener, failed func(err error)) *LastingListener {
	return &LastingListener{Listener: listener, Failed: failed, closed: make(chan struct{})}
}

// Accept waits for the next connection.
func (l *LastingListener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		conn, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return conn, err
		}
		l.Failed(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(delay):
		}
	}
}

// Close closes the listener and ends Accept.
func (l *LastingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })

	return l.Listener.Close()
}

// HasUnread reports whether a connection has bytes that were not read. Unlike Peek, it
// may be called while another goroutine waits for bytes of the connection.
func HasUnread(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	state := Closed
	err = raw.Control(func(descriptor uintptr) { state = peekDescriptor(int(descriptor)) })

	return err == nil && state == Readable
}
