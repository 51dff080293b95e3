package table

import (
	"math/rand/v2"
	"time"
)

const (
	// failuresToOpen is the number of consecutive failures that open the circuit.
	failuresToOpen = 2
	// minOpenTime is the back-off after the circuit first opens.
	minOpenTime = 500 * time.Millisecond
	// maxOpenTime is the largest back-off.
	maxOpenTime = 4 * time.Second
)

// CircuitState says which requests to the platform may start.
type CircuitState string

const (
	// CircuitClosed allows every request.
	CircuitClosed CircuitState = "closed"
	// CircuitOpen allows no request until the back-off is over.
	CircuitOpen CircuitState = "open"
	// CircuitHalfOpen has allowed one trial request and waits for its result.
	CircuitHalfOpen CircuitState = "half_open"
)

// Circuit is a circuit breaker that stops requests to the platform during an
// outage. It stays open with exponential back-off and jitter, so that hosts do
// not return to the platform at the same time.
type Circuit struct {
	// State is the current state.
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

// Allow reports whether a request may start. If it may, the caller must report
// the result with Succeeded or Failed.
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

// Succeeded records a successful request and closes the circuit.
func (c *Circuit) Succeeded() {
	c.State, c.failures, c.openTime = CircuitClosed, 0, 0
}

// Failed records a failed request. It opens the circuit after failuresToOpen
// consecutive failures, and at once after a failed trial.
func (c *Circuit) Failed(now time.Time) {
	c.failures++
	if c.State == CircuitClosed && c.failures < failuresToOpen {
		return
	}
	c.State = CircuitOpen
	c.openTime = min(max(2*c.openTime, minOpenTime), maxOpenTime)
	c.until = now.Add(c.openTime/2 + time.Duration(c.random.Int64N(int64(c.openTime/2))))
}
