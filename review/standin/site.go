package main

import (
	"fmt"
	"time"
)

// Times that the deployment of a case is given before the case begins.
const (
	// readyLimit is the time in which all hosts must become ready.
	readyLimit = 10 * time.Second
	// settleTime is the time after that in which nothing is judged: the span for
	// which a machine must be undisturbed.
	settleTime = 4 * time.Second
)

// site is a small deployment: the platform's store, upstreams of one service, and
// entry hosts, each with a link of its own to the store.
type site struct {
	log       *record
	store     *store
	fleet     *fleet
	links     []*proxy
	upstreams []*upstream
	// routes are the routes of the desired state.
	routes  []route
	version int
}

// route is a route of the desired state.
type route struct {
	name, prefix, kind, service, timeout, objective string
}

// newSite returns a deployment whose processes are not started.
func newSite(log *record, hosts int) (*site, error) {
	fleet, err := newFleet(hosts)
	if err != nil {
		return nil, err
	}

	return &site{log: log, store: newStore(), fleet: fleet, version: 2}, nil
}

// declare writes the next desired state and returns the time of its ack.
func (s *site) declare(services ...string) time.Time {
	s.version++
	resources := []any{}
	for _, r := range s.routes {
		resources = append(resources, map[string]any{"type": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
			"host": "shop.example", "prefix": r.prefix, "kind": r.kind, "timeout": r.timeout, names["objective"]: r.objective, "priority": 1,
			"service": r.service, "max_attempts": 2,
		}})
	}
	for _, service := range services {
		resources = append(resources, map[string]any{"type": "services", "metadata": map[string]any{"name": service}, "spec": map[string]any{
			"health_path": "/health", "max_connections": 240, "protocol": "h1", "tls": false, "warmup": "3s", names["cold_rate"]: 7.3,
		}})
	}
	resources = append(resources, map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
	}})
	ack := s.store.put("op", "config", map[string]any{"version": fmt.Sprintf("r%d", s.version), "resources": resources})
	s.log.line("desired state r%d is acknowledged", s.version)

	return ack
}

// join starts an upstream and registers it.
func (s *site) join(service, zone string, slots int, work time.Duration) (*upstream, error) {
	u, err := newUpstream(fmt.Sprintf("i-%d", len(s.upstreams)+1), service, zone, slots, work)
	if err != nil {
		return nil, err
	}
	s.upstreams = append(s.upstreams, u)
	s.store.put("servers", u.id, u.entry("ready"))

	return u, nil
}

// start starts the hosts, one in each of the zones, and returns when all are ready
// and have settled.
func (s *site) start(zones ...string) error {
	for i, zone := range zones {
		address, err := serveHTTP("127.0.2.1", s.store.handler(i))
		if err != nil {
			return err
		}
		link, err := newProxy("127.0.2.2", address)
		if err != nil {
			return err
		}
		s.links = append(s.links, link)
		if _, err := s.fleet.start(zone, link.address, len(zones)); err != nil {
			return err
		}
	}
	if err := s.fleet.awaitReady(readyLimit); err != nil {
		return err
	}
	time.Sleep(settleTime)

	return nil
}

// directories returns the addresses that answer consumers who ask where to connect.
func (s *site) directories() []string {
	var addresses []string
	for _, h := range s.fleet.hosts {
		addresses = append(addresses, h.directory)
	}

	return addresses
}

// recordRuns records what upstreams ran.
func (s *site) recordRuns() {
	for _, u := range s.upstreams {
		u.mu.Lock()
		for _, r := range u.runs {
			s.log.line("%s ran %s %s %s from %.3f s for %.3f s, broken off: %v", u.id, r.method, r.target, r.id, r.at.Sub(s.log.started).Seconds(), r.ended.Sub(r.at).Seconds(), r.cut)
		}
		u.mu.Unlock()
	}
}

// runs returns what upstreams ran, by request id.
func (s *site) runs() map[string][]*run {
	byID := map[string][]*run{}
	for _, u := range s.upstreams {
		u.mu.Lock()
		for _, r := range u.runs {
			byID[r.id] = append(byID[r.id], r)
		}
		u.mu.Unlock()
	}

	return byID
}
