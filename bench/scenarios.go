package bench

import (
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
)

// Names of what the ratios compare.
const (
	nameShifting = "shifting"
	nameProduct  = "owner"
	nameBaseline = "two choices, in flight"
)

// ratioLoadPercent is the load of the ratios in percent of the capacity.
const ratioLoadPercent = 75

// Variant is a policy under comparison.
type Variant struct {
	// Name is its name in the report.
	Name string
	// Owner says that one host places all calls; otherwise each host places its
	// own and knows nothing of the others'.
	Owner bool
	// OneQueue treats all calls as one caller's.
	OneQueue bool
	// Options are those of each host's pool.
	Options backend.Options
}

// independent returns a policy of hosts that know nothing of each other.
func independent(name string, policy backend.Policy) Variant {
	return Variant{Name: name, Options: backend.Options{
		Policy: policy, WithoutHedge: true, WithoutRamp: true, WithoutEjection: true,
	}}
}

// owner returns the product's policy with the given options.
func owner(name string, options backend.Options) Variant {
	return Variant{Name: name, Owner: true, Options: options}
}

// Scenario is what backend servers and callers do, and the policies that are
// compared under it.
type Scenario struct {
	// Name is its name in the report.
	Name string
	// Loads are in percent of the capacity.
	Loads []int
	// Deadline is that of each call, or 0 for that of the settings.
	Deadline time.Duration
	// Flood is the share of calls that one caller makes.
	Flood float64
	// ServersTurnCold turns a random backend server cold every turnColdInterval.
	ServersTurnCold bool
	// Variants are the policies in the order of the report.
	Variants []Variant
}

// Scenarios are in the order of the report. The speed of backend servers shifts
// in all of them.
var Scenarios = []Scenario{
	{
		Name:  nameShifting,
		Loads: []int{40, 60, ratioLoadPercent, 85},
		Variants: []Variant{
			independent("random", backend.Random{}),
			independent("round robin", backend.RoundRobin{}),
			independent(nameBaseline, backend.TwoChoicesInFlight{}),
			independent("two choices, latency", backend.TwoChoicesLatency{}),
			{Name: "independent, lowest latency, hedged"},
			owner(nameProduct, backend.Options{}),
			owner("owner without hedge", backend.Options{WithoutHedge: true}),
			owner("owner without ramp", backend.Options{WithoutRamp: true}),
			owner("owner without ejection", backend.Options{WithoutEjection: true}),
			owner("owner, random choice", backend.Options{Policy: backend.Random{}}),
		},
	},
	{
		Name:            "turning cold",
		Loads:           []int{60, ratioLoadPercent},
		ServersTurnCold: true,
		Variants: []Variant{
			independent(nameBaseline, backend.TwoChoicesInFlight{}),
			owner(nameProduct, backend.Options{}),
			owner("owner without ramp", backend.Options{WithoutRamp: true}),
			owner("owner without ejection", backend.Options{WithoutEjection: true}),
			owner("owner without both", backend.Options{WithoutRamp: true, WithoutEjection: true}),
		},
	},
	{
		Name:     "overload",
		Loads:    []int{110, 150},
		Deadline: 200 * time.Millisecond,
		Flood:    0.7,
		Variants: []Variant{
			{Name: "owner, one queue", Owner: true, OneQueue: true},
			owner(nameProduct, backend.Options{}),
			owner("owner, oldest first", backend.Options{Discipline: backend.FirstInFirstOut{}}),
			owner("owner, newest first", backend.Options{Discipline: backend.LastInFirstOut{}}),
		},
	},
}
