package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Bounds of the settings.
const (
	boundTouch      = 3 * time.Second
	boundConfig     = 2 * time.Second
	boundDrain      = 2 * time.Second
	boundEvacuation = 5 * time.Second
)

// config returns a desired state with routes, each given as "prefix kind service", and
// further entries.
func config(version int, services, routes []string, others ...string) string {
	resources := append([]string{names["limits"]}, others...)
	for _, service := range services {
		resources = append(resources, fmt.Sprintf(names["service"], service))
	}
	for _, text := range routes {
		fields := strings.Fields(text)
		resources = append(resources, fmt.Sprintf(names["route"], "r"+strings.Trim(fields[0], "/"), fields[0], fields[1], "1200ms", fields[2]))
	}
	return fmt.Sprintf(`{"version":"r%d","resources":[%s]}`, version, strings.Join(resources, ","))
}

// keepCalling sends requests to each host until the returned function is called. A target
// is a method, a path and a key, which may be empty.
func (w *world) keepCalling(targets [][3]string, pause time.Duration) (*[]call, func()) {
	var mutex sync.Mutex
	var clients sync.WaitGroup
	calls := &[]call{}
	stop := make(chan struct{})
	for _, h := range w.hosts {
		for _, target := range targets {
			clients.Go(func() {
				client := newClient()
				for {
					select {
					case <-stop:
						return
					case <-time.After(pause):
					}
					done := w.send(client, h, target[0], target[1], target[2])
					mutex.Lock()
					*calls = append(*calls, done)
					mutex.Unlock()
				}
			})
		}
	}
	return calls, func() {
		close(stop)
		clients.Wait()
	}
}

// change is what the operator and the upstreams changed, and when the store accepted it.
type change struct {
	// configAt is the ack of a desired state in which /moved/ goes to another service than
	// stock, /dropped/ is dropped, and so is the key withdrawnKey.
	configAt time.Time
	// drainedAt is the ack of the draining of these servers.
	drainedAt time.Time
	leavers   []*server
	// evacuatedAt is the ack of the evacuation of zone south, or zero.
	evacuatedAt time.Time
}

// withdrawnKey is the key that a desired state drops.
const withdrawnKey = "key-two"

// judge checks whether the hosts kept to a change in time.
func (w *world) judge(calls []call, made change) int {
	old, dropped, key, last, late, south, answered := 0, 0, 0, 0, 0, 0, 0
	for _, c := range calls {
		if c.status == 200 {
			answered++
		}
		outdated := c.path == "/dropped/x" || c.key == withdrawnKey
		for _, r := range w.runsOf(c.id) {
			moved := c.path == "/moved/x" && r.service == "stock"
			if c.sent.After(made.configAt.Add(boundConfig)) {
				old += count(moved)
				dropped += count(c.path == "/dropped/x")
				key += count(c.key == withdrawnKey)
			}
			last += count(c.sent.After(made.configAt.Add(12*time.Second)) && (moved || outdated))
			for _, leaver := range made.leavers {
				late += count(r.server == leaver.id && c.sent.After(made.drainedAt.Add(boundDrain)))
			}
			south += count(!made.evacuatedAt.IsZero() && r.zone == "south" && r.at.After(made.evacuatedAt.Add(boundEvacuation)))
		}
	}
	w.say("%d requests, %d answered 200", len(calls), answered)
	w.say("CONFIG: %d requests sent later than config after the ack were run by the old service", old)
	w.say("CONFIG: %d requests sent later than config after the ack were run with the dropped route", dropped)
	w.say("CONFIG: %d requests sent later than config after the ack were run with the dropped key", key)
	w.say("CONFIG: %d of these requests were sent later than 12 s after the ack", last)
	w.say("DRAIN: %d requests reached a draining upstream later than drain_timeout after the ack", late)
	w.say("EVAC: %d requests reached the evacuated zone later than evacuation after the ack", south)
	if answered == 0 {
		panic(unable{fmt.Errorf("no request was answered")})
	}
	if old+dropped+key+late+south > 0 {
		return broken
	}
	return held
}

func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
