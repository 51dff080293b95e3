package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
)

func TestContention(t *testing.T) {
	tests := map[string]struct {
		ratio   float64
		answers int
		slots   int
		room    int
		slows   bool
	}{
		"too few answers for an estimate":           {ratio: 1.7, answers: 5, slots: 4, room: 4, slows: true},
		"full servers are as fast":                  {ratio: 1, answers: 200, slots: 4, room: 4},
		"full servers get as much done":             {ratio: 1.3, answers: 200, slots: 4, room: 4, slows: true},
		"full servers get less done":                {ratio: 1.7, answers: 200, slots: 4, room: 3, slows: true},
		"many slots, of which a fifth is left free": {ratio: 1.7, answers: 200, slots: 20, room: 16, slows: true},
		"a single slot":                             {ratio: 3, answers: 200, slots: 1, room: 1, slows: true},
		"answers are faster under contention":       {ratio: 0.5, answers: 200, slots: 4, room: 4},
		"an implausible ratio":                      {ratio: 0, answers: 200, slots: 4, room: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var contention placement.Contention
			for range test.answers {
				contention.Observe(test.ratio)
			}
			assert.Equal(t, contention.SlotLimit(test.slots), test.room)
			assert.Equal(t, contention.Factor() > 1, test.slows)
		})
	}
}
