package main

import (
	"fmt"
	"time"
)

// restoredStore has the store come back from a copy, and has the operator and two upstreams
// make changes when the store has been stable for the bound touch.
func restoredStore(w *world) int {
	const (
		hosts   = 3
		copyAge = 8 * time.Second
	)
	w.store = newStore(fmt.Sprintf("127.0.0.1:%d", w.port+8))
	services := []string{"stock", "orders"}
	one, two := fmt.Sprintf(names["tenant"], "one", "key-one"), fmt.Sprintf(names["tenant"], "two", withdrawnKey)
	first := config(3, services, []string{"/moved/ safe stock", "/dropped/ unsafe stock", "/kept/ unsafe orders"}, one, two)
	w.store.put("op", "config", first)
	for i := range 6 {
		w.addServer(fmt.Sprintf("i-stock-%d", i), "stock", []string{"north", "south"}[i%2], 20*time.Millisecond)
	}
	for i := range 6 {
		w.addServer(fmt.Sprintf("i-orders-%d", i), "orders", []string{"north", "south"}[i%2], 20*time.Millisecond)
	}
	for i := range hosts {
		w.addHost(i, []string{"north", "south", "north"}[i], w.store.address, hosts)
	}
	for _, h := range w.hosts {
		h.start()
	}
	for _, h := range w.hosts {
		h.awaitReady(15 * time.Second)
	}
	calls, end := w.keepCalling([][3]string{
		{"GET", "/moved/x", "key-one"}, {"POST", "/dropped/x", "key-one"}, {"POST", "/kept/x", "key-one"}, {"POST", "/kept/x", withdrawnKey},
	}, 50*time.Millisecond)

	time.Sleep(4 * time.Second)
	copied := w.store.snapshot()
	w.say("the copy of the store is taken at version %d", copied.ver)
	time.Sleep(copyAge)
	if w.trouble {
		w.say("the store goes away at version %d", w.store.version())
		w.store.goAway()
		time.Sleep(time.Second)
		w.store.comeBack(&copied)
		w.say("the store is back from the copy, %s old, at version %d", copyAge, w.store.version())
		w.store.put("op", "config", first)
		for _, s := range w.servers {
			s.beat()
		}
		w.say("the operator and the upstreams have written again what they wrote; version %d", w.store.version())
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(boundTouch + 200*time.Millisecond)

	// The store has been without impairment for longer than touch.
	var made change
	version := w.store.put("op", "config", config(7, services, []string{"/moved/ safe orders", "/kept/ unsafe orders"}, one))
	made.configAt = time.Now()
	w.say("the store accepts desired state r7 at version %d: /moved/ goes to orders, /dropped/ and the key of tenant two are dropped", version)
	made.leavers = []*server{w.servers[0], w.servers[6]}
	for _, leaver := range made.leavers {
		made.drainedAt = leaver.drain()
	}
	w.say("the store accepts that %s and %s are draining, version %d", made.leavers[0].id, made.leavers[1].id, w.store.version())
	version = w.store.put("op", "evacuate/south", "{}")
	made.evacuatedAt = time.Now()
	w.say("the store accepts the evacuation of zone south at version %d", version)

	time.Sleep(15 * time.Second)
	end()
	w.say("version of the store at the end %d", w.store.version())
	return w.judge(*calls, made)
}
