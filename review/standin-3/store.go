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

// names are the platform's names of headers, paths and messages, read from names.json.
var names map[string]string

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version int    `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a sound store of the platform: linearizable, with a feed that waits.
type store struct {
	mutex   sync.Mutex
	rows    map[string]row
	version int
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, version: 1, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row, or removes it if the value is empty. Its return is the ack.
func (s *store) put(table, key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.putLocked(table, "", key, base64.StdEncoding.EncodeToString([]byte(value)), value == "")
}

func (s *store) putLocked(table, part, key, value string, deleted bool) {
	s.version++
	s.rows[table+"\x00"+part+"\x00"+key] = row{Table: table, Part: part, Key: key, Value: value, Version: s.version, Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the rows of a table that changed after a version, in the order of their
// keys, the version of the store, and a channel that is closed by the next change.
func (s *store) read(table, part, from string, after int, feed bool) ([]row, int, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []row{}
	for _, next := range s.rows {
		listed := feed && next.Version > after || !feed && next.Part == part && next.Key >= from && !next.Deleted
		if next.Table == table && listed {
			found = append(found, next)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })

	return found, s.version, s.changed
}

// serve answers the calls of the system's hosts.
func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, found []row, version int) {
		text, _ := json.Marshal(found)
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, names["rows_reply"], text, version, time.Since(s.started).Milliseconds())
	}
	mux.HandleFunc(names["path_get"], func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		found, version, _ := s.read(query.Get("table"), query.Get("part"), query.Get("from"), 0, false)
		time.Sleep(4 * time.Millisecond)
		reply(w, found, version)
	})
	mux.HandleFunc(names["path_feed"], func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		after, _ := strconv.Atoi(query.Get("after"))
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
		for {
			found, version, changed := s.read(query.Get("table"), "", "", after, true)
			if len(found) > 0 {
				reply(w, found, version)

				return
			}
			select {
			case <-changed:
			case <-deadline:
				reply(w, found, version)

				return
			case <-r.Context().Done():
				return
			}
		}
	})
	mux.HandleFunc(names["path_tx"], func(w http.ResponseWriter, r *http.Request) {
		var transaction map[string][]row
		if json.NewDecoder(r.Body).Decode(&transaction) != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
		time.Sleep(4 * time.Millisecond)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		var current []row
		for _, condition := range transaction[names["tx_conditions"]] {
			known := s.rows[condition.Table+"\x00"+condition.Part+"\x00"+condition.Key]
			if known.Deleted {
				known.Version = 0
			}
			if known.Version != condition.Version {
				current = append(current, known)
			}
		}
		if len(current) > 0 {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, current, s.version)

			return
		}
		for _, set := range transaction[names["tx_sets"]] {
			s.putLocked(set.Table, set.Part, set.Key, set.Value, false)
		}
		for _, set := range transaction[names["tx_removes"]] {
			s.putLocked(set.Table, set.Part, set.Key, "", true)
		}
		reply(w, []row{}, s.version)
	})
	_ = http.Serve(listener, mux)
}
