package callerhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// largeBodySize is the size in bytes of a large response body.
	largeBodySize = 64 << 20
	// maxHeapGrowth is the maximum heap growth in bytes while a large body is
	// streamed.
	maxHeapGrowth = 8 << 20
	// shortDeadline is the header field for a deadline of 400 ms.
	shortDeadline = "Baobabdrum-Deadline-Ms: 400\r\n"
)

// neverAnswer sends no response until the host closes the connection.
func neverAnswer(_ context.Context, _ *http.Request, conn *net.TCPConn) {
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
}

// serveLargeBody responds with a body of largeBodySize bytes.
func serveLargeBody(_ context.Context, _ *http.Request, conn *net.TCPConn) {
	writeLargeBody(conn, largeBodySize)
}

// writeLargeBody writes a response whose body has the given size in bytes.
func writeLargeBody(conn *net.TCPConn, size int) {
	writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size))
	part := make([]byte, 64<<10)
	for sent := 0; sent < size; sent += len(part) {
		if _, err := conn.Write(part); err != nil {
			return
		}
	}
}

func TestSlotIsFreed(t *testing.T) {
	readSome := func(t *testing.T, conn *net.TCPConn) {
		_, err := io.ReadFull(conn, make([]byte, 1<<20))
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
	leave := func(t *testing.T, conn *net.TCPConn) { assert.NilError(t, conn.Close()) }
	abort := func(t *testing.T, conn *net.TCPConn) {
		assert.NilError(t, conn.SetLinger(0))
		assert.NilError(t, conn.Close())
	}
	stay := func(*testing.T, *net.TCPConn) {}
	tests := map[string]struct {
		serve   func(ctx context.Context, request *http.Request, conn *net.TCPConn)
		headers string
		act     func(t *testing.T, conn *net.TCPConn)
		forward bool
	}{
		"caller closes while the call runs":              {serve: neverAnswer, act: leave},
		"caller resets while the call runs":              {serve: neverAnswer, act: abort},
		"caller closes within a large body":              {serve: serveLargeBody, act: readSome},
		"deadline passes while the call runs":            {serve: neverAnswer, headers: shortDeadline, act: stay},
		"caller does not read a large body":              {serve: serveLargeBody, headers: shortDeadline, act: stay},
		"forwarded, caller closes while the call runs":   {serve: neverAnswer, act: leave, forward: true},
		"forwarded, caller closes within a large body":   {serve: serveLargeBody, act: readSome, forward: true},
		"forwarded, deadline passes while the call runs": {serve: neverAnswer, headers: shortDeadline, act: stay, forward: true},
		"forwarded, caller does not read a large body":   {serve: serveLargeBody, headers: shortDeadline, act: stay, forward: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, test.serve)
			s := newStack(t, schema.BackendServer{Address: server.address, Slots: 1})
			if test.forward {
				s.setOwner(t, "host-2", server.address)
			}
			conn := s.connect(t, http.MethodPost, "/call/catalogue/pack", test.headers+"Content-Length: 0\r\n")
			if !test.forward {
				s.waitFor(t, 1, 0)
			}
			test.act(t, conn)
			server.waitEnded(t)
			if !test.forward {
				s.waitFor(t, 0, 0)
			}
		})
	}
}

func TestStalledCallerReceivesATruncatedResponse(t *testing.T) {
	server := newFakeServer(t, serveLargeBody)
	s := newStack(t, schema.BackendServer{Address: server.address, Slots: 1})
	conn := s.connect(t, http.MethodGet, "/call/catalogue/pack", shortDeadline)
	server.waitEnded(t)
	s.waitFor(t, 0, 0)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	count, err := io.Copy(io.Discard, response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, count < largeBodySize)
}

func TestConnectionIsReusedAfterALargeResponse(t *testing.T) {
	const size = 1 << 20
	server := newFakeServer(t, func(_ context.Context, _ *http.Request, conn *net.TCPConn) { writeLargeBody(conn, size) })
	s := newStack(t, schema.BackendServer{Address: server.address, Slots: 1})
	conn := s.connect(t, http.MethodGet, "/call/catalogue/pack", shortDeadline)
	requests := bufio.NewReader(conn)
	read := func() {
		response, err := http.ReadResponse(requests, nil)
		assert.NilError(t, err)
		count, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, count, int64(size))
		assert.NilError(t, response.Body.Close())
	}
	read()
	time.Sleep(500 * time.Millisecond) // past the first deadline
	_, err := io.WriteString(conn, "GET /call/catalogue/pack HTTP/1.1\r\nHost: test\r\n\r\n")
	assert.NilError(t, err)
	read()
}

func TestRequestReadTimeout(t *testing.T) {
	const callTimeout = 300 * time.Millisecond
	answerLate := func(_ context.Context, _ *http.Request, conn *net.TCPConn) {
		time.Sleep(5 * callTimeout)
		writeRaw(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	tests := map[string]struct {
		headers string
		outcome string
	}{
		"request body is missing":         {headers: "Content-Length: 9\r\n"},
		"longer deadline, late response":  {headers: "Baobabdrum-Deadline-Ms: 5000\r\nContent-Length: 0\r\n", outcome: "answered"},
		"default deadline, late response": {headers: "Content-Length: 0\r\n", outcome: "unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, answerLate)
			s := newStackWithTimeout(t, schema.BackendServer{Address: server.address, Slots: 1}, callTimeout)
			conn := s.connect(t, http.MethodPost, "/call/catalogue/stock", test.headers)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*callTimeout)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			var timeout net.Error
			assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the host is still waiting for the request")
			if test.outcome != "" {
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, response.Header.Get("Baobabdrum-Outcome"), test.outcome)
			}
		})
	}
}

func TestQueuedCallLeavesTheQueue(t *testing.T) {
	tests := map[string]struct {
		headers string
		act     func(t *testing.T, conn *net.TCPConn)
	}{
		"caller closes": {act: func(t *testing.T, conn *net.TCPConn) { assert.NilError(t, conn.Close()) }},
		"deadline passes": {headers: shortDeadline, act: func(t *testing.T, conn *net.TCPConn) {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.Header.Get("Baobabdrum-Outcome"), "not_run")
			assert.Equal(t, response.Header.Get("Baobabdrum-Reason"), "deadline")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, neverAnswer)
			s := newStack(t, schema.BackendServer{Address: server.address, Slots: 1})
			s.connect(t, http.MethodPost, "/call/catalogue/first", "Content-Length: 0\r\n")
			s.waitFor(t, 1, 0)
			conn := s.connect(t, http.MethodPost, "/call/catalogue/second", test.headers+"Content-Length: 0\r\n")
			s.waitFor(t, 1, 1)
			test.act(t, conn)
			s.waitFor(t, 1, 0)
		})
	}
}

func TestPackStreamsInBoundedMemory(t *testing.T) {
	server := newFakeServer(t, serveLargeBody)
	s := newStack(t, schema.BackendServer{Address: server.address, Slots: 1})
	before := heapInUse()
	conn := s.connect(t, http.MethodGet, "/call/catalogue/pack", "")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	var read, largest int64
	for read < largeBodySize {
		count, err := io.CopyN(io.Discard, response.Body, largeBodySize/16)
		assert.NilError(t, err)
		read += count
		time.Sleep(10 * time.Millisecond)
		largest = max(largest, heapInUse()-before)
	}
	t.Logf("heap grew by %d KiB for a body of %d KiB", largest>>10, largeBodySize>>10)
	assert.Assert(t, largest < maxHeapGrowth, "the heap grew by %d bytes", largest)
	s.waitFor(t, 0, 0)
}

// heapInUse returns the bytes of the heap in use after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return int64(stats.HeapAlloc) //nolint:gosec // a heap is far smaller
}
