package host

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/table"
	"github.com/baobabdrum/baobabdrum/tablehttp"
)

const (
	// claimInterval is the time for which claims are gathered into a transaction.
	claimInterval = 50 * time.Millisecond
	// maxClaimBatch bounds the claims of one transaction.
	maxClaimBatch = 64
	// claimTimeout bounds one exchange with the platform about claims.
	claimTimeout = 300 * time.Millisecond
	// claimRingCapacity is the number of claims that wait for a transaction.
	claimRingCapacity = 1024
)

// addOrders lets the dispatch duty issue ids and run orders of this incarnation.
func (h *Host) addOrders(duty *dispatch.Duty) {
	duty.Router.Incarnation = h.Self.Incarnation
	duty.Router.Random = rand.Reader
	book := caller.NewOrderBook(h.Self.Incarnation, h.Settings.OrderLifetime, h.Settings.OrderCapacity, time.Now())
	duty.Orders = dispatch.NewOrders(book, h.claims, rand.Reader)
}

// newClaimsDuty returns the duty that claims order numbers.
func (h *Host) newClaimsDuty() *claimsDuty {
	return &claimsDuty{
		claims:   h.claims,
		results:  h.dispatch,
		platform: tablehttp.New(h.Settings.PlatformAddress, claimTimeout),
		log:      h.Log,
		circuit:  table.NewCircuit(h.seed + 2),
	}
}

// claimsDuty is the duty that claims callers' own order numbers.
type claimsDuty struct {
	claims   *ring.Ring[dispatch.Claim]
	results  *ring.Ring[dispatch.Input]
	platform *tablehttp.Client
	log      *logrus.Entry
	circuit  *table.Circuit
}

// run claims batches until the context ends.
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

// gather waits for the interval and returns the claims that arrived.
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

// processBatch writes a batch until each claim of it is settled.
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

// write sends a transaction and returns what came of it.
func (c *claimsDuty) write(action table.WriteClaims) table.Event {
	result, err := c.platform.Write(action.Transaction)
	if err != nil {
		c.circuit.Failed(time.Now())
		c.log.WithFields(logrus.Fields{"event": "claims_failed", "claims": len(action.Transaction.Rows)}).Warn(err)

		return table.Failed{Cause: err}
	}

	c.circuit.Succeeded()

	return table.Replied{Result: result}
}

// settle tells the dispatch duty what became of a claim.
func (c *claimsDuty) settle(ctx context.Context, claim dispatch.Claim, result table.ClaimResult) error {
	return c.results.Put(ctx, dispatch.Claimed{Claim: claim, Result: result})
}
