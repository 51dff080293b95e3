package edge

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
)

// Guards against soak seed 619: a process that was stopped for 3.6 s sent the calls which
// had waited, in the moment it went on, to backend servers that had left meanwhile.
func TestCallsOfAResumedProcessWaitForItsState(t *testing.T) {
	tests := map[string]struct {
		heldUp time.Duration
		sent   string
	}{
		"late by a tick": {heldUp: 300 * time.Millisecond, sent: "old"},
		"held up":        {heldUp: 3600 * time.Millisecond, sent: "new"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			duty := &callsDuty{
				placer:   placement.New(placement.Options{Host: "h", DataCentre: "north"}),
				attempts: ring.New[*Attempt]("senders", 2), probes: ring.New[placement.Probe]("probers", 2), control: ring.New[ControlInput]("control", 2),
				log: eventlog.New(logrus.NewEntry(logger)), metrics: NewMetrics(),
				calls: map[placement.CallID]*openCall{}, inFlight: map[placement.AttemptID]*Attempt{},
			}
			now := time.Now()
			duty.step(now, DeclaredChanged{Declared: declaredService(1, "old"), AdoptedAt: now})
			now = now.Add(test.heldUp)
			duty.step(now, CallArrived{
				Call: 1, Request: &Request{HostName: "a.example", Path: "/", Wait: 4 * time.Second}, Reply: ring.New[Reply]("reply", 1),
			})
			if requested, found := duty.control.Poll(); found {
				assert.Equal(t, requested, ControlInput(ConfirmationRequested{Since: now}))
				now = now.Add(50 * time.Millisecond)
				replaced := declaredService(1, "old")
				replaced.RegistrationsAt, replaced.Registrations[0].ID = storeVersion(2), "new"
				duty.step(now, DeclaredChanged{Declared: replaced, AdoptedAt: now})
				duty.step(now, PlacementEvent{Event: placement.StateConfirmed{}})
				duty.tick(now)
			}
			attempt, found := duty.attempts.Poll()
			assert.Assert(t, found)
			assert.Equal(t, attempt.Server, test.sent)
		})
	}
}
