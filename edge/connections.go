package edge

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// defaultDescriptors is the number of descriptors of the process if the platform
	// states none.
	defaultDescriptors = 4096
	// fileDescriptors is the number of descriptors reserved for files.
	fileDescriptors = 200
	// callerSocketShare is the share of the other descriptors for callers. The rest is
	// for backend servers, the store, other hosts and the other listeners.
	callerSocketShare = 0.6
	// directorySocketShare is the share for callers that look up entry hosts.
	directorySocketShare = 0.05
	// minServedConnections is the smallest bound of a listener.
	minServedConnections = 16
	// rejecters is the number of connections that are rejected at the same time, and of
	// those that wait for it. Others are closed without an answer.
	rejecters = 32
	// rejectWriteTimeout is the time for writing a rejection.
	rejectWriteTimeout = 100 * time.Millisecond
	// finishingBufferBytes is the size in bytes of the kernel's buffer for an answer when
	// the process ends soon. The kernel may allow less.
	finishingBufferBytes = 4 << 20
	// rejectRetryAfter is the retry delay of rejected connections.
	rejectRetryAfter = time.Second
)

// connectionBound returns the largest number of connections of a listener that may
// use a share of the sockets of the process.
func connectionBound(descriptors int, share float64) int {
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}

	return max(int(share*float64(descriptors-fileDescriptors)), minServedConnections)
}

// connectionSet holds the open connections of one listener. At its bound, the
// connection that has been idle longest is closed for a new one. The accepting duty
// and the handlers share it.
type connectionSet struct {
	// Bound is the largest number of connections.
	Bound int

	limits    *callerLimits
	events    *listenerEvents
	rejecting *ring.Ring[*tcp.LingeringConn]

	mutex sync.Mutex
	open  map[*servedConnection]struct{}
	// finishing is set when the process ends soon.
	finishing bool
	// idle holds *servedConnection, that which has been idle longest first.
	idle *list.List
}

// newConnectionSet returns an empty set. The connections for which it has no room go
// to the ring, which runRejecter empties.
func newConnectionSet(bound int, limits *callerLimits, events *listenerEvents, rejecting *ring.Ring[*tcp.LingeringConn]) *connectionSet {
	return &connectionSet{Bound: bound, limits: limits, events: events, rejecting: rejecting, open: map[*servedConnection]struct{}{}, idle: list.New()}
}

// attach makes an HTTP server use the set. The set replaces the server's read
// timeouts up to the end of the head of a request.
func (s *connectionSet) attach(server *fasthttp.Server) {
	server.ReadTimeout, server.IdleTimeout = 0, 0
	server.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
	}
	server.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		served, ok := conn.(*servedConnection)
		switch {
		case !ok:
		case state == fasthttp.StateActive:
			served.begin()
		case state == fasthttp.StateIdle:
			served.rest()
		}
	}
}

// admit adds a connection, and reports whether there is room for it.
func (s *connectionSet) admit(conn *tcp.LingeringConn) (*servedConnection, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.open) >= s.Bound && !s.evict() {
		return nil, false
	}
	served := &servedConnection{LingeringConn: conn, set: s}
	s.open[served] = struct{}{}
	if s.finishing {
		tcp.RaiseWriteBuffer(served.TCPConn, finishingBufferBytes)
	}
	s.restLocked(served)

	return served, true
}

// evict closes the connection that has been idle longest, and reports whether there
// is one. Connections with unread bytes, which begin a request, are not idle.
func (s *connectionSet) evict() bool {
	for next := s.idle.Front(); next != nil; next = next.Next() {
		served := next.Value.(*servedConnection)
		if tcp.HasUnread(served.TCPConn) {
			continue
		}
		s.forgetLocked(served)
		_ = served.TCPConn.Close() // it is no longer used
		s.events.evicted()

		return true
	}

	return false
}

// restLocked makes a connection idle.
func (s *connectionSet) restLocked(served *servedConnection) {
	served.idleSince = time.Now()
	served.idle = s.idle.PushBack(served)
	_ = served.SetReadDeadline(served.idleSince.Add(s.limits.idleTimeout())) // fails only on a closed connection
}

// forgetLocked removes a connection once.
func (s *connectionSet) forgetLocked(served *servedConnection) {
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

// count returns the number of open connections.
func (s *connectionSet) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return len(s.open)
}

// finish makes the kernel take as much of each answer as it can, because what it has
// taken is delivered although the process ends meanwhile.
func (s *connectionSet) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finishing = true
	for served := range s.open {
		tcp.RaiseWriteBuffer(served.TCPConn, finishingBufferBytes)
	}
}

// servedConnection is a connection of a connectionSet. It is idle, busy with a
// request, or forgotten. The mutex of the set guards its fields.
type servedConnection struct {
	*tcp.LingeringConn

	set *connectionSet
	// idle is the place in the list of idle connections, or nil.
	idle      *list.Element
	idleSince time.Time
	forgotten bool
}

// Read reads bytes. The first bytes of a request end the idle time, unless the set
// has closed the connection meanwhile: these bytes are never handled.
func (c *servedConnection) Read(buffer []byte) (int, error) {
	for {
		count, err := c.LingeringConn.Read(buffer)
		if count > 0 && !c.begin() {
			return 0, net.ErrClosed
		}
		if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
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

// begin makes a connection busy. It reports whether a request may be handled.
func (c *servedConnection) begin() bool {
	c.set.mutex.Lock()
	defer c.set.mutex.Unlock()
	if c.idle != nil {
		c.set.idle.Remove(c.idle)
		c.idle = nil
		_ = c.SetReadDeadline(time.Now().Add(c.set.limits.headerTimeout())) // fails only on a closed connection
	}

	return !c.forgotten
}

// rest makes a connection idle.
func (c *servedConnection) rest() {
	c.set.mutex.Lock()
	defer c.set.mutex.Unlock()
	if c.idle == nil && !c.forgotten {
		c.set.restLocked(c)
	}
}

// extend returns whether the connection is idle, and whether a longer idle time has
// been declared since it became idle.
func (c *servedConnection) extend() (idle, extended bool) {
	c.set.mutex.Lock()
	defer c.set.mutex.Unlock()
	until := c.idleSince.Add(c.set.limits.idleTimeout())

	return c.idle != nil, time.Now().Before(until) && c.SetReadDeadline(until) == nil
}

// Close closes the connection.
func (c *servedConnection) Close() error {
	err := c.LingeringConn.Close()
	c.set.mutex.Lock()
	defer c.set.mutex.Unlock()
	c.set.forgetLocked(c)

	return err
}

// boundedListener accepts connections into a connectionSet and rejects those for
// which it has no room.
type boundedListener struct {
	*tcp.LastingListener

	connections *connectionSet
}

// newBoundedListener returns a listener that takes over another one.
func newBoundedListener(listener *tcp.LingeringListener, connections *connectionSet) *boundedListener {
	return &boundedListener{
		LastingListener: tcp.NewLastingListener(listener, connections.events.failed), connections: connections,
	}
}

// Accept waits for a connection for which there is room.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.LastingListener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := conn.(*tcp.LingeringConn)
		if served, ok := l.connections.admit(accepted); ok {
			return served, nil
		}
		l.connections.events.rejected(l.connections.Bound)
		if l.connections.rejecting.Offer(accepted) != nil {
			_ = accepted.Close() // it was never used
		}
	}
}

// runRejecter rejects connections until the context ends.
func runRejecter(ctx context.Context, rejecting *ring.Ring[*tcp.LingeringConn]) error {
	for {
		conn, err := rejecting.Take(ctx)
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.TCPConn.Close() }) // ends the lingering
		reject(conn)
		stop()
	}
}

// reject answers a connection without reading from it. What it sent is not handled.
func reject(conn *tcp.LingeringConn) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.Header.SetNoDefaultContentType(true)
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(rejectRetryAfter.Seconds(), 'f', -1, 64))
	response.SetConnectionClose()
	if conn.SetWriteDeadline(time.Now().Add(rejectWriteTimeout)) == nil {
		if _, err := response.WriteTo(conn); err == nil {
			conn.Linger()
		}
	}
	_ = conn.Close() // it is no longer used
}
