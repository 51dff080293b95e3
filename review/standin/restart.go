package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The orders are those of the batch orders on the sheet of the grown fleets: usual
// and longest work, objective, time-out and deadline.
const (
	usualWork     = 340 * time.Millisecond
	longWork      = 2600 * time.Millisecond
	orderTimeout  = 4 * time.Second
	orderDeadline = 8 * time.Second
)

const (
	// graceLimit is grace_period, after which the platform kills a process that it
	// has asked to stop.
	graceLimit = 6 * time.Second
	// lateAfter is the time after SIGTERM from which work that has not ended in time
	// excuses nothing: the request was sent too late for that.
	lateAfter = 3 * time.Second
	// gap is the pause between two SIGTERMs of the rolling restart.
	gap = time.Second
	// restartDelay is the delay after which a process that has exited is restarted.
	restartDelay = 300 * time.Millisecond
	// orderPause is the time between two orders.
	orderPause = 40 * time.Millisecond
	// trafficTime is the duration of the traffic, and termAfter the part of it before
	// the first SIGTERM.
	trafficTime, termAfter = 12 * time.Second, 4 * time.Second
)

// aheads are the times for which consumers have a connection open before they use
// it.
var aheads = []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second}

// order is an order that was sent completely.
type order struct {
	id        string
	host      *host
	at, ended time.Time
	result    outcome
}

// restartCase is a rolling restart of two hosts under steady orders.
type restartCase struct {
	*site
	client  *consumer
	byFront map[string]*host

	mu     sync.Mutex
	terms  map[*host]time.Time
	orders []*order
}

// rollingRestart restarts both hosts, one after the other, and looks for orders that
// were passed on to an upstream and got no answer.
func rollingRestart(log *record, trouble bool) (bool, error) {
	s, err := newSite(log, 2)
	if err != nil {
		return false, err
	}
	defer s.fleet.end()
	s.routes = []route{{"r-orders", "/orders/", "unsafe", "orders", orderTimeout.String(), "800ms"}}
	s.declare("orders")
	for range 20 {
		u, err := s.join("orders", "north", 4, 0)
		if err != nil {
			return false, err
		}
		u.work = func(r *http.Request) time.Duration {
			if strings.HasSuffix(r.URL.Path, "-long") {
				return longWork
			}

			return usualWork
		}
	}
	if err := s.start("north", "north"); err != nil {
		return false, err
	}
	c := &restartCase{
		site: s, client: &consumer{zone: "north", directories: s.directories(), log: log.line},
		byFront: map[string]*host{}, terms: map[*host]time.Time{},
	}
	for _, h := range s.fleet.hosts {
		c.byFront[h.front] = h
	}
	stop := c.client.keepResolving()
	if trouble {
		for i, h := range s.fleet.hosts {
			time.AfterFunc(termAfter+time.Duration(i)*gap, func() { c.restart(h) })
		}
	}
	var consumers sync.WaitGroup
	until := time.Now().Add(trafficTime)
	for i := 0; time.Now().Before(until); i++ {
		consumers.Go(func() { c.send(i) })
		time.Sleep(orderPause)
	}
	consumers.Wait()
	stop()

	return c.lost() > 0, nil
}

// restart stops a host as planned and starts it again when it has exited.
func (c *restartCase) restart(h *host) {
	c.mu.Lock()
	c.terms[h] = time.Now()
	c.mu.Unlock()
	process, exited := h.process, h.exited
	c.log.line("SIGTERM to %s (%s)", h.name, h.front)
	_ = process.Process.Signal(syscall.SIGTERM) // fails only if it has exited
	kill := time.AfterFunc(graceLimit, func() {
		c.log.line("%s has not exited after %v: SIGKILL", h.name, graceLimit)
		_ = process.Process.Kill()
	})
	<-exited
	kill.Stop()
	c.log.line("%s has exited", h.name)
	time.Sleep(restartDelay)
	if err := c.fleet.launch(h); err != nil {
		c.log.line("%s does not start again: %v", h.name, err)

		return
	}
	c.log.line("%s is started again", h.name)
}

// send opens a connection to an address that the directory named, and sends an order
// on it later, unless the directory does not name the address any more.
func (c *restartCase) send(number int) {
	front := c.client.address()
	conn, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	time.Sleep(aheads[number%len(aheads)])
	if !c.client.uses(front) {
		return
	}
	id := fmt.Sprintf("order-%d", number+1)
	if number/len(aheads)%3 == 0 {
		id += "-long"
	}
	sent := &order{id: id, host: c.byFront[front], at: time.Now()}
	if _, err := conn.Write([]byte(message(http.MethodPost, "/orders/"+id, id, orderDeadline, "hinge"))); err != nil {
		return
	}
	sent.result = receive(conn, orderDeadline)
	sent.ended = time.Now()
	c.mu.Lock()
	c.orders = append(c.orders, sent)
	c.mu.Unlock()
}

// lost records all orders and returns the number of those that broke the rule.
func (c *restartCase) lost() int {
	lost, runs := 0, c.runs()
	for _, sent := range c.orders {
		text := fmt.Sprintf("%s to %s", sent.id, sent.host.name)
		term, stopped := c.terms[sent.host]
		after := sent.at.Sub(term)
		if stopped {
			text += fmt.Sprintf(", sent %.3f s after its SIGTERM", after.Seconds())
		}
		for _, r := range runs[sent.id] {
			text += fmt.Sprintf(", run by %s %.3f s later for %.3f s", r.upstream, r.at.Sub(sent.at).Seconds(), r.ended.Sub(r.at).Seconds())
			if r.cut {
				text += " until the host broke it off"
			}
		}
		took := sent.ended.Sub(sent.at)
		if sent.result.err == nil {
			c.log.line("%s: answered %d after %.3f s", text, sent.result.status, took.Seconds())

			continue
		}
		c.log.line("%s: no answer, connection closed after %.3f s (%v)", text, took.Seconds(), sent.result.err)
		if stopped && after > lateAfter && after < graceLimit+time.Second && len(runs[sent.id]) > 0 && took < orderTimeout {
			lost++
			c.log.line("%s: LOST", sent.id)
		}
	}
	c.log.line("%d orders sent, %d lost", len(c.orders), lost)

	return lost
}
