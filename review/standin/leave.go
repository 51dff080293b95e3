package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lookUpRate is the number of look-ups a second on new connections.
	lookUpRate = 240
	// lookUpTime is the longest duration of the traffic.
	lookUpTime = 90 * time.Second
	// leaveShare is the share of consumers that leave, and leaveWithin the time within
	// which they do: half the objective.
	leaveShare, leaveWithin = 0.3, 100 * time.Millisecond
	// loseServers is the share of upstreams that lose answers, and loseShare the share
	// of their answers that are lost.
	loseServers, loseShare = 0.6, 0.4
	// troubleTime is how long both disruptions last, and troubleEach the time from one
	// start to the next.
	troubleTime, troubleEach = 4 * time.Second, 5 * time.Second
	// keepers is the number of consumers that keep a connection for all look-ups.
	keepers = 30
)

// lookUps is the traffic of the case.
type lookUps struct {
	*site
	host    *host
	trouble bool
	began   time.Time
	until   time.Time
	lost    atomic.Int64
}

// inTrouble reports whether the disruptions are on.
func inTrouble(began time.Time) bool {
	return time.Since(began)%troubleEach < troubleTime
}

// leaveAndLose lets consumers leave before their answer while upstreams lose answers:
// they run a look-up and reset its connection. It looks for look-ups that get no answer
// because the process ends.
func leaveAndLose(log *record, trouble bool) (bool, error) {
	s, err := newSite(log, 1)
	if err != nil {
		return false, err
	}
	defer s.fleet.end()
	s.fleet.cpuShare = 0.8
	t := &lookUps{site: s, trouble: trouble, began: time.Now()}
	s.routes = []route{{"r-stock", "/stock/", "safe", "stock", "1000ms", "200ms"}}
	s.declare("stock")
	const upstreams = 24
	for i := range upstreams {
		u, err := s.join("stock", "north", 4, 0)
		if err != nil {
			return false, err
		}
		u.work = func(*http.Request) time.Duration { return 98700*time.Microsecond + rand.N(1500*time.Microsecond) }
		if trouble && float64(i) < loseServers*upstreams {
			u.lose = func() bool { return inTrouble(t.began) && rand.Float64() < loseShare }
		}
	}
	if err := s.start("north"); err != nil {
		return false, err
	}
	t.host, t.until = s.fleet.hosts[0], time.Now().Add(lookUpTime)
	t.run()
	t.recordRuns()
	t.log.line("%d look-ups from kept connections were passed on and not answered", t.lost.Load())

	return t.lost.Load() > lostAllowed, nil
}

// run runs the traffic until the process ends, or for lookUpTime.
func (t *lookUps) run() {
	var consumers sync.WaitGroup
	for i := range keepers {
		consumers.Go(func() { t.keep(i) })
	}
	sent, began := 0, time.Now()
	for ; !t.over(); sent++ {
		consumers.Go(func() { t.lookUp(sent) })
		time.Sleep(time.Until(began.Add(time.Duration(sent+1) * time.Second / lookUpRate)))
	}
	select {
	case <-t.host.exited:
		t.log.line("the process has ended by itself after %d look-ups: %v", sent, t.host.process.ProcessState)
	default:
	}
	consumers.Wait()
}

// over reports whether the traffic ends.
func (t *lookUps) over() bool {
	select {
	case <-t.host.exited:
		return true
	default:
		return time.Now().After(t.until)
	}
}

// lookUp sends one look-up on a new connection. Some consumers close it before the
// answer.
func (t *lookUps) lookUp(number int) {
	conn, err := net.DialTimeout("tcp4", t.host.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	id := fmt.Sprintf("look-up-%d", number+1)
	if _, err := conn.Write([]byte(message(http.MethodGet, "/stock/x", id, 2*time.Second, ""))); err != nil {
		return
	}
	if t.trouble && inTrouble(t.began) && rand.Float64() < leaveShare {
		after := rand.N(leaveWithin)
		time.Sleep(after)
		t.log.line("%s: consumer leaves after %v", id, after.Round(time.Millisecond))

		return
	}
	result := receive(conn, 3*time.Second)
	t.log.line("%s: answered %d (%v)", id, result.status, result.err)
}

// keep sends look-ups on one connection, one after the other.
func (t *lookUps) keep(number int) {
	conn, err := net.DialTimeout("tcp4", t.host.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	for n := 1; !t.over(); n++ {
		id := fmt.Sprintf("kept-%d-%d", number+1, n)
		if _, err := conn.Write([]byte(message(http.MethodGet, "/stock/x", id, 2*time.Second, ""))); err != nil {
			return
		}
		result := receive(conn, 3*time.Second)
		if result.err == nil {
			t.log.line("%s: answered %d", id, result.status)

			continue
		}
		sound := t.runsAtSound(id)
		t.log.line("%s, request %d of its connection: connection closed without an answer (%v), begun by sound upstreams: %d", id, n, result.err, sound)
		if n > 1 && sound > 0 {
			t.lost.Add(1)
			t.log.line("%s: LOST", id)
		}

		return
	}
}

// runsAtSound returns how often upstreams that lose no answers began a look-up.
func (t *lookUps) runsAtSound(id string) int {
	count := 0
	for _, u := range t.upstreams {
		if u.lose != nil {
			continue
		}
		u.mu.Lock()
		for _, r := range u.runs {
			if r.id == id {
				count++
			}
		}
		u.mu.Unlock()
	}

	return count
}
