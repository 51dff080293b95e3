package rollout

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// turnDelay is the time for which a host waits for each serving host before it by name,
	// so that usually one host writes.
	turnDelay = 500 * time.Millisecond
	// maxTurns bounds the hosts that are waited for.
	maxTurns = 20
	// minRecordRetry and maxRecordRetry bound the delay after a failure of the store, which
	// doubles with each.
	minRecordRetry = 300 * time.Millisecond
	maxRecordRetry = 2 * time.Second
	// recordTimeout is the time after which a request without result is repeated. It was
	// dropped, or the store does not answer.
	recordTimeout = 2 * time.Second
	// confirmInterval is the time between two reads of the recorded state of a host that
	// hears too few others.
	confirmInterval = time.Second
)

// recording is what this host is about to write to the store, or to read from it.
type recording struct {
	// wanted is the state to write, or empty.
	wanted schema.RolloutState
	// since is when it became wanted.
	since time.Time
	// requestedAt is when the last request was made.
	requestedAt time.Time
	// nextAt is the earliest time of the next request.
	nextAt   time.Time
	failures int
	// confirmedAt is when the store last had no final state.
	confirmedAt time.Time
}

// wantedRecord returns the state that has to be written, or read, and whether hosts take
// turns: a host that hears too few others cannot rely on them.
func (r *Rollout) wantedRecord(now time.Time) (state schema.RolloutState, inTurn bool) {
	switch {
	case r.Final():
		if !r.recorded {
			return r.state, true
		}

		return "", false
	case !r.recorded:
		return schema.RolloutStateRunning, true
	case !r.hearsMajority(now):
		return schema.RolloutStateRunning, false
	case r.mayComplete(now):
		return schema.RolloutStateCompleted, true
	default:
		return "", false
	}
}

// record requests the state that has to be written, when it is this host's turn.
func (r *Rollout) record(now time.Time) {
	wanted, inTurn := r.wantedRecord(now)
	if wanted != r.writing.wanted {
		r.writing.wanted, r.writing.since = wanted, now
		if wanted == schema.RolloutStateRolledBack && r.writing.failures == 0 {
			r.writing.nextAt = now // the result of an earlier request does not matter any more
		}
	}
	if wanted == "" || now.Before(r.writing.nextAt) || inTurn && now.Sub(r.writing.since) < r.turn() {
		return
	}
	r.writing.requestedAt = now
	r.writing.nextAt = now.Add(recordTimeout)
	r.actions = append(r.actions, Record{State: wanted})
}

// turn returns the time for which this host waits for those before it.
func (r *Rollout) turn() time.Duration {
	place := slices.Index(r.serving, r.Host)
	if place < 0 {
		place = len(r.serving)
	}

	return time.Duration(min(place, maxTurns)) * turnDelay
}

// recordEnded adopts what the store has.
func (r *Rollout) recordEnded(now time.Time, event Recorded) {
	if event.Failed {
		r.writing.nextAt = now.Add(min(minRecordRetry<<min(r.writing.failures, 10), maxRecordRetry))
		r.writing.failures++

		return
	}
	r.writing.failures, r.writing.nextAt = 0, now
	if event.State != schema.RolloutStateRunning {
		r.conclude(now, event.State, true, ReasonRecorded)

		return
	}
	r.writing.nextAt = now.Add(confirmInterval)
	if r.Final() {
		return // the final state was wanted after this was requested, and is written next
	}
	r.writing.confirmedAt = r.writing.requestedAt
	if !r.recorded {
		r.recorded = true
		r.change(now, ReasonRecorded)
	}
}
