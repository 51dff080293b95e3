package backend

// Options configure a pool. The zero values of Policy, Discipline and the
// switches are the production behaviour; the other values exist for comparison
// in benchmarks.
type Options struct {
	// QueueLength bounds the number of waiting calls per cell.
	QueueLength int
	// Hosts is the configured number of entry hosts, which share each probe
	// budget.
	Hosts int
	// Seed seeds random choices.
	Seed uint64
	// Policy selects among free backend servers; nil means LowestLatency.
	Policy Policy
	// Discipline selects among waiting calls; nil means ControlledDelay.
	Discipline Discipline
	// WithoutHedge disables hedged attempts.
	WithoutHedge bool
	// WithoutRamp disables the cold-start ramp, so that a cold backend server may
	// use all its slots.
	WithoutRamp bool
	// WithoutSpill disables moves of waiting calls to other cells.
	WithoutSpill bool
	// WithoutEjection disables outlier ejection.
	WithoutEjection bool
}
