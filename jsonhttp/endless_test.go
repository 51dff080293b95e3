package jsonhttp_test

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/jsonhttp"
)

const (
	// endlessBytes is the largest number of bytes that a client takes of an answer
	// without end, those in the buffers of the kernel included.
	endlessBytes = 32 << 20
	// endlessHeap is the largest growth of its heap in bytes.
	endlessHeap = 64 << 20
	// endlessTimeout is the time for an answer.
	endlessTimeout = 800 * time.Millisecond
)

const okHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// answerWithoutEnd serves one connection: after the request it sends a first part and
// then another one until the client closes the connection. It returns how many bytes it
// sent.
func answerWithoutEnd(listener net.Listener, first, repeated string) int {
	conn, err := listener.Accept()
	if err != nil {
		return 0
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return 0
	}
	_ = conn.SetWriteDeadline(time.Now().Add(4 * endlessTimeout)) // fails only on a closed connection
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	sent, err := conn.Write([]byte(first))
	for err == nil {
		var count int
		count, err = conn.Write(block)
		sent += count
	}

	return sent
}

// Guards against a host that keeps, or reads for as long as it may take, what the store
// answers without end.
func TestAnswersWithoutEnd(t *testing.T) {
	tests := map[string][2]string{
		"no answer at all":    {"", "x"},
		"empty lines":         {"", "\r\n"},
		"status line":         {"HTTP/1.1 200 ", "O"},
		"line of the head":    {okHead + "X-Odd: ", "x"},
		"lines of the head":   {okHead, "X-Odd: 1\r\n"},
		"interim answers":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body with a length":  {okHead + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
		"body without length": {okHead + "\r\n", "x"},
		"chunks":              {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"large chunks":        {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"one chunk":           {okHead + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", "x"},
		"chunk size":          {okHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":     {okHead + "Transfer-Encoding: chunked\r\n\r\n1;a=", "x"},
		"trailers":            {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Odd: 1\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			sent := make(chan int, 1)
			go func() { sent <- answerWithoutEnd(listener, test[0], test[1]) }()
			client := jsonhttp.NewClient(listener.Addr().String(), "", endlessTimeout)
			began := time.Now()
			grown := largestHeap(func() {
				_, err := client.Do(http.MethodGet, "/rows", nil)
				assert.Assert(t, err != nil)
			})
			took := time.Since(began)
			client.Close()
			assert.Assert(t, took < 2*endlessTimeout, "the request took %s", took)
			assert.Assert(t, grown < endlessHeap, "the heap grew by %d bytes", grown)
			taken := <-sent
			t.Logf("%d bytes taken in %s", taken, took)
			assert.Assert(t, taken < endlessBytes, "the client took %d bytes", taken)
		})
	}
}

// largestHeap returns the growth of the heap in bytes while run runs.
func largestHeap(run func()) uint64 {
	var before, stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var largest atomic.Uint64
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			runtime.ReadMemStats(&stats)
			largest.Store(max(largest.Load(), stats.HeapAlloc))
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	run()
	close(done)
	watch.Wait()

	return max(largest.Load(), before.HeapAlloc) - before.HeapAlloc
}
