package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two writes of an upstream.
const heartbeat = 1500 * time.Millisecond

// fleet is a set of sound upstreams.
type fleet struct {
	store   *store
	record  *record
	slots   int
	work    time.Duration
	cold    time.Duration
	nextIP  atomic.Int64
	port    int
	members sync.Map // id to *upstream
	// onRun is called when a request begins to run, if it is set.
	onRun func(id string, at *upstream)
}

// upstream is one incarnation of a server.
type upstream struct {
	fleet   *fleet
	id      string
	service string
	address string
	born    time.Time
	beat    int
	// beatMutex guards beat.
	beatMutex sync.Mutex
	// ackedAt is when the store accepted that the upstream drains, in Unix nanoseconds.
	ackedAt atomic.Int64

	server   *http.Server
	slot     chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	draining atomic.Bool
	// reported receives one item when the upstream has reported that it drains.
	reported chan struct{}
	gone     chan struct{}
}

// start starts an upstream at an address that was never used before, and registers it.
func (f *fleet) start(service string, cold bool) *upstream {
	number := f.nextIP.Add(1)
	u := &upstream{
		fleet: f, service: service, born: time.Now(), slot: make(chan struct{}, f.slots), gone: make(chan struct{}), reported: make(chan struct{}, 1),
		id: fmt.Sprintf("i-%08x", number), address: fmt.Sprintf("127.%d.%d.%d:%d", 64+number/60000, number/250%240, 1+number%250, f.port),
	}
	if !cold {
		u.born = u.born.Add(-f.cold)
	}
	listener, err := net.Listen("tcp4", u.address)
	if err != nil {
		log.Fatalf("upstream: %v", err)
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = u.server.Serve(listener) }()
	u.register()
	f.members.Store(u.id, u)
	go u.keepRegistered()

	return u
}

func (u *upstream) coldLeft() time.Duration {
	return max(u.fleet.cold-time.Since(u.born), 0)
}

// register writes what the upstream says of itself into the store.
func (u *upstream) register() {
	u.fleet.store.put("servers", u.id, u.statement())
}

// statement returns what the upstream says of itself next, with the next number.
func (u *upstream) statement() string {
	u.beatMutex.Lock()
	defer u.beatMutex.Unlock()
	state := "ready"
	if u.draining.Load() {
		state = "draining"
	}
	u.beat++

	return fmt.Sprintf(names["registration"], u.service, u.address, "zone-a", "v1", u.fleet.slots, state, u.coldLeft().Milliseconds(), u.beat, u.born.UnixMilli())
}

func (u *upstream) keepRegistered() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			u.register()
		case <-u.reported:
			ticker.Reset(heartbeat)
		case <-u.gone:
			u.fleet.store.put("servers", u.id, "")

			return
		}
	}
}

// drain reports that the upstream drains, serves on for a time, and ends. Its process
// ends then, which closes its listener and all its connections.
func (u *upstream) drain(serveOn time.Duration) {
	u.draining.Store(true)
	u.register()
	u.reported <- struct{}{}
	u.ackedAt.Store(time.Now().UnixNano())
	u.fleet.record.add("draining acked", u.id)
	time.Sleep(serveOn)
	u.fleet.members.Delete(u.id)
	close(u.gone)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = u.server.Shutdown(ctx) // requests in progress end first
	_ = u.server.Close()
}

// ServeHTTP answers a liveness check, or runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	head := w.Header()
	head.Set(names["instance"], u.id)
	head.Set(names["load"], fmt.Sprintf("%d,%d,%d,100", u.running.Load(), u.waiting.Load(), u.fleet.slots))
	head.Set("Keep-Alive", "timeout=10")
	if u.draining.Load() {
		head.Set("Connection", "close")
		head.Set(names["leaving"], "1")
	}
	if r.URL.Path == "/health" {
		head.Set(names["warmup"], strconv.FormatInt(u.coldLeft().Milliseconds(), 10))
		if u.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}

		return
	}
	id := r.Header.Get(names["request_id"])
	head.Set(names["request_id"], id)
	if expected := r.Header.Get(names["expect_instance"]); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if u.waiting.Add(1) > int64(2*u.fleet.slots) {
		u.waiting.Add(-1)
		head.Set(names["not_executed"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	left, _ := strconv.Atoi(r.Header.Get(names["deadline"]))
	deadline := time.After(time.Duration(left) * time.Millisecond)
	select {
	case u.slot <- struct{}{}:
		u.waiting.Add(-1)
	case <-deadline:
		u.waiting.Add(-1)
		head.Set(names["not_executed"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	case <-r.Context().Done():
		u.waiting.Add(-1)

		return
	}
	u.running.Add(1)
	defer func() { u.running.Add(-1); <-u.slot }()
	u.fleet.record.add("run", id, u.id, r.Method, r.URL.RequestURI(), len(body))
	if u.fleet.onRun != nil {
		u.fleet.onRun(id, u)
	}
	select {
	case <-time.After(u.fleet.work):
	case <-r.Context().Done():
		return
	}
	answer := "answer to " + id + "\n"
	head.Set(names["signature"], fmt.Sprintf("%s.%d", u.id, len(answer)))
	head.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}
