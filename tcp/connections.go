package tcp

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/baobabdrum/baobabdrum/ring"
)

const (
	// Rejecters is the number of connections that are rejected at the same time, and of
	// those that wait for it. Others are closed without an answer.
	Rejecters = 32
	// DefaultRequestBytes is the usual size of ConnectionSet.RequestBytes.
	DefaultRequestBytes = 128 << 10
	// rejectWriteTimeout is the time for writing a rejection.
	rejectWriteTimeout = 100 * time.Millisecond
	// finishingBufferBytes is the size in bytes of the kernel's buffer for an answer when
	// the process ends soon. The kernel may allow less.
	finishingBufferBytes = 4 << 20
)

// ConnectionTimeouts bound how long a connection waits for bytes.
type ConnectionTimeouts struct {
	// Header is the time in which the head of a request must arrive.
	Header time.Duration
	// Idle is how long a connection may stay without a request.
	Idle time.Duration
}

// ConnectionEvents are called when something happens to the connections of a listener.
type ConnectionEvents struct {
	// Failed is called with each error of Accept after which the listener goes on.
	Failed func(err error)
	// Evicted is called when an idle connection is closed for a new one.
	Evicted func()
	// Rejected is called with the bound when there is no room for a connection.
	Rejected func(bound int)
}

// IgnoreConnections returns events that do nothing.
func IgnoreConnections() ConnectionEvents {
	return ConnectionEvents{Failed: func(error) {}, Evicted: func() {}, Rejected: func(int) {}}
}

// ConnectionSet holds the open connections of one listener. At its bound, the
// connection that has been idle longest is closed for a new one. The accepting duty
// and the handlers share it.
type ConnectionSet struct {
	// Bound is the largest number of connections.
	Bound int
	// RequestBytes is the largest size in bytes of a request, without the content that
	// ServedConn.Delivered counts and as much framing.
	RequestBytes int
	// Timeouts returns the timeouts in force.
	Timeouts func() ConnectionTimeouts
	// Events receives what happens to the connections.
	Events ConnectionEvents
	// DivideRequests makes the server receive one HTTP request at a time.
	DivideRequests bool

	rejecting *ring.Ring[*LingeringConn]

	mutex sync.Mutex
	open  map[*ServedConn]struct{}
	// finishing is set when the process ends soon.
	finishing bool
	// idle holds *ServedConn, that which has been idle longest first.
	idle *list.List
}

// NewConnectionSet returns an empty set. The connections for which it has no room go
// to the ring, which RunRejecter empties, or are closed if the ring is nil.
func NewConnectionSet(bound int, timeouts func() ConnectionTimeouts, events ConnectionEvents, rejecting *ring.Ring[*LingeringConn]) *ConnectionSet {
	return &ConnectionSet{
		Bound: bound, RequestBytes: DefaultRequestBytes, Timeouts: timeouts, Events: events, rejecting: rejecting, open: map[*ServedConn]struct{}{}, idle: list.New(),
	}
}

// Admit adds a connection, and reports whether there is room for it.
func (s *ConnectionSet) Admit(conn *LingeringConn) (*ServedConn, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.open) >= s.Bound && !s.evict() {
		return nil, false
	}
	served := &ServedConn{LingeringConn: conn, set: s}
	if !s.DivideRequests {
		served.Requests.ServeUndivided()
	}
	s.open[served] = struct{}{}
	if s.finishing {
		RaiseWriteBuffer(served.TCPConn, finishingBufferBytes)
	}
	s.restLocked(served)

	return served, true
}

// evict closes the connection that has been idle longest, and reports whether there
// is one. Connections with unread bytes, which begin a request, are not idle.
func (s *ConnectionSet) evict() bool {
	for next := s.idle.Front(); next != nil; next = next.Next() {
		served := next.Value.(*ServedConn)
		if HasUnread(served.TCPConn) {
			continue
		}
		s.forgetLocked(served)
		_ = served.TCPConn.Close() // it is no longer used
		s.Events.Evicted()

		return true
	}

	return false
}

// restLocked makes a connection idle.
func (s *ConnectionSet) restLocked(served *ServedConn) {
	served.idleSince = time.Now()
	served.idle = s.idle.PushBack(served)
	_ = served.SetReadDeadline(served.idleSince.Add(s.Timeouts().Idle)) // fails only on a closed connection
}

// forgetLocked removes a connection once.
func (s *ConnectionSet) forgetLocked(served *ServedConn) {
	if served.forgotten {
		return
	}
	served.forgotten = true
	delete(s.open, served)
	if served.idle != nil {
		s.idle.Remove(served.idle)
		served.idle = nil
	}
}

// Open returns the number of open connections.
func (s *ConnectionSet) Open() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return len(s.open)
}

// Busy returns the number of open connections with a request.
func (s *ConnectionSet) Busy() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return len(s.open) - s.idle.Len()
}

// Finish makes the kernel take as much of each answer as it can, because what it has
// taken is delivered although the process ends meanwhile.
func (s *ConnectionSet) Finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finishing = true
	for served := range s.open {
		RaiseWriteBuffer(served.TCPConn, finishingBufferBytes)
	}
}

// ServedConn is a connection of a ConnectionSet. It is idle, busy with a
// request, or forgotten. The mutex of the set guards its fields.
type ServedConn struct {
	*LingeringConn

	set *ConnectionSet
	// idle is the place in the list of idle connections, or nil.
	idle      *list.Element
	idleSince time.Time
	forgotten bool
	// overhead belongs to the handler.
	overhead Overhead
	// TimedOut is set if the last read ended at its deadline. It belongs to the handler.
	TimedOut bool
	// Requests divides the bytes if the set has DivideRequests.
	Requests Splitter
	// Handler is the handler's state for the connection, or nil.
	Handler any
}

// Read reads bytes. The first bytes of a request end the idle time, unless the set
// has closed the connection meanwhile: these bytes are never handled.
func (c *ServedConn) Read(buffer []byte) (int, error) {
	for {
		count, err := c.receive(buffer)
		c.TimedOut = errors.Is(err, os.ErrDeadlineExceeded)
		if count > 0 && !c.Begin() {
			return 0, net.ErrClosed
		}
		if exceeded := c.overhead.Received(count); exceeded != nil {
			return 0, exceeded
		}
		if count > 0 || !c.TimedOut {
			return count, err
		}
		idle, extended := c.extend()
		switch {
		case !idle:
			return 0, err
		case !extended:
			return 0, io.EOF // closes the connection without an answer
		}
	}
}

// Begin makes a connection busy. It reports whether a request may be handled.
func (c *ServedConn) Begin() bool {
	c.set.mutex.Lock()
	defer c.set.mutex.Unlock()
	if c.idle != nil {
		c.set.idle.Remove(c.idle)
		c.idle = nil
		c.beginLocked()
	}

	return !c.forgotten
}

// beginLocked begins a request.
func (c *ServedConn) beginLocked() {
	c.overhead.Reset(c.set.RequestBytes)
	_ = c.SetReadDeadline(time.Now().Add(c.set.Timeouts().Header)) // fails only on a closed connection
}

// Delivered allows a request more bytes, for content that was delivered.
func (c *ServedConn) Delivered(bytes int) {
	c.overhead.Delivered(bytes)
}

// Received returns the number of bytes that the handler has received since the request
// began.
func (c *ServedConn) Received() int {
	return c.overhead.received
}

// Rest makes a connection idle. If bytes of the next request are held, it begins that
// request instead, because a connection with a request must not be closed for a new one.
func (c *ServedConn) Rest() {
	c.set.mutex.Lock()
	defer c.set.mutex.Unlock()
	switch {
	case c.idle != nil || c.forgotten:
	case c.Requests.Held() > 0:
		c.beginLocked()
	default:
		c.set.restLocked(c)
	}
}

// extend returns whether the connection is idle, and whether a longer idle time has
// been declared since it became idle.
func (c *ServedConn) extend() (idle, extended bool) {
	c.set.mutex.Lock()
	defer c.set.mutex.Unlock()
	until := c.idleSince.Add(c.set.Timeouts().Idle)

	return c.idle != nil, time.Now().Before(until) && c.SetReadDeadline(until) == nil
}

// Close closes the connection.
func (c *ServedConn) Close() error {
	err := c.LingeringConn.Close()
	c.set.mutex.Lock()
	defer c.set.mutex.Unlock()
	c.set.forgetLocked(c)

	return err
}

// BoundedListener accepts connections into a ConnectionSet and rejects those for
// which it has no room.
type BoundedListener struct {
	*LastingListener

	connections *ConnectionSet
}

// NewBoundedListener returns a listener that takes over another one.
func NewBoundedListener(listener *LingeringListener, connections *ConnectionSet) *BoundedListener {
	return &BoundedListener{
		LastingListener: NewLastingListener(listener, connections.Events.Failed), connections: connections,
	}
}

// Accept waits for a connection for which there is room.
func (l *BoundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.LastingListener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := conn.(*LingeringConn)
		if served, ok := l.connections.Admit(accepted); ok {
			return served, nil
		}
		l.connections.Events.Rejected(l.connections.Bound)
		if l.connections.rejecting == nil || l.connections.rejecting.Offer(accepted) != nil {
			_ = accepted.Close() // it was never used
		}
	}
}

// RunRejecter answers connections with a refusal, without reading from them, until the
// context ends.
func RunRejecter(ctx context.Context, rejecting *ring.Ring[*LingeringConn], refusal []byte) error {
	for {
		conn, err := rejecting.Take(ctx)
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.TCPConn.Close() }) // ends the lingering
		reject(conn, refusal)
		stop()
	}
}

// reject writes a refusal and closes the connection. What it sent is not handled.
func reject(conn *LingeringConn, refusal []byte) {
	if conn.SetWriteDeadline(time.Now().Add(rejectWriteTimeout)) == nil {
		if _, err := conn.Write(refusal); err == nil {
			conn.Linger()
		}
	}
	_ = conn.Close() // it is no longer used
}
