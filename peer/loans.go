package peer

import "time"

const (
	// maxLoan limits the duration of one loan.
	maxLoan = 10 * time.Second
	// loanMargin is added to a loan on the lender's side. It covers stalls that
	// the borrower does not detect and the interval at which the borrower
	// checks its loans.
	loanMargin = 2 * time.Second
	// viewSettleTime is the time allowed for the dispatch duty to learn which
	// cells it owns in a new view.
	viewSettleTime = time.Second
	// maxClockDriftShare is the largest difference between the clock rates of
	// two hosts, as a fraction.
	maxClockDriftShare = 0.05
)

// loan is another host's share of the probe budget, borrowed until a deadline.
type loan struct {
	view  int
	until time.Time
}

// Loans tracks the shares of the probe budget that one host holds and lends.
//
// A share is lent for every cell, to the host that owns the cell in the
// lender's view. The borrower uses the share only while its own view is the
// same, so each cell has exactly one user. A loan is part of the response to an
// exchange that the borrower began, and the borrower counts from the time of
// its request: its use ends before the lender's longer timeout, however long
// the response took.
type Loans struct {
	// View is the hash of the live hosts, which determine the owner of each
	// cell.
	View int

	lentUntil    time.Time
	blockedUntil time.Time
	held         map[string]loan
}

// NewLoans returns the loans of a host that has just started. Its share stays
// blocked for the longest loan, because the previous process may have lent it.
func NewLoans(now time.Time) *Loans {
	return &Loans{blockedUntil: now.Add(lenderBound(maxLoan)), held: map[string]loan{}}
}

// lenderBound returns how long a lender leaves a share unused after lending it.
func lenderBound(lent time.Duration) time.Duration {
	return lent + time.Duration(float64(lent)*maxClockDriftShare) + loanMargin
}

// ChangeView ends the use of all borrowed shares. A share that this host lent
// in the previous view stays lent, and its own share is blocked until its
// dispatch duty knows the new view.
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

// Lend lends this host's share and returns for how long, at most the wanted
// time. It returns 0 while the share is blocked.
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

// Borrow records a loan from the response to an exchange that began at the time
// asked. A loan from another view is ignored.
func (l *Loans) Borrow(lender string, view int, asked time.Time, lent time.Duration) {
	if lent > 0 && view == l.View {
		l.held[lender] = loan{view: view, until: asked.Add(min(lent, maxLoan))}
	}
}

// Held returns the number of shares that this host may use now, including its
// own.
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
