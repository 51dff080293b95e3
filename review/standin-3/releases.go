package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["releases"] = playReleases }

// Figures of the deployment in demands/mzizi-lango-grown.toml.
const (
	releaseShare = 0.593                  // of the upstreams of a service in one release
	releaseStep  = 11                     // upstreams that are replaced at a time
	releaseGap   = 967 * time.Millisecond // between two steps
	drainTimeout = 2000 * time.Millisecond
	touch        = 3 * time.Second
)

var releaseServices = map[string]int{"salio": 79, "kodi": 44, "daftari": 95}

var releaseClasses = []class{
	{name: "balance-check", method: "GET", host: "a.example", path: "/balance/x1", deadline: 2 * time.Second},
	{name: "tax-filing", method: "POST", host: "a.example", path: "/tax/x2", body: "filing", deadline: 2500 * time.Millisecond},
	{name: "statement-pull", method: "GET", host: "a.example", path: "/statement/x3", deadline: 2 * time.Second},
}

// release replaces a share of the upstreams of a service, a few at a time: the new ones
// start first, the old ones drain.
func release(f *fleet, service string, members []*upstream, until time.Time) []*upstream {
	count := int(releaseShare * float64(len(members)))
	for done := 0; done < count && time.Now().Before(until); done += releaseStep {
		step := min(releaseStep, count-done)
		for range step {
			members = append(members, f.start(service, true))
		}
		for _, old := range members[:step] {
			go old.drain(drainTimeout + 300*time.Millisecond)
		}
		members = members[step:]
		time.Sleep(releaseGap)
	}

	return members
}

func playReleases(s *setting) (bool, error) {
	f := &fleet{store: s.store, record: s.record, slots: 4, work: 130 * time.Millisecond, cold: 3 * time.Second, port: s.upstreamPort}
	fleets := map[string][]*upstream{}
	for service, count := range releaseServices {
		for range count {
			fleets[service] = append(fleets[service], f.start(service, false))
		}
	}
	probe := newProber(s.ready)
	if !eventually(10*time.Second, probe.ready) {
		return false, fmt.Errorf("the host did not become ready")
	}
	began := time.Now()
	calm := began.Add(88 * time.Second)
	end := calm.Add(19 * time.Second)
	judgedFrom := calm.Add(drainTimeout + touch + time.Second)
	var (
		running  sync.WaitGroup
		mutex    sync.Mutex
		outcomes []outcome
		replaced atomic.Int64
	)
	if s.trouble {
		for service, members := range fleets {
			running.Go(func() {
				for time.Now().Add(6 * time.Second).Before(calm) {
					before := f.nextIP.Load()
					members = release(f, service, members, calm)
					replaced.Add(f.nextIP.Load() - before)
					s.record.add("released", service)
				}
			})
		}
	}
	for i := range 120 {
		running.Go(func() {
			c := &consumer{number: i, front: s.front, keeps: 1 + 19*min(i%3, 1), record: s.record}
			defer c.close()
			for n := i; time.Now().Before(end); n++ {
				o := c.send(releaseClasses[n%len(releaseClasses)])
				mutex.Lock()
				outcomes = append(outcomes, o)
				mutex.Unlock()
				time.Sleep(120 * time.Millisecond)
			}
		})
	}
	var readyAt []time.Time
	running.Go(func() {
		for time.Now().Before(end) {
			if probe.ready() {
				readyAt = append(readyAt, time.Now())
				s.record.add("ready")
			} else {
				s.record.add("not ready")
			}
			time.Sleep(time.Second)
		}
	})
	running.Go(func() {
		for time.Now().Before(end) {
			s.record.add("descriptors", countDescriptors(s.hostPID))
			time.Sleep(2 * time.Second)
		}
	})
	running.Wait()

	return judgeReleases(s, outcomes, readyAt, judgedFrom, end), nil
}

// judgeReleases applies the rule RECOVER in the calm after the last upstream has left: a
// machine in touch that says it is ready takes no new connection for touch, while seven
// consumers or more try. Nothing is ever done to the host itself.
func judgeReleases(s *setting, outcomes []outcome, readyAt []time.Time, from, end time.Time) bool {
	calm, served, fresh, taken := 0, 0, 0, 0
	statuses := map[string]int{}
	var tries []outcome
	for _, o := range outcomes {
		if o.sentAt.Before(from) {
			continue
		}
		calm++
		if o.served() {
			served++
		}
		if o.fresh {
			fresh++
			tries = append(tries, o)
			if o.status > 0 {
				taken++
			}
		}
		statuses[fmt.Sprintf("%d %s", o.status, o.fault)]++
	}
	spans, refusing := 0, 0
	for start := from; start.Add(touch + time.Second).Before(end); start = start.Add(touch) {
		spans++
		within := func(at time.Time) bool { return !at.Before(start) && at.Before(start.Add(touch)) }
		consumers, took, ready := map[int]bool{}, 0, 0
		for _, try := range tries {
			if within(try.sentAt) {
				consumers[try.consumer] = true
				if try.status > 0 {
					took++
				}
			}
		}
		for _, at := range readyAt {
			if within(at) {
				ready++
			}
		}
		if len(consumers) >= 7 && took == 0 && ready >= 2 {
			refusing++
			s.record.add("broken", fmt.Sprintf("%d consumers tried a new connection and none was taken, while the host said %d times that it is ready", len(consumers), ready))
		}
	}
	report := fmt.Sprintf("RECOVER: no new connection taken in %d of %d spans; in the calm %d of %d requests served and %d of %d new connections taken; %v",
		refusing, spans, served, calm, taken, fresh, statuses)
	s.record.add("result", report)
	fmt.Println(report)

	return refusing == 0
}
