package main

import (
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

// row is a row of the store. Removed rows are kept as history.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Ver     int    `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// contents are the rows of the store and its newest version.
type contents struct {
	rows map[string]row
	ver  int
}

func (c contents) clone() contents {
	copied := contents{rows: make(map[string]row, len(c.rows)), ver: c.ver}
	for key, r := range c.rows {
		copied.rows[key] = r
	}
	return copied
}

// store is a stand-in of the platform's store.
type store struct {
	mutex   sync.Mutex
	now     contents
	era     int
	down    bool
	changed chan struct{}
	started time.Time
	address string
	// connections are the open ones, which end when the store goes away.
	connections map[net.Conn]bool
	// answer, if set, may answer a request instead of the store.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

func newStore(address string) *store {
	s := &store{now: contents{rows: map[string]row{}, ver: 1}, era: 1, changed: make(chan struct{}), started: time.Now(), address: address, connections: map[net.Conn]bool{}}
	server := &http.Server{Addr: address, Handler: s, ConnState: func(conn net.Conn, state http.ConnState) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(s.connections, conn)
		} else {
			s.connections[conn] = true
		}
		if s.down {
			_ = conn.Close()
		}
	}}
	listener, err := net.Listen("tcp4", address)
	must(err)
	go func() { _ = server.Serve(listener) }()
	return s
}

// put writes a row and returns its version. An empty value removes the row. It returns 0
// while the store is away.
func (s *store) put(table, key, value string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return 0
	}
	s.write(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value)), Deleted: value == ""})
	return s.now.ver
}

func (s *store) write(r row) {
	s.now.ver++
	r.Ver = s.now.ver
	s.now.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) version() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.now.ver
}

// snapshot returns a copy of the store.
func (s *store) snapshot() contents {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.now.clone()
}

// goAway ends all connections and refuses new ones until comeBack.
func (s *store) goAway() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = true
	for conn := range s.connections {
		_ = conn.Close()
	}
	s.wake()
}

// comeBack lets the store answer again, from a copy if there is one.
func (s *store) comeBack(from *contents) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = false
	if from != nil {
		s.now = from.clone()
		s.era++
	}
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.intercept != nil && s.intercept(w, r) {
		return
	}
	s.mutex.Lock()
	w.Header().Set(names["era"], strconv.Itoa(s.era))
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	switch r.URL.Path {
	case names["path_get"]:
		s.serveGet(w, query.Get("table"), query.Get("part"), query.Get("from"), query.Get("limit"))
	case names["path_feed"]:
		after, _ := strconv.Atoi(query.Get("after"))
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveFeed(w, r, query.Get("table"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	case names["path_tx"]:
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) clock() string {
	return fmt.Sprintf("%dms", time.Since(s.started).Milliseconds())
}

func (s *store) serveGet(w http.ResponseWriter, table, part, from, limit string) {
	most, err := strconv.Atoi(limit)
	if err != nil || most <= 0 || most > 500 {
		most = 500
	}
	s.mutex.Lock()
	found := []row{}
	for _, r := range s.now.rows {
		if r.Table == table && r.Part == part && r.Key >= from && !r.Deleted {
			found = append(found, r)
		}
	}
	answer := map[string]any{"ver": s.now.ver, "now": s.clock(), names["more"]: len(found) > most}
	s.mutex.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	answer["rows"] = found[:min(most, len(found))]
	_ = json.NewEncoder(w).Encode(answer)
}

// serveFeed answers with the rows that changed after a version, or with 410 for a version
// that the store doesn't have.
func (s *store) serveFeed(w http.ResponseWriter, r *http.Request, table string, after int, wait time.Duration) {
	until := time.After(wait)
	for {
		s.mutex.Lock()
		if s.down {
			s.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.now.ver {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := []row{}
		for _, next := range s.now.rows {
			if next.Table == table && next.Ver > after {
				found = append(found, next)
			}
		}
		ver, changed := s.now.ver, s.changed
		s.mutex.Unlock()
		expired := false
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-until:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		sort.Slice(found, func(i, j int) bool { return found[i].Ver < found[j].Ver })
		if len(found) > 0 || expired {
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": found, "ver": ver, "now": s.clock(), names["more"]: false})
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var transaction map[string][]row
	if json.NewDecoder(r.Body).Decode(&transaction) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	for _, condition := range transaction[names["condition"]] {
		current := s.now.rows[condition.Table+"\x00"+condition.Part+"\x00"+condition.Key]
		if current.Deleted {
			current.Ver = 0
		}
		if current.Ver != condition.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": []row{current}, "ver": s.now.ver, "now": s.clock()})
			return
		}
	}
	for _, set := range transaction[names["set"]] {
		if set.Table == "op" || set.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.write(row{Table: set.Table, Part: set.Part, Key: set.Key, Value: set.Value})
	}
	for _, removed := range transaction["remove"] {
		s.write(row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Deleted: true})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"ver": s.now.ver, "now": s.clock()})
}
