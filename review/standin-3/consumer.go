package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// class is a kind of request.
type class struct {
	name, method, host, path, body string
	deadline                       time.Duration
}

// outcome is how a request ended for its consumer.
type outcome struct {
	id     string
	sentAt time.Time
	// endedAt is when it had its answer or gave up.
	endedAt time.Time
	// status is 0 without an answer. fault says why there is none, or what is wrong.
	status int
	fault  string
	fresh  bool
	// consumer is the number of the consumer.
	consumer int
}

// served reports whether the consumer got a whole success of an upstream.
func (o outcome) served() bool { return o.status == http.StatusOK && o.fault == "" }

var lastID atomic.Int64

// consumer sends one request at a time and keeps its connection, or opens one for each.
type consumer struct {
	number int
	front  string
	// keeps is the number of requests that it sends on one connection.
	keeps  int
	sent   int
	record *record
	conn   net.Conn
	reader *bufio.Reader
}

// send sends a request and waits for its answer.
func (c *consumer) send(kind class) outcome {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	o := outcome{id: id, sentAt: time.Now(), consumer: c.number}
	c.record.add("sent", id, kind.name)
	if c.conn == nil {
		o.fresh = true
		conn, err := net.DialTimeout("tcp4", c.front, time.Second)
		if err != nil {
			o.fault, o.endedAt = "no connection", time.Now()
			c.record.add("answered", id, 0, o.fault)

			return o
		}
		c.conn, c.reader, c.sent = conn, bufio.NewReader(conn), 0
	}
	c.exchange(kind, &o)
	c.sent++
	if o.fault != "" || c.sent >= c.keeps {
		c.close()
	}
	o.endedAt = time.Now()
	c.record.add("answered", id, o.status, o.fault)

	return o
}

func (c *consumer) exchange(kind class, o *outcome) {
	_ = c.conn.SetDeadline(time.Now().Add(kind.deadline))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", kind.method, kind.path, kind.host, names["request_id"], o.id, names["deadline"], kind.deadline.Milliseconds())
	if kind.method != http.MethodGet {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(kind.body))
	}
	if _, err := io.WriteString(c.conn, request+"\r\n"+kind.body); err != nil {
		o.fault = "cut while sending"

		return
	}
	method, _ := http.NewRequest(kind.method, "/", nil)
	response, err := http.ReadResponse(c.reader, method)
	if err != nil {
		o.fault = "no answer: " + cause(err)

		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	o.status = response.StatusCode
	switch {
	case err != nil:
		o.fault = "answer is not whole: " + cause(err)
	case o.status < 300 && response.Header.Get(names["signature"]) == "":
		o.fault = "success without a signature"
	case o.status < 300 && string(body) != "answer to "+o.id+"\n":
		o.fault = "foreign body"
	case response.Close:
		c.close()
	}
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// cause returns a fixed text for an error.
func cause(err error) string {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return "the deadline passed"
	}

	return strings.ReplaceAll(err.Error(), " ", "_")
}

// resolve asks the directory for the addresses of hosts.
func resolve(directory string) ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + directory + names["path_resolve"] + "?name=a.example&region=region-a&zone=zone-a")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)

	return answer.Addresses, err
}

// prober asks a host once a second whether it is ready, over a connection that it keeps.
type prober struct {
	client *http.Client
	url    string
}

func newProber(address string) *prober {
	return &prober{client: &http.Client{Timeout: time.Second, Transport: &http.Transport{}}, url: "http://" + address + names["path_ready"]}
}

func (p *prober) ready() bool {
	response, err := p.client.Get(p.url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)

	return response.StatusCode == http.StatusOK
}
