package placement

import "time"

// confirmationLimit is the longest time for which a resumed process places no calls. A
// process that nobody confirms for so long has lost the store and its peers, and serves
// by the state that it has like any other such process.
const confirmationLimit = 3 * time.Second

// Resumed says that the process was held up for so long that its declared state may be
// older than allowed. Backend servers may have left meanwhile.
type Resumed struct{}

// StateConfirmed says that the declared state has been confirmed since the process
// resumed.
type StateConfirmed struct{}

func (Resumed) event()        {}
func (StateConfirmed) event() {}

// awaitsConfirmation reports whether no call may be placed because the declared state
// has not been confirmed since the process resumed.
func (p *Placer) awaitsConfirmation(now time.Time) bool {
	return now.Before(p.unconfirmedUntil)
}
