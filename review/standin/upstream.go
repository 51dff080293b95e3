package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that an upstream began to work on.
type run struct {
	id, upstream, method, target string
	body                         []byte
	at, ended                    time.Time
	cut                          bool
}

// upstream is a sound upstream. It runs up to slots requests at once, and works on
// each for the time that work returns.
type upstream struct {
	id, service, zone, address string
	slots                      int
	born                       time.Time
	work                       func(r *http.Request) time.Duration
	// lose says whether the answer to a request is lost: its connection is reset.
	lose    func() bool
	leaving atomic.Bool
	running atomic.Int64
	serial  atomic.Int64

	mu   sync.Mutex
	runs []*run
}

func newUpstream(id, service, zone string, slots int, work time.Duration) (*upstream, error) {
	u := &upstream{id: id, service: service, zone: zone, slots: slots, born: time.Now(), work: func(*http.Request) time.Duration { return work }}
	listener, err := net.Listen("tcp4", "127.0.4.1:0")
	if err != nil {
		return nil, err
	}
	u.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()

	return u, nil
}

// entry returns what the upstream registers.
func (u *upstream) entry(state string) map[string]any {
	return map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": state,
		names["cold_left"]: "0ms", "sequence": 1, "born": u.born.UnixMilli(),
	}
}

// serve serves one connection, one request at a time.
func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !u.handle(conn, reader, request, body) {
			return
		}
	}
}

func (u *upstream) common(id string) string {
	head := fmt.Sprintf("%s: %s\r\n%s: %d,0,%d,100\r\nKeep-Alive: timeout=10\r\n", names["instance_id"], u.id, names["load"], min(u.running.Load(), int64(u.slots)), u.slots)
	if id != "" {
		head += names["request_id"] + ": " + id + "\r\n"
	}
	if u.leaving.Load() {
		head += names["leaving"] + ": 1\r\n"
	}

	return head
}

func (u *upstream) handle(conn net.Conn, reader *bufio.Reader, request *http.Request, body []byte) bool {
	id := request.Header.Get(names["request_id"])
	reply := func(status int, more, text string) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), u.common(id), more, len(text), text)

		return err == nil
	}
	if request.URL.Path == "/health" {
		if u.leaving.Load() {
			return reply(http.StatusServiceUnavailable, "", "")
		}

		return reply(http.StatusOK, names["warmup"]+": 0\r\n", "")
	}
	if expected := request.Header.Get(names["expect_instance"]); expected != "" && expected != u.id {
		return reply(http.StatusMisdirectedRequest, "", "")
	}
	if u.running.Load() >= int64(u.slots)+4 {
		return reply(http.StatusServiceUnavailable, names["not_executed"]+": 1\r\n", "")
	}
	u.running.Add(1)
	defer u.running.Add(-1)
	began := &run{id: id, upstream: u.id, method: request.Method, target: request.URL.RequestURI(), body: body, at: time.Now()}
	u.mu.Lock()
	u.runs = append(u.runs, began)
	u.mu.Unlock()
	work := u.work(request)
	if left, err := strconv.Atoi(request.Header.Get(names["deadline"])); err == nil {
		work = min(work, time.Duration(left)*time.Millisecond)
	}
	until := time.Now().Add(work)
	for time.Now().Before(until) {
		// A closed connection ends the work.
		_ = conn.SetReadDeadline(time.Now().Add(min(time.Until(until), 50*time.Millisecond)))
		if _, err := reader.Peek(1); err == io.EOF {
			began.cut, began.ended = true, time.Now()

			return false
		} else if err == nil {
			break
		}
	}
	time.Sleep(time.Until(until))
	_ = conn.SetReadDeadline(time.Time{})
	began.ended = time.Now()
	if u.lose != nil && u.lose() {
		_ = conn.(*net.TCPConn).SetLinger(0)

		return false
	}

	return reply(http.StatusOK, fmt.Sprintf("%s: %s.%d\r\n", names["signature"], u.id, u.serial.Add(1)), "done "+id)
}
