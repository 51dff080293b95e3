package table_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
)

// claimTable is a table that loses the replies of some writes.
type claimTable struct {
	rows        map[string]schema.Row
	loseReplies map[int]bool
	down        bool
	written     int
}

// write commits all rows or none and returns the event for the batch.
func (c *claimTable) write(transaction schema.Transaction) table.Event {
	c.written++
	if c.down {
		return table.Failed{}
	}
	result := schema.TransactionResult{Committed: true}
	for _, row := range transaction.Rows {
		current := c.rows[row.Key]
		current.Key = row.Key
		result.Committed = result.Committed && current.Version == row.Version
		result.Rows = append(result.Rows, current)
	}
	if result.Committed {
		for i, row := range transaction.Rows {
			row.Version++
			c.rows[row.Key], result.Rows[i] = row, row
		}
	}
	if c.loseReplies[c.written] {
		return table.Failed{}
	}

	return table.Replied{Result: result}
}

func TestClaimBatch(t *testing.T) {
	held := func(by string) table.ClaimResult { return table.ClaimHeld{By: by} }
	unsettled := table.ClaimResult(table.ClaimUnsettled{})

	for name, test := range map[string]struct {
		rows   map[string]schema.Row
		lose   map[int]bool
		down   bool
		claims []table.Claim
		want   map[string]table.ClaimResult
		writes int
	}{
		"all free": {
			claims: []table.Claim{{Key: "a", Token: "1"}, {Key: "b", Token: "2"}},
			want:   map[string]table.ClaimResult{"1": held("1"), "2": held("2")},
			writes: 1,
		},
		"a taken number does not block the others": {
			rows:   map[string]schema.Row{"a": {Key: "a", Version: 1, ChangeID: "9"}},
			claims: []table.Claim{{Key: "a", Token: "1"}, {Key: "b", Token: "2"}},
			want:   map[string]table.ClaimResult{"1": held("9"), "2": held("2")},
			writes: 2,
		},
		"a lost reply is settled by the token": {
			lose:   map[int]bool{1: true},
			claims: []table.Claim{{Key: "a", Token: "1"}, {Key: "b", Token: "2"}},
			want:   map[string]table.ClaimResult{"1": held("1"), "2": held("2")},
			writes: 2,
		},
		"two lost replies leave the claim unsettled": {
			lose:   map[int]bool{1: true, 2: true},
			claims: []table.Claim{{Key: "a", Token: "1"}},
			want:   map[string]table.ClaimResult{"1": unsettled},
			writes: 2,
		},
		"platform outage": {
			down:   true,
			claims: []table.Claim{{Key: "a", Token: "1"}, {Key: "b", Token: "2"}},
			want:   map[string]table.ClaimResult{"1": unsettled, "2": unsettled},
			writes: 2,
		},
		"one number twice in a batch": {
			claims: []table.Claim{{Key: "a", Token: "1"}, {Key: "a", Token: "2"}},
			want:   map[string]table.ClaimResult{"1": held("1"), "2": held("1")},
			writes: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			stored := &claimTable{rows: map[string]schema.Row{}, loseReplies: test.lose, down: test.down}
			for key, row := range test.rows {
				stored.rows[key] = row
			}
			got := map[string]table.ClaimResult{}
			batch, actions := table.NewClaimBatch(test.claims)
			for len(actions) > 0 {
				action := actions[0]
				actions = actions[1:]
				switch action := action.(type) {
				case table.WriteClaims:
					actions = append(actions, batch.Step(stored.write(action.Transaction))...)
				case table.SettleClaim:
					got[action.Claim.Token] = action.Result
				}
			}
			assert.DeepEqual(t, got, test.want)
			assert.Equal(t, stored.written, test.writes)
		})
	}
}

func TestClaimsRejectedWithoutRows(t *testing.T) {
	batch, _ := table.NewClaimBatch([]table.Claim{{Key: "a", Token: "1"}})
	actions := batch.Step(table.Replied{Result: schema.TransactionResult{Rows: []schema.Row{{Key: "a"}}}})
	assert.DeepEqual(t, actions, []table.ClaimAction{
		table.SettleClaim{Claim: table.Claim{Key: "a", Token: "1"}, Result: table.ClaimUnsettled{}},
	})
}

func TestClaimKeysAreDistinct(t *testing.T) {
	assert.Assert(t, table.ClaimKey("orders", "1/2") != table.ClaimKey("orders", "1%2F2"))
	assert.Equal(t, table.ClaimKey("orders", "17 a/b"), "order_number/orders/MTcgYS9i")
}
