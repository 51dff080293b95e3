package edge

import (
	"github.com/baobabdrum/baobabdrum/schema"
)

// RolloutRow is the row of the store with the state of a service's rollout.
type RolloutRow struct {
	// Service is the name of the service.
	Service string
	// Target is the software version to move to.
	Target string
	// OrderVersion identifies the order to which the state belongs.
	OrderVersion int
	// State is the state, or empty if there is none or it is unreadable.
	State schema.RolloutState
	// RowVersion is the version of the row that holds the state, or 0 if there is none.
	RowVersion int
}
