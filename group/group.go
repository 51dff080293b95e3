// Package group runs the duties of a process and stops them together.
package group

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
)

// EndedError reports a duty that returned although the group was not stopping.
type EndedError struct {
	// Duty names the duty.
	Duty string
}

// Error names the duty.
func (e *EndedError) Error() string {
	return fmt.Sprintf("duty %s ended before the group was stopped", e.Duty)
}

// Group is a set of duties, each on a goroutine of its own that lives as long
// as the group. The first duty that ends stops all others.
type Group struct {
	duties *pool.ContextPool
}

// New returns a group without duties that stops when the context ends.
func New(ctx context.Context) *Group {
	return &Group{duties: pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()}
}

// Go starts a duty. The duty must return soon after its context ends; an error
// that it returns before that, or no error, stops the group.
func (g *Group) Go(name string, duty func(ctx context.Context) error) {
	g.duties.Go(func(ctx context.Context) error {
		err := duty(ctx)
		switch {
		case ctx.Err() != nil:
			return nil //nolint:nilerr // an error after the group was stopped says nothing
		case err == nil:
			return &EndedError{Duty: name}
		default:
			return eris.Wrapf(err, "running duty %s", name)
		}
	})
}

// Wait returns when every duty has ended, with the error of the first duty
// that ended by itself. A panic of a duty is raised again here.
func (g *Group) Wait() error {
	return g.duties.Wait()
}
