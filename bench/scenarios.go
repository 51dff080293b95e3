package bench

import (
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
)

// The scenario of the latency ratios and the two policies that they compare.
const (
	nameShifting = "shifting"
	nameProduct  = "owner"
	nameBaseline = "two choices, in flight"
)

// ratioLoadPercent is the load, in percent of the capacity, at which the ratios
// are computed.
const ratioLoadPercent = 75

// Variant is a placement policy to compare.
type Variant struct {
	// Name is the name of the policy in the report.
	Name string
	// Owner makes one host place all calls. Otherwise each host places its own
	// calls without knowledge of those of other hosts.
	Owner bool
	// OneQueue places all calls under the same caller name, so that there is no
	// fair queueing among callers.
	OneQueue bool
	// Options are the options of each host's pool.
	Options backend.Options
}

// independent returns a policy whose hosts place calls independently, without
// hedging, slow start or outlier ejection.
func independent(name string, policy backend.Policy) Variant {
	return Variant{Name: name, Options: backend.Options{
		Policy: policy, WithoutHedge: true, WithoutRamp: true, WithoutEjection: true,
	}}
}

// owner returns the policy of the product with the given options.
func owner(name string, options backend.Options) Variant {
	return Variant{Name: name, Owner: true, Options: options}
}

// Scenario describes the behaviour of backend servers and callers and lists the
// policies to compare under it.
type Scenario struct {
	// Name is the name of the scenario in the report.
	Name string
	// Loads are the loads to run, in percent of the capacity.
	Loads []int
	// Deadline is the time limit of each call, or 0 for that of the settings.
	Deadline time.Duration
	// Flood is the share of calls from a single flooding caller.
	Flood float64
	// ServersTurnCold turns a random backend server cold every
	// turnColdInterval.
	ServersTurnCold bool
	// Variants are the policies to compare, in the order of the report.
	Variants []Variant
}

// Scenarios lists the scenarios in the order of the report. The speed of
// backend servers varies in all of them.
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
