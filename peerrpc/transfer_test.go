package peerrpc_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against transfers that failed and of which nobody could tell whether they had
// received nothing or nearly everything.
func TestBytesOfACallAreCountedAlsoIfItFails(t *testing.T) {
	address := startServer(t)
	tests := map[string]struct {
		passed int64
		fails  bool
	}{
		"whole answer": {passed: maxAnswer},
		"cut answer":   {passed: 20, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			proxy := startProxy(t, address, test.passed)
			client := peerrpc.NewClient(token, timeout)
			var answer schema.MembersAnswer
			err := peerrpc.Call(context.Background(), client, proxy.address, peerrpc.MethodMembers, &schema.MembersRequest{Sender: "host"}, &answer)
			client.Close()
			proxy.copies.Wait()
			assert.Equal(t, err != nil, test.fails)
			assert.Equal(t, int64(client.Received), proxy.passed)
		})
	}
}
