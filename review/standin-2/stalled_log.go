package main

import (
	"fmt"
	"time"
)

// stalledLog has nobody read the log pipes of the entry hosts any more, and then the store
// be away for two seconds. Long after it is back, the operator and an upstream make
// changes.
func stalledLog(w *world) int {
	const hosts = 3
	w.store = newStore(fmt.Sprintf("127.0.0.1:%d", w.port+8))
	services := []string{"stock", "orders"}
	w.store.put("op", "config", config(3, services, []string{"/moved/ safe stock", "/dropped/ unsafe stock", "/kept/ unsafe orders"}))
	for i := range 6 {
		w.addServer(fmt.Sprintf("i-stock-%d", i), "stock", []string{"north", "south"}[i%2], 20*time.Millisecond)
	}
	for i := range 6 {
		w.addServer(fmt.Sprintf("i-orders-%d", i), "orders", []string{"north", "south"}[i%2], 20*time.Millisecond)
	}
	for i := range hosts {
		w.addHost(i, []string{"north", "south", "north"}[i], w.store.address, hosts).piped = true
	}
	for _, h := range w.hosts {
		h.start()
	}
	for _, h := range w.hosts {
		h.awaitReady(15 * time.Second)
	}
	calls, end := w.keepCalling([][3]string{{"GET", "/moved/x"}, {"POST", "/dropped/x"}, {"POST", "/kept/x"}}, 50*time.Millisecond)

	time.Sleep(3 * time.Second)
	if w.trouble {
		w.say("nobody reads the logs of the hosts any more")
		for _, h := range w.hosts {
			h.stall()
		}
	}
	time.Sleep(10 * time.Second)
	w.say("the store goes away")
	w.store.goAway()
	time.Sleep(2 * time.Second)
	w.store.comeBack(nil)
	w.say("the store is back, with all that it had")
	time.Sleep(10 * time.Second)

	w.store.put("op", "config", config(7, services, []string{"/moved/ safe orders", "/kept/ unsafe orders"}))
	configAt := time.Now()
	w.say("the store accepts desired state r7: /moved/ goes to orders, /dropped/ is dropped")
	leaver := w.servers[6]
	drainedAt := leaver.drain()
	w.say("the store accepts that %s is draining", leaver.id)
	time.Sleep(15 * time.Second)
	end()
	return w.judge(*calls, change{configAt: configAt, drainedAt: drainedAt, leavers: []*server{leaver}})
}
