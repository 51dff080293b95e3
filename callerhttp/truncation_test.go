package callerhttp_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/callerhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

func TestCallerDetectsATruncatedResponse(t *testing.T) {
	long := strings.Repeat("x", 400_000)
	sized := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		method string
		raw    string
		cut    func(conn *net.TCPConn)
		whole  bool
		status int
	}{
		"content length, complete":                        {raw: sized + long, whole: true, status: http.StatusOK},
		"chunked, complete":                               {raw: chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long), whole: true, status: http.StatusOK},
		"content length, closed early":                    {raw: sized + long[1:], cut: closeFake, status: http.StatusOK},
		"content length, reset early":                     {raw: sized + long[1:], cut: resetFake, status: http.StatusOK},
		"chunked, closed between chunks":                  {raw: chunked + fmt.Sprintf("%x\r\n%s\r\n", len(long), long), cut: closeFake, status: http.StatusOK},
		"chunked, closed within a chunk":                  {raw: chunked + fmt.Sprintf("%x\r\n%s", len(long), long[1:]), cut: closeFake, status: http.StatusOK},
		"chunked, reset between chunks":                   {raw: chunked + fmt.Sprintf("%x\r\n%s\r\n", len(long), long), cut: resetFake, status: http.StatusOK},
		"short, closed early, not idempotent":             {method: http.MethodPost, raw: sized + "short", cut: closeFake, status: http.StatusBadGateway, whole: true},
		"short and chunked, closed early, not idempotent": {method: http.MethodPost, raw: chunked + "5\r\nshort\r\n", cut: closeFake, status: http.StatusBadGateway, whole: true},
		"neither length nor chunks, not idempotent":       {method: http.MethodPost, raw: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + long, cut: closeFake, status: http.StatusBadGateway, whole: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(_ context.Context, _ *http.Request, conn *net.TCPConn) {
				writeRaw(conn, test.raw)
				if test.cut != nil {
					test.cut(conn)
				}
			})
			s := newStack(t, schema.BackendServer{Address: server.address, Slots: 4})
			method := test.method
			if method == "" {
				method = http.MethodGet
			}
			conn := s.connect(t, method, "/call/catalogue/pack", "Content-Length: 0\r\n")
			var raw bytes.Buffer
			response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &raw)), nil)
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.Equal(t, response.StatusCode, test.status)
			if !test.whole {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				assert.Assert(t, !bytes.HasSuffix(raw.Bytes(), []byte("\r\n0\r\n\r\n")), "the last chunk was sent")

				return
			}
			assert.NilError(t, err)
			if test.status == http.StatusOK {
				assert.Equal(t, len(body), len(long))
			} else {
				assert.Equal(t, response.Header.Get(callerhttp.HeaderOutcome), "unknown")
				assert.Equal(t, response.Header.Get(callerhttp.HeaderReason), "cut")
			}
			s.waitFor(t, 0, 0)
		})
	}
}

// closeFake shuts down the sending side after the bytes already sent.
func closeFake(conn *net.TCPConn) {
	_ = conn.CloseWrite()
}

func resetFake(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
