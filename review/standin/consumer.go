package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// ttlMax is the longest time that an answer of the directory may state.
const ttlMax = 5 * time.Second

// consumer resolves addresses as the platform's page on ingress says.
type consumer struct {
	zone        string
	directories []string
	log         func(format string, arguments ...any)

	mu        sync.Mutex
	addresses []string
	until     time.Time
	next      int
}

// resolveInterval is the time between two checks whether a kept answer has ended.
const resolveInterval = 50 * time.Millisecond

// keepResolving resolves now and whenever a kept answer has ended, until the
// returned function is called.
func (c *consumer) keepResolving() func() {
	c.refresh()
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(resolveInterval):
				c.refresh()
			}
		}
	}()

	return func() { close(stopped) }
}

// refresh asks for addresses when the kept answer has ended. If no node answers,
// the consumer keeps the answer that it has.
func (c *consumer) refresh() {
	c.mu.Lock()
	due := time.Now().After(c.until)
	c.mu.Unlock()
	if !due {
		return
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, directory := range c.directories {
		query := url.Values{"name": {"shop.example"}, "region": {"island"}, "zone": {c.zone}}
		response, err := client.Get("http://" + directory + names["path_resolve"] + "?" + query.Encode())
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string
			TTL       string
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
			continue
		}
		ttl, err := time.ParseDuration(answer.TTL)
		if err != nil {
			continue
		}
		c.mu.Lock()
		if fmt.Sprint(answer.Addresses) != fmt.Sprint(c.addresses) {
			c.log("the directory names %v, ttl %v", answer.Addresses, ttl)
		}
		c.addresses, c.until = answer.Addresses, time.Now().Add(min(ttl, ttlMax))
		c.mu.Unlock()

		return
	}
}

// address returns one of the addresses in use.
func (c *consumer) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	c.next++

	return c.addresses[c.next%len(c.addresses)]
}

// uses reports whether an address is among those in use.
func (c *consumer) uses(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.addresses {
		if known == address {
			return true
		}
	}

	return false
}

// message returns a request as bytes.
func message(method, target, id string, deadline time.Duration, body string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n", method, target, names["request_id"], id, names["deadline"], deadline.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}

	return head + "\r\n" + body
}

// outcome is what a consumer got for one attempt.
type outcome struct {
	status    int
	signature string
	instance  string
	body      string
	err       error
}

// receive reads one answer.
func receive(conn net.Conn, limit time.Duration) outcome {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return outcome{err: err}
	}
	body, err := io.ReadAll(response.Body)

	return outcome{response.StatusCode, response.Header.Get(names["signature"]), response.Header.Get(names["instance_id"]), string(body), err}
}
