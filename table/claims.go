package table

import (
	"encoding/base64"

	"github.com/baobabdrum/baobabdrum/schema"
)

// maxClaimWrites is the largest number of writes without a reply for a batch.
const maxClaimWrites = 2

// Claim is a request to bind a caller's own order number to an order id.
type Claim struct {
	// Key is the key of the row for the number.
	Key string
	// Token is the order id. It is unique to this claim, so a row that contains it
	// was written by this claim.
	Token string
}

// ClaimKey returns the key of the row for an order number of a service.
func ClaimKey(service, number string) string {
	return "order_number/" + service + "/" + base64.RawURLEncoding.EncodeToString([]byte(number))
}

// ClaimResult is the result of a claim: ClaimHeld or ClaimUnsettled.
//
//sumtype:decl
type ClaimResult interface{ claimResult() }

// ClaimHeld says that the number is permanently bound to an order id, which may
// be that of another claim.
type ClaimHeld struct {
	// By is the order id.
	By string
}

// ClaimUnsettled says that the platform did not report a result. The claim may
// hold the number now, or later if its write is delayed.
type ClaimUnsettled struct{}

func (ClaimHeld) claimResult()      {}
func (ClaimUnsettled) claimResult() {}

// ClaimAction is an action that a ClaimBatch requests from its owner.
//
//sumtype:decl
type ClaimAction interface{ claimAction() }

// WriteClaims sends a transaction that inserts the rows of the claims. It is
// repeated after a failure.
type WriteClaims struct {
	// Transaction inserts rows and commits only if none of them exists.
	Transaction schema.Transaction
}

// SettleClaim ends a claim with its result.
type SettleClaim struct {
	// Claim is the claim that ends.
	Claim Claim
	// Result is the result of the claim.
	Result ClaimResult
}

func (WriteClaims) claimAction() {}
func (SettleClaim) claimAction() {}

// ClaimBatch settles a batch of claims. A transaction commits all rows or none, so
// claims of numbers that are taken leave the batch and the others are written
// again. After a lost reply the same rows are written again, and the platform
// returns the tokens of the rows that exist.
type ClaimBatch struct {
	// Waiting holds the claims that are not settled, by key in order of arrival.
	Waiting map[string][]Claim

	keys     []string
	attempts int
}

// NewClaimBatch returns a batch of the claims and its first action.
func NewClaimBatch(claims []Claim) (*ClaimBatch, []ClaimAction) {
	batch := &ClaimBatch{Waiting: map[string][]Claim{}}
	for _, claim := range claims {
		if len(batch.Waiting[claim.Key]) == 0 {
			batch.keys = append(batch.keys, claim.Key)
		}
		batch.Waiting[claim.Key] = append(batch.Waiting[claim.Key], claim)
	}

	return batch, []ClaimAction{batch.write()}
}

// Step returns the actions that follow the platform's reply or its failure.
func (c *ClaimBatch) Step(event Event) []ClaimAction {
	switch event := event.(type) {
	case Replied:
		return c.replied(event.Result)
	case Failed:
		c.attempts++
		if c.attempts < maxClaimWrites {
			return []ClaimAction{c.write()}
		}
	}

	return c.abandon()
}

// replied settles the claims of existing rows and writes the others again.
func (c *ClaimBatch) replied(result schema.TransactionResult) []ClaimAction {
	var actions []ClaimAction
	for _, row := range result.Rows {
		if row.Version > 0 {
			actions = append(actions, c.settle(row.Key, ClaimHeld{By: row.ChangeID})...)
		}
	}
	if len(c.keys) == 0 {
		return actions
	}
	if len(actions) == 0 { // a rejection without an existing row settles no claim
		return c.abandon()
	}

	return append(actions, c.write())
}

// write returns the transaction for the remaining claims. If several claims are
// for one number, it contains the first.
func (c *ClaimBatch) write() ClaimAction {
	transaction := schema.Transaction{Rows: make([]schema.Row, 0, len(c.keys))}
	for _, key := range c.keys {
		token := c.Waiting[key][0].Token
		transaction.Rows = append(transaction.Rows, schema.Row{Key: key, ChangeID: token, Value: token})
	}

	return WriteClaims{Transaction: transaction}
}

// settle ends all claims of a number with the same result.
func (c *ClaimBatch) settle(key string, result ClaimResult) []ClaimAction {
	actions := make([]ClaimAction, 0, len(c.Waiting[key]))
	for _, claim := range c.Waiting[key] {
		actions = append(actions, SettleClaim{Claim: claim, Result: result})
	}
	delete(c.Waiting, key)
	remaining := c.keys[:0]
	for _, other := range c.keys {
		if other != key {
			remaining = append(remaining, other)
		}
	}
	c.keys = remaining

	return actions
}

// abandon ends every remaining claim as unsettled.
func (c *ClaimBatch) abandon() []ClaimAction {
	var actions []ClaimAction
	for len(c.keys) > 0 {
		actions = append(actions, c.settle(c.keys[0], ClaimUnsettled{})...)
	}

	return actions
}
