package edge

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/tcp"
)

// Guards against a caller that pipelines without a pause and uses more and more of the
// memory budget, because requests that were answered still count as read ahead.
func TestAnsweredRequestsHoldNoMemory(t *testing.T) {
	front := newTestFront(t)
	caller := front.dial(t)
	request := func(i int) string { return get(fmt.Sprintf("/%d", i), "X-Fill: "+strings.Repeat("x", 2000)) }
	const depth, rounds = 4, 100
	for i := range depth {
		caller.send(t, request(i))
	}
	var calls []CallArrived
	for i := range rounds {
		for len(calls) < depth {
			next, ok := front.next(disconnectPollInterval + soon).(CallArrived)
			assert.Assert(t, ok)
			calls = append(calls, next)
		}
		caller.send(t, request(i+depth))
		answer(calls[0])
		caller.receive(t, fmt.Sprintf("/%d", i))
		calls = calls[1:]
		assert.Assert(t, front.budget.Used() <= tcp.MaxAheadBytes, "%d bytes after %d requests", front.budget.Used(), i+1)
	}
}
