package rollout

import "github.com/baobabdrum/baobabdrum/schema"

// Counts are answers since an order began, by the version of the backend server.
type Counts struct {
	// Target are the answers of backend servers of the target version.
	Target Answers
	// Others are the answers of all other backend servers.
	Others Answers
}

// Answers are answers of backend servers of one side.
type Answers struct {
	// All is the number of answers.
	All int
	// Failures is the number of these that failed.
	Failures int
	// Slow is the number of these that were slow.
	Slow int
	// Cold is the number of these to calls that began while the backend server was cold or
	// that ran on a slow machine.
	// They are never counted as slow.
	Cold int
}

// plus returns the sums of two counts.
func (c Counts) plus(other Counts) Counts {
	return Counts{Target: c.Target.plus(other.Target), Others: c.Others.plus(other.Others)}
}

// minus returns the differences of two counts.
func (c Counts) minus(other Counts) Counts {
	return Counts{Target: c.Target.minus(other.Target), Others: c.Others.minus(other.Others)}
}

// below reports whether any count is lower than in an earlier report, so that the
// reporting host must have restarted in between.
func (c Counts) below(earlier Counts) bool {
	return c.Target.below(earlier.Target) || c.Others.below(earlier.Others)
}

func (a Answers) plus(other Answers) Answers {
	return Answers{All: a.All + other.All, Failures: a.Failures + other.Failures, Slow: a.Slow + other.Slow, Cold: a.Cold + other.Cold}
}

func (a Answers) minus(other Answers) Answers {
	return Answers{All: a.All - other.All, Failures: a.Failures - other.Failures, Slow: a.Slow - other.Slow, Cold: a.Cold - other.Cold}
}

func (a Answers) below(earlier Answers) bool {
	return a.All < earlier.All || a.Failures < earlier.Failures || a.Slow < earlier.Slow || a.Cold < earlier.Cold
}

// decode returns the counts of a report by the hash of the route.
func decode(evidence []schema.RolloutEvidence) map[int]Counts {
	decoded := make(map[int]Counts, len(evidence))
	for _, e := range evidence {
		decoded[e.RouteHash] = decoded[e.RouteHash].plus(Counts{
			Target: Answers{All: e.TargetAnswers, Failures: e.TargetFailures, Slow: e.TargetSlow, Cold: e.TargetCold},
			Others: Answers{All: e.OtherAnswers, Failures: e.OtherFailures, Slow: e.OtherSlow},
		})
	}

	return decoded
}

// encode returns the counts of a route as they are reported to other hosts.
func (c Counts) encode(route int) schema.RolloutEvidence {
	return schema.RolloutEvidence{
		RouteHash:     route,
		TargetAnswers: c.Target.All, TargetFailures: c.Target.Failures, TargetSlow: c.Target.Slow, TargetCold: c.Target.Cold,
		OtherAnswers: c.Others.All, OtherFailures: c.Others.Failures, OtherSlow: c.Others.Slow,
	}
}
