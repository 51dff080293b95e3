package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["late-write"] = playLateWrite }

const (
	// impairment is how long the store loses answers.
	impairment = 4500 * time.Millisecond
	// lastBeat is how long before the end of the impairment the late writes are sent. They
	// are carried out 5.7 s after that: 1 to 6 s by the pages.
	lastBeat = 100 * time.Millisecond
	// lateAfterAck is the time from the ack of an upstream's leaving to its late write. The
	// upstream writes again two heartbeats after the ack.
	lateAfterAck = 2400 * time.Millisecond
	// servesOn is how long a draining upstream serves after the ack: drain_timeout and, as
	// the pages say, a little longer, at times many seconds.
	servesOn = 6 * time.Second
	// leavingUpstreams of allUpstreams leave, and their last write of the impairment is late.
	allUpstreams, leavingUpstreams = 32, 8
	// stableAfter is how long after the impairment they report that they drain.
	stableAfter = touch + 200*time.Millisecond
	// consumers send an order each, 80 ms after the answer to the last one.
	consumers = 40
)

var orderClass = class{name: "forge-order", method: "POST", host: "a.example", path: "/orders/x1", body: "order", deadline: 2500 * time.Millisecond}

func playLateWrite(s *setting) (bool, error) {
	f := &fleet{store: s.store, record: s.record, slots: 4, work: 20 * time.Millisecond, cold: 3 * time.Second, port: s.upstreamPort}
	var (
		mutex sync.Mutex
		late  []string
	)
	f.onRun = func(id string, at *upstream) {
		acked := at.ackedAt.Load()
		if acked == 0 {
			return
		}
		if since := time.Since(time.Unix(0, acked)); since > drainTimeout {
			mutex.Lock()
			defer mutex.Unlock()
			late = append(late, fmt.Sprintf("%s at %s, %.3f s after the ack", id, at.id, since.Seconds()))
			s.record.add("broken", late[len(late)-1])
		}
	}
	var members []*upstream
	for range allUpstreams {
		members = append(members, f.start("orders", false))
	}
	probe := newProber(s.ready)
	if !eventually(10*time.Second, probe.ready) {
		return false, fmt.Errorf("the host did not become ready")
	}
	began := time.Now()
	lossEnds := began.Add(4*time.Second + impairment)
	end := lossEnds.Add(touch + servesOn + 4*time.Second)
	var running sync.WaitGroup
	served := 0
	for i := range consumers {
		running.Go(func() {
			c := &consumer{number: i, front: s.front, keeps: 1 << 20, record: s.record}
			defer c.close()
			for time.Now().Before(end) {
				if o := c.send(orderClass); o.served() {
					mutex.Lock()
					served++
					mutex.Unlock()
				}
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	leaving := members[:leavingUpstreams]
	time.Sleep(time.Until(lossEnds.Add(-lastBeat)))
	drains := lossEnds.Add(stableAfter)
	for _, u := range leaving {
		statement := u.statement()
		if !s.trouble {
			s.store.put("servers", u.id, statement)
		}
		running.Go(func() {
			time.Sleep(time.Until(drains))
			u.drain(servesOn)
		})
		if s.trouble {
			s.record.add("write not answered", u.id)
			time.AfterFunc(time.Until(drains.Add(lateAfterAck)), func() {
				s.store.put("servers", u.id, statement)
				s.record.add("write carried out late", u.id)
			})
		}
	}
	running.Wait()
	report := fmt.Sprintf("DRAIN: %d requests reached an upstream later than %v after the ack of its leaving; %d requests served; %v", len(late), drainTimeout, served, late)
	s.record.add("result", report)
	fmt.Println(report)

	return len(late) == 0, nil
}
