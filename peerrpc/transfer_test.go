package peerrpc_test

import (
	"context"
	"testing"
	"time"

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

// Guards against large answers that are cut off after a fixed time while they arrive, and
// are requested again from their first byte.
func TestAnswersThatProceedAreNotCutOff(t *testing.T) {
	const count = 4000
	tests := map[string]struct {
		rate  int
		fails bool
	}{
		"takes three times the timeout": {rate: 60_000},
		"slower than the least rate":    {rate: 5_000, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy := startSlowProxy(t, startServer(t), maxAnswer, test.rate)
			client := peerrpc.NewClient(token, timeout)
			var answer schema.DeclaredAnswer
			startedAt := time.Now()
			err := peerrpc.Call(context.Background(), client, proxy.address, peerrpc.MethodDeclared, &schema.DeclaredRequest{Version: count}, &answer)
			took := time.Since(startedAt)
			client.Close()
			proxy.copies.Wait()
			if test.fails {
				assert.Assert(t, err != nil)
				assert.Assert(t, took < 2*timeout, "given up after %v", took)

				return
			}
			assert.NilError(t, err)
			assert.Assert(t, took > 2*timeout, "took %v only", took)
			assert.Equal(t, len(answer.Gone), count)
		})
	}
}
