package group_test

import (
	"context"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/group"
)

func TestGroupStopsTogether(t *testing.T) {
	wait := func(ctx context.Context) error {
		<-ctx.Done()

		return ctx.Err()
	}
	tests := map[string]struct {
		second func(ctx context.Context) error
		check  func(t *testing.T, err error)
	}{
		"a failing duty stops the others": {
			second: func(context.Context) error { return io.ErrUnexpectedEOF },
			check:  func(t *testing.T, err error) { assert.ErrorIs(t, err, io.ErrUnexpectedEOF) },
		},
		"a duty that ends stops the others": {
			second: func(context.Context) error { return nil },
			check: func(t *testing.T, err error) {
				var ended *group.EndedError
				assert.Assert(t, errors.As(err, &ended))
				assert.Equal(t, ended.Duty, "second")
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			duties := group.New(context.Background())
			duties.Go("first", wait)
			duties.Go("second", test.second)
			test.check(t, duties.Wait())
		})
	}
}
