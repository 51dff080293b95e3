package allotment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// reportInterval is the time between share reports, that of beacons to hosts of the
	// same data centre. It is also the unit of the numbers of reports.
	reportInterval = 100 * time.Millisecond
	// adjustInterval is the time between measurements of the demand.
	adjustInterval = 200 * time.Millisecond
	// slowWeight and fastWeight are the weights of a new measurement in the smoothed
	// demand and in the one that detects changes. A weight that differed for rises and
	// falls overestimated the demand, so that lenders kept too much.
	slowWeight, fastWeight = 0.08, 0.5
	// changeDeviations is the difference of both, in standard deviations of the fast one
	// for calls that arrive at random, from which the demand has changed.
	changeDeviations = 2.5
	// needAbove and needBelow are the parts of a host's equal share at which it begins
	// and ceases to report a need.
	needAbove, needBelow = 0.8, 0.7
	// fullMargin and emptyMargin are what a host keeps, or wants if it is in need, relative
	// to its demand, with a full and an empty bucket. With 1.15 for both, more was refused
	// of a tenant near its quota.
	fullMargin, emptyMargin = 1.1, 1.3
	// needPeriod is how long a need counts after it was last reported.
	needPeriod = 1500 * time.Millisecond
	// minAdjustment is the smallest change of a loan in thousandths, except for its end.
	// Decreases without a bound followed each fluctuation, and the borrower refused more.
	minAdjustment = 20
	// returnPeriod is how long the end of a loan is reported, so that the lender learns
	// of it although beacons get lost.
	returnPeriod = time.Second
	// sentReports is the number of own reports whose times are kept: those of the loan
	// period and more.
	sentReports = 64
)

// sentReport is a report of this host and when it was made.
type sentReport struct {
	number int
	at     time.Time
}

// peer is what this host knows of another one that shares.
type peer struct {
	// number is the number of its newest report, which was received at heardAt.
	number  int
	heardAt time.Time
}

// need is what another host would like to admit.
type need struct {
	calls   float64
	heardAt time.Time
}

// Hash returns the 31-bit hash that identifies a host or a tenant in share reports. The
// encoding needs 9 bytes instead of 5 for a number of 32 bits.
func Hash(name string) int {
	return int(xxhash.Sum64String(name) & MaxNumber)
}

// sharing is the state of the loans of one host for all tenants.
type sharing struct {
	self int
	// cautiousUntil is when the loans of an earlier process of this host have ended.
	cautiousUntil time.Time
	peers         map[int]*peer
	sent          []sentReport
	report        schema.ShareReport
	adjustedAt    time.Time
	byHash        map[int]*bucket
	// loans is the number of loans of this host.
	loans int
}

// BeginSharing lets this host lend and borrow. An earlier process of the same host may
// have lent parts that are still in use, so this one does not use them at first.
func (a *Allotments) BeginSharing(now time.Time, host string) {
	a.sharing = &sharing{self: Hash(host), cautiousUntil: now.Add(loanPeriod + loanMargin), peers: map[int]*peer{}, adjustedAt: now}
	a.indexTenants()
	for _, known := range a.buckets {
		a.fill(now, known)
		a.divide(now, known)
	}
}

// Share is what a host has lent and borrowed of the quota of a tenant.
type Share struct {
	// Tenant is the name of the tenant.
	Tenant string
	// Lent and Borrowed are thousandths of the equal share of a host.
	Lent, Borrowed int
}

// Shares returns the shares of the tenants with loans in force, in no particular order.
func (a *Allotments) Shares(now time.Time) []Share {
	var list []Share
	for name, known := range a.buckets {
		lent, borrowed := known.ledger.sums(now)
		if !a.serving {
			borrowed = parts{}
		}
		if lent.rate > 0 || borrowed.rate > 0 {
			list = append(list, Share{Tenant: name, Lent: lent.rate, Borrowed: borrowed.rate})
		}
	}

	return list
}

// indexTenants finds the tenants by their hash. Tenants with the same hash share nothing.
func (a *Allotments) indexTenants() {
	if a.sharing == nil {
		return
	}
	a.sharing.byHash = map[int]*bucket{}
	for name, known := range a.buckets {
		if _, ambiguous := a.sharing.byHash[Hash(name)]; ambiguous {
			a.sharing.byHash[Hash(name)] = nil

			continue
		}
		a.sharing.byHash[Hash(name)] = known
	}
}

// SetPeers sets the hosts that serve. Nothing is borrowed from any other host: its share
// is divided among those that serve.
func (a *Allotments) SetPeers(now time.Time, names []string) {
	if a.sharing == nil {
		return
	}
	before := a.sharing.peers
	a.sharing.peers = map[int]*peer{}
	for _, name := range names {
		if hash := Hash(name); hash != a.sharing.self {
			a.sharing.peers[hash] = cmp.Or(before[hash], &peer{})
		}
	}
	for _, known := range a.buckets {
		a.fill(now, known)
		for host, loan := range known.ledger.borrowed {
			if _, serves := a.sharing.peers[host]; !serves {
				loan.until = now
			}
		}
		a.divide(now, known)
	}
}

// dropBorrowed ends all that this host has borrowed. Later loans count only if they echo
// a report that is made after this.
func (a *Allotments) dropBorrowed(now time.Time) {
	if a.sharing == nil {
		return
	}
	a.sharing.sent = nil
	for _, known := range a.buckets {
		for _, loan := range known.ledger.borrowed {
			if loan.until.After(now) {
				loan.until = now
			}
		}
		a.divide(now, known)
	}
}

// Report returns what this host tells the others, or a report with number 0 if it shares
// with none. The lists are not bounded to the size of a beacon; see Excerpt.
func (a *Allotments) Report(now time.Time) schema.ShareReport {
	s := a.sharing
	if s == nil || !a.serving || len(s.peers) == 0 || len(a.buckets) == 0 {
		return schema.ShareReport{}
	}
	if elapsed := now.Sub(s.adjustedAt); elapsed >= adjustInterval {
		s.adjustedAt = now
		s.loans = 0
		for _, known := range a.buckets {
			known.ledger.forget(now)
			s.loans += len(known.ledger.lent)
		}
		for _, known := range a.buckets {
			known.measure(elapsed)
			a.adjust(now, known)
		}
	}
	if len(s.sent) > 0 && now.Sub(s.sent[len(s.sent)-1].at) < reportInterval {
		return s.report
	}
	number := max(int(now.UnixMilli()/reportInterval.Milliseconds())%MaxNumber, s.report.Number+1)
	if number > MaxNumber { // every 6.8 years; loans begin anew
		number, s.sent = 1, nil
	}
	s.report = schema.ShareReport{Number: number}
	for _, hash := range slices.Sorted(maps.Keys(s.byHash)) {
		if known := s.byHash[hash]; known != nil {
			a.describe(now, hash, known)
		}
	}
	s.sent = append(s.sent, sentReport{number: number, at: now})
	if len(s.sent) > sentReports {
		s.sent = slices.Delete(s.sent, 0, len(s.sent)-sentReports)
	}
	boundReport(&s.report)

	return s.report
}

// describe adds a tenant to the report.
func (a *Allotments) describe(now time.Time, hash int, known *bucket) {
	s := a.sharing
	if known.needs {
		s.report.Needs = append(s.report.Needs, schema.ShareNeed{TenantHash: hash, Calls: int(math.Ceil(min(known.margin()*known.demand, maxCalls)))})
	}
	a.lend(now, hash, known)
	for host, loan := range known.ledger.borrowed {
		// Calls that wait with tokens of the larger loan still use it.
		if now.Sub(loan.returnedAt) < returnPeriod && known.held <= known.capacity {
			s.report.Returns = append(s.report.Returns, schema.ShareReturn{LenderHash: host, TenantHash: hash, Number: loan.number})
		}
	}
}

// Received applies the report of another host.
func (a *Allotments) Received(now time.Time, from string, report schema.ShareReport) {
	s := a.sharing
	if s == nil || report.Number == 0 {
		return
	}
	host := Hash(from)
	other, serves := s.peers[host]
	if !serves {
		return
	}
	if report.Number > other.number || now.Sub(other.heardAt) > loanPeriod {
		other.number, other.heardAt = report.Number, now
	}
	for _, wanted := range report.Needs {
		if known := s.byHash[wanted.TenantHash]; known != nil {
			known.wanted[host] = need{calls: float64(wanted.Calls), heardAt: now}
		}
	}
	for _, loan := range report.Loans {
		if known := s.byHash[loan.TenantHash]; known != nil && loan.ReceiverHash == s.self {
			a.borrow(now, known, host, report.Number, loan)
		}
	}
	for _, returned := range report.Returns {
		if returned.LenderHash == s.self {
			a.takeBack(now, host, returned)
		}
	}
}

// takeBack applies that another host uses no loan of this one before a number. A number of
// an earlier process of this host counts for nothing.
func (a *Allotments) takeBack(now time.Time, host int, returned schema.ShareReturn) {
	known := a.sharing.byHash[returned.TenantHash]
	if known == nil || returned.Number > a.sharing.report.Number {
		return
	}
	if loan, lent := known.ledger.lent[host]; lent {
		a.fill(now, known)
		loan.returned(returned.Number)
		a.divide(now, known)
	}
}

// borrow applies a loan of another host, if it echoes a report of this process.
func (a *Allotments) borrow(now time.Time, known *bucket, host, number int, loan schema.ShareLoan) {
	at, found := slices.BinarySearchFunc(a.sharing.sent, loan.Echo, func(sent sentReport, number int) int { return cmp.Compare(sent.number, number) })
	if !found || !a.serving {
		return
	}
	present, borrows := known.ledger.borrowed[host]
	if !borrows {
		present = &borrowing{}
		known.ledger.borrowed[host] = present
	}
	if number <= present.number {
		return
	}
	a.fill(now, known)
	if loan.PartMilli < present.part {
		present.returnedAt = now
	}
	present.number, present.part, present.until = number, loan.PartMilli, a.sharing.sent[at].at.Add(loanPeriod)
	a.divide(now, known)
}

// adjust decides what this host lends of its share of one tenant's quota.
func (a *Allotments) adjust(now time.Time, known *bucket) {
	a.fill(now, known)
	equal := known.perSecond / float64(a.sharers)
	// A bucket that is half full carries a burst by itself.
	short := known.tokens < known.capacity/2
	known.needs = short && known.demand > needAbove*equal || known.needs && known.demand > needBelow*equal
	extra, total := a.extraNeeds(now, known, equal)
	spare := a.spare(now, known, equal)
	for host := range extra {
		if _, lends := known.ledger.lent[host]; !lends && spare >= minAdjustment && a.sharing.loans < maxLoans {
			known.ledger.lent[host] = &lending{}
			a.sharing.loans++
		}
	}
	for host, loan := range known.ledger.lent {
		target := 0
		if total > 0 {
			target = int(min(extra[host]/equal*wholeShare, float64(spare)*extra[host]/total))
		}
		if target == 0 || target <= loan.part-minAdjustment || target >= loan.part+minAdjustment {
			loan.part = target
		}
	}
}

// extraNeeds returns what other hosts need of a tenant beyond their equal shares in calls
// a second, and the sum. Needs that were not repeated are dropped.
func (a *Allotments) extraNeeds(now time.Time, known *bucket, equal float64) (extra map[int]float64, total float64) {
	extra = map[int]float64{}
	for host, wanted := range known.wanted {
		if _, serves := a.sharing.peers[host]; !serves || now.Sub(wanted.heardAt) > needPeriod {
			delete(known.wanted, host)

			continue
		}
		if wanted.calls > equal {
			extra[host] = wanted.calls - equal
			total += extra[host]
		}
	}

	return extra, total
}

// spare returns the part of this host's equal share that it may lend, in thousandths.
func (a *Allotments) spare(now time.Time, known *bucket, equal float64) int {
	if now.Before(a.sharing.cautiousUntil) || known.needs {
		return 0
	}
	part := 1 - known.margin()*known.demand/equal
	// A bucket has to hold a token to admit a call at all.
	part = min(part, (1-1/known.equalSize)*wholeShare/float64(sizeOf(wholeShare)))

	return max(min(int(part*wholeShare), maxLent), 0)
}

// lend names the loans of one tenant in the report. What receivers may still use counts
// against the parts of the others.
func (a *Allotments) lend(now time.Time, hash int, known *bucket) {
	if len(known.ledger.lent) == 0 {
		return
	}
	a.fill(now, known)
	s, total := a.sharing, 0
	for _, loan := range known.ledger.lent {
		total += loan.withheld(now, sizeDelay)
	}
	for _, host := range slices.Sorted(maps.Keys(known.ledger.lent)) {
		loan := known.ledger.lent[host]
		other, serves := s.peers[host]
		if !serves {
			loan.part = 0

			continue
		}
		until := other.heardAt.Add(loanPeriod + loanMargin)
		before := loan.withheld(now, sizeDelay)
		loan.part = min(loan.part, max(maxLent-(total-before), 0))
		if !until.After(now) || loan.part == 0 && loan.withheld(now, 0) == 0 {
			continue
		}
		total += max(loan.part-before, 0)
		loan.name(s.report.Number, until)
		s.report.Loans = append(s.report.Loans, schema.ShareLoan{ReceiverHash: host, TenantHash: hash, PartMilli: loan.part, Echo: other.number})
	}
	a.divide(now, known)
}
