// Package group runs the duties of a process, each on its own goroutine, and stops
// all of them when one ends.
package group

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
)

// EndedError reports a duty that returned without an error before the group was
// stopped.
type EndedError struct {
	// Duty is the duty's name.
	Duty string
}

// Error names the duty.
func (e *EndedError) Error() string {
	return fmt.Sprintf("duty %s ended before the group was stopped", e.Duty)
}

// Group is a set of duties, each on its own goroutine that lives as long as the
// group. The first duty that ends stops all others.
type Group struct {
	duties *pool.ContextPool
}

// New returns a group without duties that stops when the context ends.
func New(ctx context.Context) *Group {
	return &Group{duties: pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()}
}

// Go starts a duty. The duty must return soon after its context ends. If it returns
// earlier, with or without an error, the group stops.
func (g *Group) Go(name string, duty func(ctx context.Context) error) {
	g.duties.Go(func(ctx context.Context) error {
		err := duty(ctx)
		switch {
		case ctx.Err() != nil:
			return nil //nolint:nilerr // errors after the group was stopped are expected
		case err == nil:
			return &EndedError{Duty: name}
		default:
			return eris.Wrapf(err, "running duty %s", name)
		}
	})
}

// Wait waits for every duty to end and returns the error of the first duty that
// ended by itself. It propagates a duty's panic.
func (g *Group) Wait() error {
	return g.duties.Wait()
}
