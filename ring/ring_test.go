package ring_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/ring"
)

func Example() {
	calls := ring.New[string]("dispatch", 1)
	fmt.Println(calls.Offer("first"))
	fmt.Println(calls.Offer("second"))
	item, _ := calls.Take(context.Background())
	fmt.Println(item, calls.Depth())
	// Output:
	// <nil>
	// ring dispatch is full (capacity 1)
	// first 0
}

func TestBlockingCallsEndWithContext(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]struct {
		use  func(r *ring.Ring[int]) error
		want error
	}{
		"Take from an empty ring ends with the context": {
			use: func(r *ring.Ring[int]) error {
				_, err := r.Take(ended)

				return err
			},
			want: context.Canceled,
		},
		"Put into a full ring ends with the context": {
			use: func(r *ring.Ring[int]) error {
				return errors.Join(r.Put(ended, 1), r.Put(ended, 2))
			},
			want: context.Canceled,
		},
		"Put into a ring with room ignores the context": {
			use: func(r *ring.Ring[int]) error { return r.Put(ended, 1) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, test.use(ring.New[int]("test", 1)), test.want)
		})
	}
}
