package backend

// Options are what a pool is made with. The zero value of each switch is the
// product's behaviour; the others exist to be measured against it.
type Options struct {
	// QueueLength bounds the calls that wait in one cell.
	QueueLength int
	// Hosts is the configured number of entry hosts, which share each probe
	// budget.
	Hosts int
	// Seed is the seed of random choices.
	Seed uint64
	// Policy chooses among free backend servers; nil stands for LowestLatency.
	Policy Policy
	// Discipline chooses among waiting calls; nil stands for
	// ControlledDelay.
	Discipline Discipline
	// WithoutHedge starts no second attempt beside a running one.
	WithoutHedge bool
	// WithoutRamp lets a cold backend server use all its slots.
	WithoutRamp bool
	// WithoutSpill leaves waiting calls in their cell.
	WithoutSpill bool
	// WithoutEjection keeps every backend server in use.
	WithoutEjection bool
}
