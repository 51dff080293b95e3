package backendhttp_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
)

func TestIsEndToEnd(t *testing.T) {
	tests := map[string]struct {
		names      []string
		connection string
		want       bool
	}{
		"end to end":               {names: []string{"Accept", "content-type", "X-Forge", "Baobab", "Echo", "A-Name-Longer-Than-Any-Hop-By-Hop-One"}, want: true},
		"hop by hop":               {names: []string{"Connection", "KEEP-ALIVE", "transfer-Encoding", "Proxy-Authorization", "Host", "Content-Length"}},
		"listed in Connection":     {names: []string{"X-Trace", "x-other"}, connection: "close, x-trace , X-Other"},
		"not listed in Connection": {names: []string{"X-Trac", "Close-X"}, connection: "close, x-trace", want: true},
		"fields of this project":   {names: []string{"Baobabdrum-Hops", "baobabdrum-shed", "BAOBABDRUM-X"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, header := range test.names {
				assert.Equal(t, backendhttp.IsEndToEnd([]byte(header), []byte(test.connection)), test.want, header)
			}
		})
	}
}
