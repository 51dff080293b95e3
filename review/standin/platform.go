package main

import (
	_ "embed"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// names holds the names of the platform's messages by what they mean.
//
//go:embed names.json
var namesFile []byte

var names = func() map[string]string {
	decoded := map[string]string{}
	if err := json.Unmarshal(namesFile, &decoded); err != nil {
		panic(err)
	}

	return decoded
}()

// row is one row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Ver     int    `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's store: linearizable, answering in 4 ms, with its whole
// history.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	rows    map[string]row
	ver     int
	started time.Time
	// readAt is when each host last began to read changes of the operator's rows.
	readAt map[int]time.Time
}

func newStore() *store {
	s := &store{rows: map[string]row{}, ver: 1, started: time.Now(), readAt: map[int]time.Time{}}
	s.changed = sync.NewCond(&s.mu)

	return s
}

// put writes a row, or removes it if the value is nil, and returns the time of the
// acknowledgement.
func (s *store) put(table, key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(encoded), Ver: s.ver, Deleted: value == nil}
	s.changed.Broadcast()

	return time.Now()
}

// list returns the rows of a table that changed after a version, in the order of
// their changes, or all present rows by key.
func (s *store) list(table string, after int) []row {
	found := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Ver > after && (after > 0 || !r.Deleted) {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(a, b int) bool {
		if after > 0 {
			return found[a].Ver < found[b].Ver
		}

		return found[a].Key < found[b].Key
	})

	return found
}

// answer writes rows and the newest version. The caller holds the lock, which is
// released while the answer takes its time.
func (s *store) answer(w http.ResponseWriter, rows []row) {
	ver := s.ver
	s.mu.Unlock()
	defer s.mu.Lock()
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, names["more"]: false, "ver": ver, "now": fmt.Sprintf("%dms", time.Since(s.started).Milliseconds()),
	})
}

// readers returns the hosts that have read changes lately.
func (s *store) readers() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []int
	for host, at := range s.readAt {
		if time.Since(at) < readerAge {
			hosts = append(hosts, host)
		}
	}
	sort.Ints(hosts)

	return hosts
}

// readerAge is the time within which a host that reads changes has begun its last
// read: hosts let a read wait for two seconds.
const readerAge = 2500 * time.Millisecond

// handler serves the store to one host.
func (s *store) handler(host int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(names["path_write"], func(w http.ResponseWriter, r *http.Request) {
		var transaction map[string][]row
		if json.NewDecoder(r.Body).Decode(&transaction) != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
		s.mu.Lock()
		for _, set := range transaction[names["sets"]] {
			s.ver++
			set.Ver = s.ver
			s.rows[set.Table+"/"+set.Key] = set
		}
		s.changed.Broadcast()
		defer s.mu.Unlock()
		s.answer(w, []row{})
	})
	mux.HandleFunc(names["path_read"], func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		rows := []row{}
		for _, found := range s.list(r.URL.Query().Get("table"), 0) {
			if found.Key >= r.URL.Query().Get("from") {
				rows = append(rows, found)
			}
		}
		defer s.mu.Unlock()
		s.answer(w, rows)
	})
	mux.HandleFunc(names["path_feed"], func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		after, _ := strconv.Atoi(query.Get("after"))
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		until := time.Now().Add(time.Duration(wait) * time.Millisecond)
		timer := time.AfterFunc(time.Until(until), s.changed.Broadcast)
		defer timer.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		if query.Get("table") == "op" {
			s.readAt[host] = time.Now()
		}
		rows := s.list(query.Get("table"), after)
		for len(rows) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
			s.changed.Wait()
			rows = s.list(query.Get("table"), after)
		}
		s.answer(w, rows)
	})

	return mux
}

// serveHTTP serves a handler at a free port of an address.
func serveHTTP(ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()

	return listener.Addr().String(), nil
}
