package beacon

import (
	"math"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Bounds of the reports on rollouts. A beacon beyond them is dropped as a whole, so its
// sender must keep to them.
const (
	// MaxRollouts is the largest number of reports on rollouts in a beacon.
	MaxRollouts = 256
	// MaxRolloutRoutes is the largest number of routes with evidence in a report.
	MaxRolloutRoutes = 64
	// MaxRolloutCount is the largest count in a report.
	MaxRolloutCount = 1 << 31
	// maxShareMilli is the largest share, of thousandths.
	maxShareMilli = 1000
)

// rolloutStates are the known states of a rollout.
var rolloutStates = map[schema.RolloutState]bool{
	schema.RolloutStateRunning: true, schema.RolloutStateCompleted: true, schema.RolloutStateRolledBack: true,
}

// checkRollouts returns a *FieldError if a report on a rollout is invalid.
func checkRollouts(reports []schema.RolloutReport) error {
	if len(reports) > MaxRollouts {
		return &FieldError{Field: "rollouts", Value: len(reports)}
	}
	for _, report := range reports {
		if err := checkRollout(report); err != nil {
			return err
		}
	}

	return nil
}

// checkRollout returns a *FieldError if a field of a report on a rollout is invalid.
func checkRollout(report schema.RolloutReport) error {
	for _, field := range []struct {
		name               string
		value, least, most int
	}{
		{"rollouts.service_hash", report.ServiceHash, 0, math.MaxUint32},
		{"rollouts.order_version.epoch", report.OrderVersion.Epoch, 0, math.MaxInt},
		{"rollouts.order_version.version", report.OrderVersion.Version, 1, math.MaxInt},
		{"rollouts.share_milli", report.ShareMilli, 0, maxShareMilli},
		{"rollouts.other_in_flight", report.OtherInFlight, 0, MaxRolloutCount},
		{"rollouts.evidence", len(report.Evidence), 0, MaxRolloutRoutes},
	} {
		if field.value < field.least || field.value > field.most {
			return &FieldError{Field: field.name, Value: field.value}
		}
	}
	if !rolloutStates[report.State] {
		return &FieldError{Field: "rollouts.state", Value: report.State}
	}
	for _, evidence := range report.Evidence {
		if err := checkEvidence(evidence); err != nil {
			return err
		}
	}

	return nil
}

// checkEvidence returns a *FieldError if a field of a route's evidence is invalid.
func checkEvidence(evidence schema.RolloutEvidence) error {
	if evidence.RouteHash < 0 || evidence.RouteHash > math.MaxUint32 {
		return &FieldError{Field: "rollouts.evidence.route_hash", Value: evidence.RouteHash}
	}
	for _, count := range RolloutCounts(&evidence) {
		if *count < 0 || *count > MaxRolloutCount {
			return &FieldError{Field: "rollouts.evidence", Value: *count}
		}
	}

	return nil
}

// RolloutCounts returns the counts of a route's evidence.
func RolloutCounts(evidence *schema.RolloutEvidence) []*int {
	return []*int{
		&evidence.TargetAnswers, &evidence.TargetFailures, &evidence.TargetSlow, &evidence.TargetCold,
		&evidence.OtherAnswers, &evidence.OtherFailures, &evidence.OtherSlow,
	}
}
