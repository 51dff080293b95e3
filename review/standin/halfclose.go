package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// leaveAfter is when a consumer that leaves does so: half the objective.
	leaveAfter = 250 * time.Millisecond
	// leaveEach is the number of consumers of which one leaves: a share of 0.3 at most.
	leaveEach = 4
)

// halfClose lets some consumers leave before their answer, in the way in which a
// connection is closed in order: they end their sending side and read until the host
// closes the connection.
func halfClose(log *record, trouble bool) (bool, error) {
	s, err := newSite(log, 1)
	if err != nil {
		return false, err
	}
	defer s.fleet.end()
	s.routes = []route{{"r-orders", "/orders/", "unsafe", "orders", "1200ms", "500ms"}, {"r-stock", "/stock/", "safe", "orders", "1200ms", "500ms"}}
	s.declare("orders")
	for range 4 {
		if _, err := s.join("orders", "north", 4, 600*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := s.start("north"); err != nil {
		return false, err
	}
	client := &consumer{zone: "north", directories: s.directories(), log: log.line}
	stop := client.keepResolving()
	defer stop()
	var (
		consumers sync.WaitGroup
		mu        sync.Mutex
		broken    int
	)
	for i := range 50 {
		consumers.Go(func() {
			method, target := http.MethodPost, "/orders/x"
			if i%2 == 1 {
				method, target = http.MethodGet, "/stock/x"
			}
			id := fmt.Sprintf("request-%d", i+1)
			leaves := trouble && i%leaveEach < 1
			result, err := ask(client.address(), message(method, target, id, 2500*time.Millisecond, "hinge"), leaves)
			text := fmt.Sprintf("%s, %s %s", id, method, target)
			if leaves {
				text += fmt.Sprintf(", consumer leaves after %v", leaveAfter)
			}
			if err != nil || result.err != nil {
				log.line("%s: no answer (%v %v)", text, err, result.err)

				return
			}
			log.line("%s: answered %d, signature %q, body %q", text, result.status, result.signature, result.body)
			if result.status/100 == 2 && result.signature == "" {
				mu.Lock()
				broken++
				mu.Unlock()
				log.line("%s: MIXED: a success without the signature of an upstream", id)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	consumers.Wait()
	s.recordRuns()
	log.line("%d successes without a signature", broken)

	return broken > 0, nil
}

// ask sends a request on a new connection and reads the answer.
func ask(front, request string, leaves bool) (outcome, error) {
	conn, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return outcome{}, err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(request)); err != nil {
		return outcome{}, err
	}
	if leaves {
		time.Sleep(leaveAfter)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return outcome{}, err
		}
	}

	return receive(conn, 3*time.Second), nil
}
