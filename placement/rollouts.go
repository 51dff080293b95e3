package placement

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// rolloutRecorded applies what the store has of a rollout.
func (*Placer) rolloutRecorded(time.Time, RolloutRecorded) {}

// Rollouts returns this host's reports on the rollout orders to the other hosts.
func (*Placer) Rollouts(time.Time) []schema.RolloutReport {
	return nil
}
