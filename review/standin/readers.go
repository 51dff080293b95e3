package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// configBound is the bound config: from then on after its ack, a desired state
	// must be in force on machines in touch.
	configBound = 2 * time.Second
	// cutTime is how long the two hosts are cut off from the store.
	cutTime = 5500 * time.Millisecond
	// changePause is the time between the desired states that come in succession.
	changePause = 500 * time.Millisecond
	// ackDelay is the time from the cut to the next desired state.
	ackDelay = 200 * time.Millisecond
	// checkPause is the time between two requests to a host.
	checkPause = 50 * time.Millisecond
	// cutRounds is the number of cuts.
	cutRounds = 2
)

// readersCut cuts the two hosts that read the store off from it, while the operator
// adds a route. The other hosts reach the store all the while.
func readersCut(log *record, trouble bool) (bool, error) {
	s, err := newSite(log, 4)
	if err != nil {
		return false, err
	}
	defer s.fleet.end()
	s.routes = []route{{"r-orders", "/orders/", "unsafe", "orders", "1200ms", "500ms"}}
	s.declare("orders")
	for range 4 {
		if _, err := s.join("orders", "north", 4, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := s.start("north", "south", "north", "south"); err != nil {
		return false, err
	}
	broken := 0
	for range cutRounds {
		late, err := s.cutReaders(trouble)
		if err != nil {
			return false, err
		}
		broken += late
		time.Sleep(settleTime + 2*time.Second)
	}
	s.recordRuns()
	log.line("%d requests were refused %v after the ack or later", broken, configBound)

	return broken > 0, nil
}

// cutReaders performs one cut and returns the number of requests that a host in
// touch handled as only an older desired state allows.
func (s *site) cutReaders(trouble bool) (int, error) {
	// Upstreams join and the operator changes routes, as in a release.
	for range 2 {
		if _, err := s.join("orders", "north", 4, 20*time.Millisecond); err != nil {
			return 0, err
		}
		s.addRoute()
		time.Sleep(changePause)
	}
	cut := s.store.readers()
	if len(cut) > 2 {
		return 0, fmt.Errorf("hosts %v read the store; only two may be cut off at once", cut)
	}
	for _, i := range cut {
		s.links[i].cut.Store(trouble)
		s.log.line("%s reads the store; cut off from it: %v", s.fleet.hosts[i].name, trouble)
	}
	time.Sleep(ackDelay)
	prefix, ack := s.addRoute()
	var (
		checks sync.WaitGroup
		mu     sync.Mutex
		late   int
	)
	for i, h := range s.fleet.hosts {
		if slices.Contains(cut, i) {
			continue
		}
		checks.Go(func() {
			count := s.check(h, prefix, ack)
			mu.Lock()
			late += count
			mu.Unlock()
		})
	}
	time.Sleep(cutTime)
	for _, i := range cut {
		s.links[i].cut.Store(false)
	}
	s.log.line("the cut ends")
	checks.Wait()

	return late, nil
}

// addRoute adds a route and returns its prefix and the time of the ack.
func (s *site) addRoute() (string, time.Time) {
	prefix := fmt.Sprintf("/added-%d/", s.version+1)
	s.routes = append(s.routes, route{"r-added-" + fmt.Sprint(s.version+1), prefix, "safe", "orders", "1200ms", "500ms"})
	s.log.line("the operator adds the route %s", prefix)

	return prefix, s.declare("orders")
}

// check sends requests for an added route to a host during the cut, and returns the
// number of those that were refused too late.
func (s *site) check(h *host, prefix string, ack time.Time) int {
	late := 0
	for n := 1; time.Since(ack) < cutTime; n++ {
		after := time.Since(ack)
		id := fmt.Sprintf("%s-%s-%d", h.name, prefix[1:len(prefix)-1], n)
		result, err := ask(h.front, message(http.MethodGet, prefix+"x", id, 2*time.Second, ""), false)
		switch {
		case err != nil || result.err != nil:
			s.log.line("%s sent to %s %.3f s after the ack: no answer (%v %v)", id, h.name, after.Seconds(), err, result.err)
		case result.status == http.StatusNotFound && after > configBound:
			late++
			s.log.line("%s sent to %s %.3f s after the ack: answered 404: CONFIG", id, h.name, after.Seconds())
		default:
			s.log.line("%s sent to %s %.3f s after the ack: answered %d", id, h.name, after.Seconds(), result.status)
		}
		time.Sleep(checkPause)
	}

	return late
}
