package table

import (
	"math/rand/v2"
	"time"
)

const (
	// failuresToOpen is the number of failures in a row that open the circuit.
	failuresToOpen = 2
	// minOpenTime is the first time for which the circuit stays open.
	minOpenTime = 500 * time.Millisecond
	// maxOpenTime bounds the time for which the circuit stays open.
	maxOpenTime = 4 * time.Second
)

// CircuitState says whether the platform is asked.
type CircuitState string

const (
	// CircuitClosed lets every exchange pass.
	CircuitClosed CircuitState = "closed"
	// CircuitOpen lets no exchange pass.
	CircuitOpen CircuitState = "open"
	// CircuitHalfOpen has let one exchange pass as a trial.
	CircuitHalfOpen CircuitState = "half_open"
)

// Circuit keeps an outage of the platform from costing exchanges. It stays open
// for exponentially growing times with jitter, so that hosts do not return to
// the platform together.
type Circuit struct {
	// State is the present state.
	State CircuitState

	failures int
	openTime time.Duration
	until    time.Time
	random   *rand.Rand
}

// NewCircuit returns a closed circuit.
func NewCircuit(seed uint64) *Circuit {
	return &Circuit{State: CircuitClosed, random: rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // jitter is no secret
}

// Allow reports whether an exchange may start. After true, the caller reports
// its end by Succeeded or Failed.
func (c *Circuit) Allow(now time.Time) bool {
	if c.State == CircuitClosed {
		return true
	}
	if c.State == CircuitHalfOpen || now.Before(c.until) {
		return false
	}
	c.State = CircuitHalfOpen

	return true
}

// Succeeded closes the circuit.
func (c *Circuit) Succeeded() {
	c.State, c.failures, c.openTime = CircuitClosed, 0, 0
}

// Failed opens the circuit after failures in a row, and at once after a failed
// trial.
func (c *Circuit) Failed(now time.Time) {
	c.failures++
	if c.State == CircuitClosed && c.failures < failuresToOpen {
		return
	}
	c.State = CircuitOpen
	c.openTime = min(max(2*c.openTime, minOpenTime), maxOpenTime)
	c.until = now.Add(c.openTime/2 + time.Duration(c.random.Int64N(int64(c.openTime/2))))
}
