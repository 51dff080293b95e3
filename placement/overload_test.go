package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// overloadedPlacer returns a placer with calls that are all late: some in flight and
// some queued.
func overloadedPlacer(servers, calls int) (*placement.Placer, time.Time) {
	registrations := make([]schema.Registration, 0, servers)
	for i := range servers {
		next := registration(fmt.Sprintf("s%04d", i))
		next.Address = fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		registrations = append(registrations, next)
	}
	placer := newPlacer(declaration(schema.Route{Idempotent: true}, registrations...))
	now := begin
	for i := range calls {
		placer.Step(now, placement.CallArrived{Call: placement.CallID(i + 1), HostName: "a.example", Path: "/x/1", Wait: 60 * time.Second})
	}

	return placer, now.Add(700 * time.Millisecond)
}

// Guards against a host that falls behind for good: with some 50 late calls a tick
// took longer than the interval between ticks, which made more calls late. Changes
// of the declared state waited behind the calls.
func TestTickDoesNotGrowWithLateCalls(t *testing.T) {
	const calls, limit = 800, 40
	placer, now := overloadedPlacer(445, calls)
	one, tick := time.Hour, time.Hour
	for i := range 20 {
		now = now.Add(10 * time.Millisecond)
		startedAt := time.Now()
		placer.Step(now, placement.CallArrived{Call: placement.CallID(calls + 1 + i), HostName: "a.example", Path: "/x/1", Wait: 60 * time.Second})
		one = min(one, time.Since(startedAt))
		startedAt = time.Now()
		placer.Step(now, placement.Ticked{})
		tick = min(tick, time.Since(startedAt))
	}
	assert.Assert(t, tick <= limit*one, "a tick takes %v, a placement %v", tick, one)
}

func BenchmarkTickOfLateCalls(b *testing.B) {
	for _, calls := range []int{50, 200, 800, 1600} {
		b.Run(fmt.Sprint(calls), func(b *testing.B) {
			placer, now := overloadedPlacer(445, calls)
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				placer.Step(now, placement.Ticked{})
			}
		})
	}
}
