package peer

import "time"

const (
	// maxLoan bounds one loan.
	maxLoan = 10 * time.Second
	// loanMargin is how much longer than the borrower the lender waits: time
	// for the borrower's stalls that it does not notice itself, and for the
	// interval at which it looks at its loans.
	loanMargin = 2 * time.Second
	// viewSettleTime is how long the dispatch duty may need to learn the cells that
	// it owns in another view.
	viewSettleTime = time.Second
	// maxClockDriftShare is the share by which the clocks of two hosts may run at
	// different rates.
	maxClockDriftShare = 0.05
)

// loan is a share of the probe budget that another host lends.
type loan struct {
	view  int
	until time.Time
}

// Loans holds the shares of the probe budget that one host holds and lends.
//
// A share is lent for all cells to whichever host owns the cell in the view of
// the lender. A borrower uses it only while its own view is the same, so each
// cell has one user. The loan is in the answer to an exchange that the borrower
// began, and the borrower counts from when it asked: its use ends before the
// lender's longer bound, however long the answer took.
type Loans struct {
	// View identifies the live hosts, by which cells are owned.
	View int

	lentUntil    time.Time
	blockedUntil time.Time
	held         map[string]loan
}

// NewLoans returns loans of a host that may have lent its share to others
// before it was started again.
func NewLoans(now time.Time) *Loans {
	return &Loans{blockedUntil: now.Add(lenderBound(maxLoan)), held: map[string]loan{}}
}

// lenderBound returns how long a lender waits for the end of a loan.
func lenderBound(lent time.Duration) time.Duration {
	return lent + time.Duration(float64(lent)*maxClockDriftShare) + loanMargin
}

// ChangeView ends the use of all loans. What this host lent in the view before
// stays lent, and its own share rests until its dispatch knows the view.
func (l *Loans) ChangeView(now time.Time, view int) {
	if view == l.View {
		return
	}
	l.View = view
	l.held = map[string]loan{}
	for _, until := range []time.Time{l.lentUntil, now.Add(viewSettleTime)} {
		if until.After(l.blockedUntil) {
			l.blockedUntil = until
		}
	}
}

// Lend returns for how long this host's share is lent with an answer.
func (l *Loans) Lend(now time.Time, wanted time.Duration) time.Duration {
	if now.Before(l.blockedUntil) {
		return 0
	}
	lent := min(wanted, maxLoan).Truncate(time.Millisecond)
	if until := now.Add(lenderBound(lent)); until.After(l.lentUntil) {
		l.lentUntil = until
	}

	return lent
}

// Borrow adopts a loan that answers an exchange begun at the time asked.
func (l *Loans) Borrow(lender string, view int, asked time.Time, lent time.Duration) {
	if lent > 0 && view == l.View {
		l.held[lender] = loan{view: view, until: asked.Add(min(lent, maxLoan))}
	}
}

// Held returns the number of shares that this host may use now.
func (l *Loans) Held(now time.Time) int {
	held := 0
	if !now.Before(l.blockedUntil) {
		held++
	}
	for lender, loan := range l.held {
		if !now.Before(loan.until) {
			delete(l.held, lender)

			continue
		}
		held++
	}

	return held
}
