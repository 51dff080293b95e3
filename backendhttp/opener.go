package backendhttp

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
)

const (
	// checkInterval is the time between checks of idle connections.
	checkInterval = 250 * time.Millisecond
	// maxConcurrentOpens is the maximum number of backend servers to which
	// connections are opened concurrently.
	maxConcurrentOpens = 8
)

// Opener is a duty that opens connections ahead of need to the backend servers of
// this host's cells, and closes idle connections that are no longer usable.
type Opener struct {
	// Targets is the ring that the duty reads from. Each item replaces the previous
	// one.
	Targets *ring.Ring[[]dispatch.Target]
	// Connections is the set of connections shared with the senders and probers.
	Connections *Connections

	targets map[string]dispatch.Target
}

// Run opens and checks connections until the context ends. It does so at every
// checkInterval and when the targets change.
func (o *Opener) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case targets := <-o.Targets.Items():
			o.replace(targets)
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		o.Connections.Check()
		o.open(ctx)
	}
}

// replace applies the connection limits of the new targets and closes the
// connections to addresses that are no longer targets.
func (o *Opener) replace(targets []dispatch.Target) {
	former := o.targets
	o.targets = make(map[string]dispatch.Target, len(targets))
	for _, target := range targets {
		o.targets[target.Address] = target
		o.Connections.Declare(target.Address, target.Connections)
		delete(former, target.Address)
	}
	for address := range former {
		o.Connections.Forget(address)
	}
}

// open opens connections to targets that have fewer than Preconnect.
func (o *Opener) open(ctx context.Context) {
	opening := pool.New().WithMaxGoroutines(maxConcurrentOpens)
	for _, target := range o.targets {
		missing := target.Preconnect - o.Connections.Open(target.Address)
		if missing <= 0 {
			continue
		}
		opening.Go(func() { o.openMissing(ctx, target.Address, missing) })
	}
	opening.Wait()
}

// openMissing opens up to count connections to an address and stops at the first
// failure.
func (o *Opener) openMissing(ctx context.Context, address string, count int) {
	for range count {
		connection, ok := o.Connections.acquireClosed(address)
		if !ok {
			return
		}
		err := connection.Open(ctx, time.Now().Add(dialTimeout))
		o.Connections.Release(connection)
		if err != nil {
			return
		}
	}
}
