package allotment

import (
	"slices"
	"time"
)

const (
	// loanPeriod is how long a loan lasts. The borrower counts it from when it made the
	// report that the lender echoes, the lender from when it received that report, so the
	// borrower's right ends first without synchronised clocks.
	loanPeriod = 2 * time.Second
	// loanMargin is how much longer the lender waits. It covers clocks that do not run at
	// the same rate and the time between a decision and the sending of the call.
	loanMargin = 100 * time.Millisecond
	// sizeDelay is how much longer than the rate the lender withholds the size of its
	// bucket. The borrower may still send calls that wait with a token, for at most this
	// long.
	sizeDelay = 3 * time.Second
	// wholeShare is the equal share of a host, in thousandths.
	wholeShare = 1000
	// maxLent is the largest part of its equal share that a host lends, in thousandths.
	// The rest is for its first calls and for a process that was restarted and does not
	// know what its predecessor lent.
	maxLent = 900
)

// naming is a part that a host named in a report, which the receiver may use.
type naming struct {
	// number is the number of the last report with this part.
	number, part int
	// until is when the part returns to the lender.
	until time.Time
}

// lending is what a host lends to another one for one tenant.
type lending struct {
	// part is the part that is named at present, in thousandths.
	part int
	// namings are the parts that the receiver may still use. Later ones are smaller.
	namings []naming
}

// name records that the present part is named in a report.
func (l *lending) name(number int, until time.Time) {
	l.namings = slices.DeleteFunc(l.namings, func(earlier naming) bool { return earlier.part <= l.part })
	l.namings = append(l.namings, naming{number: number, part: l.part, until: until})
}

// returned drops the namings before a number, which the receiver does not use any more,
// nor calls that wait there.
func (l *lending) returned(number int) {
	l.namings = slices.DeleteFunc(l.namings, func(named naming) bool { return named.number < number })
}

// withheld returns the part of the rate, or with a delay that of the size, that the
// receiver may use.
func (l *lending) withheld(now time.Time, delay time.Duration) int {
	most := 0
	for _, named := range l.namings {
		if named.until.Add(delay).After(now) {
			most = max(most, named.part)
		}
	}

	return most
}

// borrowing is what a host has borrowed from another one for one tenant.
type borrowing struct {
	// number is the number of the report that named the part.
	number, part int
	until        time.Time
	// returnedAt is when a smaller part replaced a larger one.
	returnedAt time.Time
}

// ledger holds the loans for one tenant by the hash of the other host.
type ledger struct {
	lent     map[int]*lending
	borrowed map[int]*borrowing
}

// newLedger returns a ledger without loans.
func newLedger() ledger {
	return ledger{lent: map[int]*lending{}, borrowed: map[int]*borrowing{}}
}

// parts are parts of the equal share of a host in thousandths, of the rate and of the size.
type parts struct {
	rate, size int
}

// sizeOf returns the part of the size that goes with a part of the rate. How much calls
// that arrive at random vary grows with the square root of their rate, so a lender keeps
// more of the size; with equal parts, lenders refused 3 % of a tenant at 95 % of its quota.
func sizeOf(part int) int {
	return part / 2
}

// sums returns the parts that are lent and those that are borrowed.
func (l *ledger) sums(now time.Time) (lent, borrowed parts) {
	for _, loan := range l.lent {
		lent.rate += loan.withheld(now, 0)
		lent.size += sizeOf(loan.withheld(now, sizeDelay))
	}
	for _, loan := range l.borrowed {
		if loan.until.After(now) {
			borrowed.rate += loan.part
			borrowed.size += sizeOf(loan.part)
		}
	}

	return lent, borrowed
}

// nextChange returns the first time after an instant at which a part changes, or zero.
func (l *ledger) nextChange(after time.Time) time.Time {
	var next time.Time
	consider := func(at time.Time) {
		if at.After(after) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, loan := range l.lent {
		for _, named := range loan.namings {
			consider(named.until)
			consider(named.until.Add(sizeDelay))
		}
	}
	for _, loan := range l.borrowed {
		consider(loan.until)
	}

	return next
}

// forget drops the loans that have ended and are not needed to interpret later reports.
func (l *ledger) forget(now time.Time) {
	for host, loan := range l.lent {
		loan.namings = slices.DeleteFunc(loan.namings, func(named naming) bool { return !named.until.Add(sizeDelay).After(now) })
		if loan.part == 0 && len(loan.namings) == 0 {
			delete(l.lent, host)
		}
	}
	for host, loan := range l.borrowed {
		// Reports that are older than the loan period echo nothing that counts.
		if now.Sub(loan.until) > loanPeriod && now.Sub(loan.returnedAt) > 2*loanPeriod {
			delete(l.borrowed, host)
		}
	}
}
