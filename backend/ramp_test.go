package backend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
)

func TestColdStartRamp(t *testing.T) {
	after := func(took time.Duration, result backend.Result) func(d *driver) {
		return func(d *driver) {
			d.fill(40)
			d.place()
			d.end(len(d.started)-1, took, result)
		}
	}
	tests := map[string]struct {
		run  func(d *driver)
		want int
	}{
		"a new backend server runs one attempt":                    {run: func(*driver) {}, want: 1},
		"seven quick answers permit no second attempt":             {run: func(d *driver) { d.serve(7, quick) }, want: 1},
		"eight quick answers permit a second attempt":              {run: func(d *driver) { d.serve(8, quick) }, want: 2},
		"one call at a time permits no third attempt":              {run: func(d *driver) { d.serve(60, quick) }, want: 2},
		"quick answers permit all slots":                           {run: func(d *driver) { d.fill(24) }, want: 4},
		"quick answers permit no more than all slots":              {run: func(d *driver) { d.fill(40) }, want: 4},
		"a cold server under steady load permits no third attempt": {run: steadyCold, want: 2},
		"slow answers of a warm server keep the limit":             {run: slowWhileWarm, want: 4},
		"slow answers at the limit do not raise it":                {run: slowAtLimit, want: 2},
		"a shed call halves the limit":                             {run: after(time.Millisecond, backend.Shed{}), want: 2},
		"a time-out halves the limit":                              {run: after(time.Second, backend.TimedOut{}), want: 2},
		"a cut answer halves the limit":                            {run: after(time.Millisecond, backend.Cut{}), want: 2},
		"a refused connection halves the limit":                    {run: after(time.Millisecond, backend.Unsent{}), want: 2},
		"an error status halves the limit":                         {run: after(time.Millisecond, backend.Whole{Status: 503}), want: 2},
		"a latency jump halves the limit":                          {run: after(50*time.Millisecond, answered), want: 2},
		"a slower answer keeps the limit":                          {run: after(30*time.Millisecond, answered), want: 4},
		"a full ring of this host keeps the limit": {
			run: after(0, backend.Unsent{Local: true}), want: 4,
		},
		"a backend server that returns is cold": {
			run: func(d *driver) {
				d.fill(40)
				d.declare(4)
				d.declare(4, "a")
			},
			want: 1,
		},
		"a declaration without changes keeps the limit": {
			run: func(d *driver) {
				d.fill(40)
				d.declare(4, "a")
			},
			want: 4,
		},
		"fewer slots lower the limit at once": {
			run: func(d *driver) {
				d.fill(40)
				d.declare(2, "a")
			},
			want: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16})
			d.declare(4, "a")
			test.run(d)
			assert.Equal(t, d.server("a").Limit(), test.want)
		})
	}
}

// slowWhileWarm answers all slots of a warm backend server slowly.
func slowWhileWarm(d *driver) {
	d.fill(40)
	for range 20 {
		first := len(d.started)
		for range 4 {
			d.place()
		}
		d.now = d.now.Add(18 * time.Millisecond)
		for index := first; index < len(d.started); index++ {
			d.end(index, 0, answered)
		}
	}
}

// steadyCold keeps two attempts in flight on a backend server that takes three
// times as long for each of two concurrent calls.
func steadyCold(d *driver) {
	d.serve(8, quick)
	d.place()
	for index := 8; index < 400; index++ {
		d.place()
		d.end(index, 15*time.Millisecond, answered)
	}
}

// slowAtLimit runs pairs of calls on a backend server that takes three times as
// long for the second call of a pair.
func slowAtLimit(d *driver) {
	d.serve(8, quick)
	for range 60 {
		d.place()
		d.place()
		pair := len(d.started) - 2
		d.end(pair, 5*time.Millisecond, answered)
		d.end(pair+1, 10*time.Millisecond, answered)
	}
}

func TestWarmServerThatTurnsCold(t *testing.T) {
	d := newDriver(t, backend.Options{QueueLength: 16})
	d.declare(4, "a", "b", "c")
	d.fill(40)
	before := d.count("b")
	d.serve(300, func(address string) (time.Duration, backend.Result) {
		if address == "b" {
			return time.Millisecond, backend.Shed{}
		}

		return quick(address)
	})
	assert.Assert(t, d.count("b")-before <= 10, "%d of 300 calls went to the cold backend server", d.count("b")-before)
	assert.Equal(t, d.server("b").Limit(), 1)
	assert.Equal(t, caller.CallID(len(d.outcomes)), d.lastCall)
}
