package table

import (
	"encoding/base64"

	"github.com/baobabdrum/baobabdrum/schema"
)

// maxClaimWrites bounds how often the same claims are written without a reply.
const maxClaimWrites = 2

// Claim wants a caller's own order number for one order id.
type Claim struct {
	// Key is the key of the row that holds the number.
	Key string
	// Token is the order id. It is drawn for this claim alone, so a row that holds
	// it was written by this claim.
	Token string
}

// ClaimKey returns the key of the row for an order number of a service.
func ClaimKey(service, number string) string {
	return "order_number/" + service + "/" + base64.RawURLEncoding.EncodeToString([]byte(number))
}

// ClaimResult is what became of a claim: ClaimHeld or ClaimUnsettled.
//
//sumtype:decl
type ClaimResult interface{ claimResult() }

// ClaimHeld says which order id holds the number for good.
type ClaimHeld struct {
	// By is the order id.
	By string
}

// ClaimUnsettled says that the platform did not tell. The claim may hold the
// number now or, if its write is late, in the future.
type ClaimUnsettled struct{}

func (ClaimHeld) claimResult()      {}
func (ClaimUnsettled) claimResult() {}

// ClaimAction is what ClaimBatch wants done.
//
//sumtype:decl
type ClaimAction interface{ claimAction() }

// WriteClaims inserts the rows of the transaction, again after a failure.
type WriteClaims struct {
	// Transaction expects that none of its rows exists.
	Transaction schema.Transaction
}

// SettleClaim ends a claim.
type SettleClaim struct {
	// Claim is the claim.
	Claim Claim
	// Result says what became of it.
	Result ClaimResult
}

func (WriteClaims) claimAction() {}
func (SettleClaim) claimAction() {}

// ClaimBatch settles a batch of claims. A transaction is all or nothing, so claims
// of numbers that are taken leave the batch and the others are written again.
// After a lost reply the same rows are written again: the platform then
// returns the tokens that it holds.
type ClaimBatch struct {
	// Waiting are the claims that are not settled, by key in the order of arrival.
	Waiting map[string][]Claim

	keys     []string
	attempts int
}

// NewClaimBatch returns the batch with its first action.
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

// Step reacts to the platform's reply or to its failure.
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

// replied settles the claims of rows that exist and writes the others again.
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
	if len(actions) == 0 { // a refusal that names no row that exists settles nothing
		return c.abandon()
	}

	return append(actions, c.write())
}

// write returns the transaction for the claims that are left. Of several claims
// of one number the first is written.
func (c *ClaimBatch) write() ClaimAction {
	transaction := schema.Transaction{Rows: make([]schema.Row, 0, len(c.keys))}
	for _, key := range c.keys {
		token := c.Waiting[key][0].Token
		transaction.Rows = append(transaction.Rows, schema.Row{Key: key, ChangeID: token, Value: token})
	}

	return WriteClaims{Transaction: transaction}
}

// settle ends all claims of a number.
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

// abandon ends every claim that is left without knowing its fate.
func (c *ClaimBatch) abandon() []ClaimAction {
	var actions []ClaimAction
	for len(c.keys) > 0 {
		actions = append(actions, c.settle(c.keys[0], ClaimUnsettled{})...)
	}

	return actions
}
