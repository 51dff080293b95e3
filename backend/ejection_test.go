package backend_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
)

// resultOnA returns a function that gives attempts on backend server a the
// stated duration and result, and all others those of quick.
func resultOnA(took time.Duration, result backend.Result) func(string) (time.Duration, backend.Result) {
	return func(chosen string) (time.Duration, backend.Result) {
		if chosen == "a" {
			return took, result
		}

		return quick(chosen)
	}
}

func TestErrorsCountAsSlow(t *testing.T) {
	tests := map[string]backend.Result{
		"error status":       backend.Whole{Status: 500},
		"shed":               backend.Shed{},
		"refused connection": backend.Unsent{},
		"cut answer":         backend.Cut{},
	}
	for name, result := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16})
			d.declare(4, "a", "b", "c")
			d.fill(40)
			before := d.count("a")
			for d.count("a") == before {
				d.serve(1, resultOnA(time.Microsecond, result))
			}
			assert.Assert(t, d.server("a").Latency > 10*time.Millisecond, "an error counted as a latency of %s", d.server("a").Latency)
			d.serve(600, resultOnA(time.Microsecond, result))
			assert.Assert(t, d.count("a")-before <= 12, "%d of 600 calls went to the failing server", d.count("a")-before)
		})
	}
}

func TestSlowServerIsTriedAgain(t *testing.T) {
	d := newDriver(t, backend.Options{QueueLength: 16})
	d.declare(4, "a", "b")
	d.serve(60, resultOnA(100*time.Millisecond, answered))
	before := d.count("a")
	d.serve(2000, quick)
	assert.Assert(t, d.count("a")-before >= 200, "only %d of 2000 calls went to the recovered server", d.count("a")-before)
}

func TestEjectionIsBounded(t *testing.T) {
	tests := map[string]struct {
		servers, want int
	}{
		"never the only one": {servers: 1, want: 0},
		"one of two":         {servers: 2, want: 1},
		"one of three":       {servers: 3, want: 1},
		"a third of twenty":  {servers: 20, want: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16})
			addresses := make([]string, 0, test.servers)
			for index := range test.servers {
				addresses = append(addresses, fmt.Sprint(index))
			}
			d.declare(4, addresses...)
			d.serve(400, func(string) (time.Duration, backend.Result) {
				return time.Microsecond, backend.Whole{Status: 500}
			})
			ejected := 0
			for _, address := range addresses {
				if d.server(address).Ejected(d.now) {
					ejected++
				}
			}
			assert.Equal(t, ejected, test.want)
		})
	}
}

func TestEjectedServerReturnsCold(t *testing.T) {
	d := newDriver(t, backend.Options{QueueLength: 16})
	d.declare(4, "a", "b")
	d.fill(40)
	for !d.server("a").Ejected(d.now) {
		d.serve(10, resultOnA(time.Microsecond, backend.Whole{Status: 500}))
	}
	until := d.server("a").EjectedUntil
	assert.Assert(t, until.Sub(d.now) <= time.Second)
	before := d.count("a")
	d.serve(10, quick)
	assert.Equal(t, d.count("a"), before)
	d.now = until
	assert.Assert(t, d.server("a").Usable(d.now))
	assert.Equal(t, d.server("a").Limit(), 1)
}
