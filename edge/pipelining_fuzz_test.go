package edge

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzPipelining guards against responses that differ from those of a front that does not
// divide the bytes of a connection and serves one request at a time.
func FuzzPipelining(f *testing.F) {
	divided := newTestFront(f)
	undivided := newTestFront(f, func(front *callerFront) { front.connections.DivideRequests = false })
	divided.answerAll(f)
	undivided.answerAll(f)
	post := "POST /post HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nhello"
	for _, text := range []string{
		gets(3), get("/a") + post + get("/b") + get("/c"), get("/a") + get("/once") + get("/b"), get("/a") + "HEAD" + get("/b")[3:] + get("/c"),
		get("/a") + get("/b", "Connection: close") + get("/c"), get("/a") + "\r\n" + get("/b") + get("/c"),
		get("/a") + "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + get("/b"),
		get("/a") + get("/b", "Content-Length: 3") + "abc" + get("/c"), get("/a") + "GET /b\r\n\r\n" + get("/c"),
		get("/a") + get("/b", "X-A: 1\r\n 2") + get("/c"), get("/a") + get("/b", "Host: b.example") + get("/c"),
	} {
		f.Add([]byte(text), len(text))
		f.Add([]byte(text), 90)
	}
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		if len(text) > 16<<10 || strings.Contains(strings.ToLower(string(text)), "expect") {
			return // an interim response depends on when bytes arrive
		}
		cut = min(max(cut, 0), len(text))
		want, err := exchangeAll(undivided.address, text[:cut], text[cut:])
		if err != nil {
			return // unread bytes reset the connection
		}
		got, err := exchangeAll(divided.address, text[:cut], text[cut:])
		if err == nil {
			assert.Equal(t, got, want, "%q", text)
		}
	})
}

// exchangeAll sends parts on a connection, and returns all responses.
func exchangeAll(address string, parts ...[]byte) (string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return "", err
		}
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		return "", err
	}
	responses, err := io.ReadAll(conn)

	return string(responses), err
}
