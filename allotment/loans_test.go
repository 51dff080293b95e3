package allotment_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/schema"
)

// lendingPair is a host that lends to another one which has all the calls.
type lendingPair struct {
	lender, borrower *allotment.Allotments
	elapsed          time.Duration
	// slowness divides the clock of the borrower.
	slowness float64
	// delay is the delay of the reports of the lender, in steps.
	delay   int
	reports []schema.ShareReport
	// maximum is the largest sum of the shares that was seen.
	maximum int
}

// step is the time between two exchanges of a pair.
const step = 100 * time.Millisecond

// lenderNow and borrowerNow are the clocks of the hosts.
func (p *lendingPair) lenderNow() time.Time { return begin.Add(p.elapsed) }

func (p *lendingPair) borrowerNow() time.Time {
	return begin.Add(time.Duration(float64(p.elapsed) / p.slowness))
}

// newPair returns a pair with a loan.
func newPair(slowness float64, delay int) *lendingPair {
	p := newStrangers(slowness, delay)
	for range 50 {
		p.exchange()
	}

	return p
}

// newStrangers returns a pair that has exchanged no reports.
func newStrangers(slowness float64, delay int) *lendingPair {
	p := &lendingPair{lender: newHost(2, 100, 50), borrower: newHost(2, 100, 50), slowness: slowness, delay: delay}
	p.lender.BeginSharing(begin, "lender")
	p.lender.SetPeers(begin, []string{"borrower"})
	p.borrower.BeginSharing(begin, "borrower")
	p.borrower.SetPeers(begin, []string{"lender"})

	return p
}

// exchange lets calls arrive at the borrower and the hosts exchange reports.
func (p *lendingPair) exchange() {
	p.pass(step)
	for range 9 {
		p.borrower.Take(p.borrowerNow(), "a")
		p.borrower.Sent(p.borrowerNow(), "a")
	}
	p.lender.Received(p.lenderNow(), "borrower", p.borrower.Report(p.borrowerNow()))
	p.reports = append(p.reports, p.lender.Report(p.lenderNow()))
	if len(p.reports) > p.delay {
		p.borrower.Received(p.borrowerNow(), "lender", p.reports[0])
		p.reports = p.reports[1:]
	}
	p.observe()
}

// pass lets time pass without reports.
func (p *lendingPair) pass(period time.Duration) {
	for ; period > 0; period -= 10 * time.Millisecond {
		p.elapsed += 10 * time.Millisecond
		p.observe()
	}
}

// observe notes the sum of the shares.
func (p *lendingPair) observe() {
	p.maximum = max(p.maximum, p.lender.Used(p.lenderNow())+p.borrower.Used(p.borrowerNow()))
}

// Guards against a loan that ends later at the borrower than at the lender when no more
// reports arrive, because it is counted from when it was received or because the clock of
// the borrower is slower.
func TestLoanEndsAtTheBorrowerFirst(t *testing.T) {
	tests := map[string]struct {
		slowness float64
		delay    int
	}{
		"no delay":                       {slowness: 1},
		"reports of the lender are late": {slowness: 1, delay: 15},
		"slower clock":                   {slowness: 1.04},
		"late and slower":                {slowness: 1.04, delay: 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPair(test.slowness, test.delay)
			assert.Assert(t, p.borrower.Used(p.borrowerNow()) > 1500, "borrows %d", p.borrower.Used(p.borrowerNow()))
			// The reports on their way arrive, then the link is cut.
			for range test.delay {
				p.pass(step)
				p.borrower.Received(p.borrowerNow(), "lender", p.reports[0])
				p.reports = p.reports[1:]
				p.observe()
			}
			p.pass(5 * time.Second)
			assert.Assert(t, p.maximum <= 2*equalShare, "the shares add up to %d", p.maximum)
			assert.Equal(t, p.lender.Used(p.lenderNow()), equalShare)
			assert.Equal(t, p.borrower.Used(p.borrowerNow()), equalShare)
		})
	}
}

// Guards against a frozen host that goes on with what it had borrowed, or with a loan
// that echoes a report from before the freeze.
func TestFrozenHostBorrowsNothing(t *testing.T) {
	p := newPair(1, 0)
	before := p.lender.Report(p.lenderNow().Add(step))
	frozenAt := p.borrowerNow()
	p.pass(time.Second)
	p.borrower.Frozen(frozenAt, p.borrowerNow())
	assert.Equal(t, p.borrower.Used(p.borrowerNow()), equalShare)
	p.borrower.Received(p.borrowerNow(), "lender", before)
	assert.Equal(t, p.borrower.Used(p.borrowerNow()), equalShare)
	for range 10 {
		p.exchange()
	}
	assert.Assert(t, p.borrower.Used(p.borrowerNow()) > equalShare)
	assert.Assert(t, p.maximum <= 2*equalShare)
}

// Guards against tokens that appear when a share changes.
func TestLoansCreateNoTokens(t *testing.T) {
	p := newStrangers(1, 0)
	for range 50 {
		p.pass(step)
		p.lender.Received(p.lenderNow(), "borrower", p.borrower.Report(p.borrowerNow()))
		report := p.lender.Report(p.lenderNow())
		takeAll(p.borrower, p.borrowerNow())
		p.borrower.Received(p.borrowerNow(), "lender", report)
		assert.Equal(t, takeAll(p.borrower, p.borrowerNow()), 0)
	}
	assert.Assert(t, p.borrower.Used(p.borrowerNow()) > 1500, "borrows %d", p.borrower.Used(p.borrowerNow()))
	takeAll(p.lender, p.lenderNow())
	p.lender.Received(p.lenderNow(), "borrower", schema.ShareReport{
		Number: 1, Returns: []schema.ShareReturn{{LenderHash: allotment.Hash("lender"), TenantHash: allotment.Hash("a"), Number: p.lender.Report(p.lenderNow()).Number}},
	})
	assert.Equal(t, takeAll(p.lender, p.lenderNow()), 0)
}

// Guards against a return that was meant for an earlier process of the lender.
func TestReturnToAnEarlierProcess(t *testing.T) {
	p := newPair(1, 0)
	lent := p.lender.Used(p.lenderNow())
	p.lender.Received(p.lenderNow(), "borrower", schema.ShareReport{
		Number: 1, Returns: []schema.ShareReturn{{LenderHash: allotment.Hash("lender"), TenantHash: allotment.Hash("a"), Number: p.lender.Report(p.lenderNow()).Number + 5}},
	})
	assert.Equal(t, p.lender.Used(p.lenderNow()), lent)
}

// Guards against a part that returns to the lender while calls of the borrower wait with
// tokens of it: by the end of the loan, and by a return before the end.
func TestWaitingCallsKeepTheSize(t *testing.T) {
	tests := map[string]struct {
		after func(p *lendingPair)
	}{
		"the link is cut": {after: func(p *lendingPair) { p.pass(2500 * time.Millisecond) }},
		"the borrower needs less": {after: func(p *lendingPair) {
			for range 15 {
				p.pass(step)
				p.lender.Received(p.lenderNow(), "borrower", p.borrower.Report(p.borrowerNow()))
				p.borrower.Received(p.borrowerNow(), "lender", p.lender.Report(p.lenderNow()))
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPair(1, 0)
			p.pass(700 * time.Millisecond) // the borrower's bucket fills
			waiting := 0
			for _, ok := p.borrower.Take(p.borrowerNow(), "a"); ok; _, ok = p.borrower.Take(p.borrowerNow(), "a") {
				waiting++
			}
			assert.Assert(t, waiting > 40, "%d wait", waiting)
			test.after(p)
			// The size of all is burst x 1.1 + 15.
			lent := takeAll(p.lender, p.lenderNow())
			assert.Assert(t, waiting+lent <= 70, "%d calls wait at the borrower while the lender admits %d", waiting, lent)
		})
	}
}
