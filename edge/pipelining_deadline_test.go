package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a call whose deadline and latency objective count from its turn although
// its head was read before: the caller has waited since then.
func TestTimeOfACallCountsFromItsHead(t *testing.T) {
	const waits, slack = 300 * time.Millisecond, 100 * time.Millisecond
	post := "POST /1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nhello"
	tests := map[string]struct {
		parts  []string
		waited time.Duration
	}{
		"read with the open request":         {parts: []string{get("/0") + post}, waited: waits},
		"read ahead":                         {parts: []string{get("/0"), post}, waited: waits - disconnectPollInterval},
		"behind another":                     {parts: []string{get("/0") + get("/2") + post}, waited: waits},
		"rest of the head comes at its turn": {parts: []string{get("/0") + post[:30]}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			front := newTestFront(t)
			caller := front.dial(t)
			began := time.Now()
			var open []CallArrived
			for _, part := range test.parts {
				caller.send(t, part)
				if len(open) == 0 {
					open = append(open, front.arrived(t, "/0", false))
				}
			}
			if more, ok := front.next(soon).(CallArrived); ok {
				open = append(open, more)
			}
			time.Sleep(time.Until(began.Add(waits)))
			for _, call := range open {
				answer(call)
				caller.receive(t, call.Request.Target)
			}
			if test.waited == 0 {
				caller.send(t, post[30:])
			}
			next := front.arrived(t, "/1", false)
			assert.Assert(t, next.ReadFor >= test.waited-slack && next.ReadFor <= test.waited+slack, "%v", next.ReadFor)
			left := time.Until(next.Request.Deadline)
			assert.Assert(t, left <= testDeadline-test.waited+slack, "%v left", left)
			answer(next)
			caller.receive(t, "/1")
		})
	}
}
