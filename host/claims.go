package host

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/table"
	"github.com/baobabdrum/baobabdrum/tablehttp"
)

const (
	// claimInterval is the time for which claims are gathered into a batch.
	claimInterval = 50 * time.Millisecond
	// maxClaimBatch is the largest number of claims in a transaction.
	maxClaimBatch = 64
	// claimTimeout is the timeout of a claim request to the platform.
	claimTimeout = 300 * time.Millisecond
	// claimRingCapacity is the number of claims that can wait for a batch.
	claimRingCapacity = 1024
)

// addOrders lets the dispatch duty issue order ids of this incarnation and run
// their orders.
func (h *Host) addOrders(duty *dispatch.Duty) {
	duty.Router.Incarnation = h.Self.Incarnation
	duty.Router.Random = rand.Reader
	book := caller.NewOrderBook(h.Self.Incarnation, h.Settings.OrderLifetime, h.Settings.OrderCapacity, time.Now())
	duty.Orders = dispatch.NewOrders(book, h.claims, rand.Reader)
}

// newClaimsDuty returns the claims duty with a closed circuit.
func (h *Host) newClaimsDuty() *claimsDuty {
	return &claimsDuty{
		claims:   h.claims,
		results:  h.dispatch,
		platform: tablehttp.New(h.Settings.PlatformAddress, claimTimeout),
		log:      h.Log,
		circuit:  table.NewCircuit(h.seed + 2),
	}
}

// claimsDuty claims callers' own order numbers in the platform's table.
type claimsDuty struct {
	claims   *ring.Ring[dispatch.Claim]
	results  *ring.Ring[dispatch.Input]
	platform *tablehttp.Client
	log      *eventlog.Log
	circuit  *table.Circuit
}

// run claims numbers in batches until the context ends. While the circuit is
// open, claims end unsettled without a request.
func (c *claimsDuty) run(ctx context.Context) error {
	for {
		first, err := c.claims.Take(ctx)
		if err != nil {
			return err
		}
		if !c.circuit.Allow(time.Now()) {
			if err := c.settle(ctx, first, table.ClaimUnsettled{}); err != nil {
				return err
			}

			continue
		}
		batch, err := c.gather(ctx, first)
		if err != nil {
			return err
		}
		if err := c.processBatch(ctx, batch); err != nil {
			return err
		}
	}
}

// gather waits for the interval and returns a batch of the first claim and the
// claims that arrived meanwhile.
func (c *claimsDuty) gather(ctx context.Context, first dispatch.Claim) ([]dispatch.Claim, error) {
	timer := time.NewTimer(claimInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	batch := []dispatch.Claim{first}
	for len(batch) < maxClaimBatch {
		claim, ok := c.claims.Poll()
		if !ok {
			break
		}
		batch = append(batch, claim)
	}

	return batch, nil
}

// processBatch writes the claims of a batch until all are settled.
func (c *claimsDuty) processBatch(ctx context.Context, batch []dispatch.Claim) error {
	claims := make([]table.Claim, 0, len(batch))
	byToken := map[string]dispatch.Claim{}
	for _, claim := range batch {
		claims = append(claims, claim.Claim)
		byToken[claim.Token] = claim
	}
	state, actions := table.NewClaimBatch(claims)
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action := action.(type) {
		case table.WriteClaims:
			actions = append(actions, state.Step(c.write(action))...)
		case table.SettleClaim:
			if err := c.settle(ctx, byToken[action.Claim.Token], action.Result); err != nil {
				return err
			}
		}
	}

	return nil
}

// write sends a transaction and returns its result as an event.
func (c *claimsDuty) write(action table.WriteClaims) table.Event {
	result, err := c.platform.Write(action.Transaction)
	if err != nil {
		c.circuit.Failed(time.Now())
		c.log.Event(eventlog.Warning, "claims_failed", err.Error(), eventlog.Integer("claims", len(action.Transaction.Rows)))

		return table.Failed{Cause: err}
	}

	c.circuit.Succeeded()

	return table.Replied{Result: result}
}

// settle passes the result of a claim to the dispatch duty.
func (c *claimsDuty) settle(ctx context.Context, claim dispatch.Claim, result table.ClaimResult) error {
	return c.results.Put(ctx, dispatch.Claimed{Claim: claim, Result: result})
}
