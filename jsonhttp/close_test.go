package jsonhttp_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/jsonhttp"
)

// Guards against a process that cannot end while it waits for an answer.
func TestCloseEndsRequests(t *testing.T) {
	tests := map[string]func(t *testing.T, client *jsonhttp.Client){
		"in progress": func(_ *testing.T, client *jsonhttp.Client) {
			time.AfterFunc(100*time.Millisecond, client.Close)
		},
		"not begun": func(_ *testing.T, client *jsonhttp.Client) { client.Close() },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			silent, err := net.Listen("tcp4", "127.0.0.1:0") // the kernel accepts, nothing answers
			assert.NilError(t, err)
			defer silent.Close()
			client := jsonhttp.NewClient(silent.Addr().String(), "", 10*time.Second)
			prepare(t, client)
			began := time.Now()
			_, err = client.Do(http.MethodGet, "/", nil)
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(began) < 2*time.Second, "the request took %s", time.Since(began))
			assert.Assert(t, client.Closed())
		})
	}
}
