package peer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/peer"
)

// settled is the time after which a new process may use and lend its share,
// because every loan of the previous process has ended.
const settled = 20 * time.Second

func TestLoans(t *testing.T) {
	const lent = 5 * time.Second
	tests := map[string]struct {
		run  func(borrower *peer.Loans)
		want int
	}{
		"own share only":       {run: func(*peer.Loans) {}, want: 1},
		"current loan":         {run: func(b *peer.Loans) { b.Borrow("lender", 7, start.Add(settled), lent) }, want: 2},
		"expired loan":         {run: func(b *peer.Loans) { b.Borrow("lender", 7, start, lent) }, want: 1},
		"loan of another view": {run: func(b *peer.Loans) { b.Borrow("lender", 8, start.Add(settled), lent) }, want: 1},
		"view changed after the loan": {
			run: func(b *peer.Loans) {
				b.Borrow("lender", 7, start.Add(settled), lent)
				b.ChangeView(start.Add(settled-2*time.Second), 8)
			}, want: 1,
		},
		"own share lent in the previous view": {
			run: func(b *peer.Loans) { b.Lend(start.Add(settled), lent); b.ChangeView(start.Add(settled), 8) }, want: 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			borrower := peer.NewLoans(start)
			assert.Equal(t, borrower.Held(start), 0, "new process uses a share that the previous process may have lent")
			borrower.ChangeView(start, 7)
			test.run(borrower)
			assert.Equal(t, borrower.Held(start.Add(settled)), test.want)
		})
	}
}

// TestBorrowerEndsBeforeLender guards against two users of one share when
// clocks run at different rates and messages are delayed.
func TestBorrowerEndsBeforeLender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lender, borrower := peer.NewLoans(start), peer.NewLoans(start)
		lender.ChangeView(start, 7)
		borrower.ChangeView(start, 7)
		rate := 1 + rapid.Float64Range(-0.04, 0.04).Draw(t, "clock rate of the borrower")
		local := func(at time.Time) time.Time {
			return start.Add(time.Duration(float64(at.Sub(start)) * rate))
		}
		asked := start.Add(settled)
		answered := asked.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "request ms")) * time.Millisecond)
		wanted := time.Duration(rapid.IntRange(1, 20000).Draw(t, "loan ms")) * time.Millisecond
		lent := lender.Lend(answered, wanted)
		lender.ChangeView(answered, 8)
		arrived := answered.Add(time.Duration(rapid.IntRange(0, 60000).Draw(t, "answer ms")) * time.Millisecond)
		borrower.Borrow("lender", 7, local(asked), lent)
		for at := arrived; at.Before(arrived.Add(30 * time.Second)); at = at.Add(50 * time.Millisecond) {
			borrowed := borrower.Held(local(at)) > 1
			assert.Assert(t, !borrowed || lender.Held(at) == 0, "lender and borrower both use the share at %v", at.Sub(start))
		}
	})
}
