package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// declaredService returns a declared state whose only route leads to a service with
// one backend server of the same name.
func declaredService(version int, service string) schema.Declared {
	return schema.Declared{
		OrdersAt: storeVersion(version), RegistrationsAt: storeVersion(version),
		Registrations: []schema.Registration{{ID: service, Service: service, Address: "10.0.0.1:80", DataCentre: "north", Slots: 64, StartedMs: 1}},
		Declaration: schema.Declaration{Version: version, Services: []schema.ServiceRule{{Name: service}}, Routes: []schema.Route{{
			Name: "route", HostName: "a.example", Prefix: "/", MaxAttempts: 1, TargetMs: 1000, TimeoutMs: 4000,
			Targets: []schema.RouteTarget{{Service: service, Weight: 1}},
		}}},
	}
}

// Guards against calls that are placed by an old state because the newer one waits
// behind them: a host that had fallen behind sent calls to backend servers that had
// left seconds before.
func TestChangesOvertakeWaitingCalls(t *testing.T) {
	const calls = 50
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	duty := &callsDuty{
		placer: placement.New(placement.Options{Host: "h", DataCentre: "north"}),
		inputs: ring.New[Input]("calls", calls), changes: ring.New[Input]("changes", 2), attempts: ring.New[*Attempt]("senders", calls),
		probes: ring.New[placement.Probe]("probers", calls), control: ring.New[ControlInput]("control", calls),
		log: eventlog.New(logrus.NewEntry(logger)), metrics: NewMetrics(),
		calls: map[placement.CallID]*openCall{}, inFlight: map[placement.AttemptID]*Attempt{}, rateSince: time.Now(),
	}
	duty.step(time.Now(), DeclaredChanged{Declared: declaredService(1, "old"), AdoptedAt: time.Now()})
	for i := range calls {
		assert.NilError(t, duty.inputs.Offer(CallArrived{
			Call: placement.CallID(i + 1), Request: &Request{HostName: "a.example", Path: "/", Wait: time.Second}, Reply: ring.New[Reply]("reply", 1),
		}))
	}
	assert.NilError(t, duty.changes.Offer(DeclaredChanged{Declared: declaredService(2, "new"), AdoptedAt: time.Now()}))
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, duty.run(ctx), context.DeadlineExceeded)
	sent := 0
	for attempt, found := duty.attempts.Poll(); found; attempt, found = duty.attempts.Poll() {
		assert.Equal(t, attempt.Server, "new", fmt.Sprint("call ", attempt.Call))
		sent++
	}
	assert.Equal(t, sent, calls)
}

// Guards against a planned stop that waits behind the calls which it is to refuse: a
// host that had fallen behind passed them on and broke them off at its exit.
func TestAPlannedStopOvertakesWaitingCalls(t *testing.T) {
	const calls = 50
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h := New(schema.EdgeSettings{Senders: calls}, Site{Name: "h", DataCentre: "north"}, Adapter{}, eventlog.New(logrus.NewEntry(logger)))
	h.grace.Store(int64(time.Second))
	duty := &callsDuty{
		placer: placement.New(placement.Options{Host: "h", DataCentre: "north"}),
		inputs: h.inputs, changes: h.changes, attempts: h.attempts, probes: h.probes, control: h.control, log: h.Log, metrics: h.Metrics,
		calls: map[placement.CallID]*openCall{}, inFlight: map[placement.AttemptID]*Attempt{}, rateSince: time.Now(),
	}
	duty.step(time.Now(), DeclaredChanged{Declared: declaredService(1, "a"), AdoptedAt: time.Now()})
	for i := range calls {
		assert.NilError(t, h.inputs.Offer(CallArrived{
			Call: placement.CallID(i + 1), Request: &Request{HostName: "a.example", Path: "/", Wait: 4 * time.Second}, Reply: ring.New[Reply]("reply", 1),
		}))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	interrupted, interrupt := context.WithCancel(ctx)
	interrupt()
	stopped := ring.New[error]("stopped", 1)
	go func() { _ = stopped.Offer(h.runStop(ctx, interrupted, func() {})) }()
	_, err := h.control.Take(ctx) // the stop is announced
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.ErrorIs(t, duty.run(ctx), context.DeadlineExceeded)
	_, sent := duty.attempts.Poll()
	assert.Assert(t, !sent, "a stopping host sent a call that outlasts its grace period")
	_, err = stopped.Take(context.Background())
	assert.NilError(t, err)
}

// Guards against a process that is killed because it waits for the count of open calls,
// which its log states, from a calls duty that has fallen behind.
func TestAPlannedStopEndsInTimeBehindWaitingCalls(t *testing.T) {
	const grace = time.Second
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h := New(schema.EdgeSettings{Senders: 1}, Site{Name: "h", DataCentre: "north"}, Adapter{}, eventlog.New(logrus.NewEntry(logger)))
	h.grace.Store(int64(grace))
	assert.NilError(t, h.inputs.Offer(CallArrived{Call: 1})) // the duty does not come to it
	go func() {
		for {
			change, err := h.changes.Take(t.Context())
			if err != nil {
				return
			}
			if query, ok := change.(OpenCallsQuery); ok {
				_ = query.Reply.Offer(OpenCalls{}) // the sender guarantees room
			}
		}
	}()
	interrupted, interrupt := context.WithCancel(t.Context())
	interrupt()
	began := time.Now()
	var stopped *StoppedError
	assert.Assert(t, errors.As(h.runStop(t.Context(), interrupted, func() {}), &stopped))
	assert.Assert(t, time.Since(began) < grace, "the stop took %s", time.Since(began))
}

// Guards against calls that a stopping host takes although they may outlast it and
// were sent later than it assumes: it had received SIGTERM 150 ms late.
func TestAPlannedStopAllowsForALateSignal(t *testing.T) {
	const signalDelay = 150 * time.Millisecond
	tests := map[string]struct {
		sentAfter time.Duration // the signal was sent
		sent      bool
	}{
		"callers may know no other host": {sentAfter: 2600 * time.Millisecond, sent: true},
		"callers know other hosts":       {sentAfter: 3010 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			h := New(schema.EdgeSettings{Senders: 1}, Site{Name: "h", DataCentre: "north"}, Adapter{}, eventlog.New(logrus.NewEntry(logger)))
			h.grace.Store(int64(6 * time.Second))
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			interrupted, interrupt := context.WithCancel(ctx)
			interrupt()
			signalAt := time.Now().Add(-signalDelay)
			_ = h.runStop(ctx, interrupted, func() {}) // ends with the context
			placer := placement.New(placement.Options{Host: "h", DataCentre: "north"})
			duty := &callsDuty{
				placer: placer, inputs: h.inputs, changes: h.changes, attempts: h.attempts, probes: h.probes, control: h.control, log: h.Log, metrics: h.Metrics,
				calls: map[placement.CallID]*openCall{}, inFlight: map[placement.AttemptID]*Attempt{}, rateSince: time.Now(),
			}
			sentAt := signalAt.Add(test.sentAfter)
			duty.takeChanges()
			duty.steppedAt = sentAt // the duty ticks meanwhile
			declared := declaredService(1, "a")
			declared.Declaration.Routes[0].TargetMs = 250
			duty.step(sentAt, DeclaredChanged{Declared: declared, AdoptedAt: sentAt})
			duty.step(sentAt, CallArrived{
				Call: 1, Request: &Request{HostName: "a.example", Path: "/", Wait: 8 * time.Second}, Reply: ring.New[Reply]("reply", 1),
			})
			_, sent := duty.attempts.Poll()
			assert.Equal(t, sent, test.sent)
		})
	}
}

// Guards against requests that reach a backend server which left while they waited
// for one of the senders, all of which were busy.
func TestAttemptThatWaitedForASenderIsPlacedAgain(t *testing.T) {
	attempt := newAttempt(time.Now().Add(-maxSenderWait-time.Millisecond), placement.Send{Address: "10.0.0.1:80", Deadline: time.Now().Add(time.Minute)}, &Request{})
	decoded := (&sender{}).send(attempt)
	result, unsent := decoded.Result.(placement.Unsent)
	assert.Assert(t, unsent, "the result is %#v", decoded.Result)
	assert.Assert(t, result.Local)
	assert.ErrorIs(t, result.Cause, errSendersBusy)
}

// TestTheWaitOfADeclaredStateIsMeasured checks that a host which falls behind shows it.
func TestTheWaitOfADeclaredStateIsMeasured(t *testing.T) {
	tests := map[string]struct {
		waited time.Duration
		late   bool
	}{
		"at once": {},
		"late":    {waited: 300 * time.Millisecond, late: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var lines, metrics strings.Builder
			logger := logrus.New()
			logger.SetOutput(&lines)
			duty := &callsDuty{
				placer: placement.New(placement.Options{Host: "h", DataCentre: "north"}), attempts: ring.New[*Attempt]("senders", 1),
				probes: ring.New[placement.Probe]("probers", 8), log: eventlog.New(logrus.NewEntry(logger)), metrics: NewMetrics(),
			}
			now := time.Now()
			duty.step(now, DeclaredChanged{Declared: declaredService(1, "a"), AdoptedAt: now.Add(-test.waited)})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_ = duty.log.Run(ctx) // ends with the context
			duty.metrics.Write(&metrics)
			assert.Assert(t, strings.Contains(metrics.String(), "baobabdrum_declared_wait_seconds_count 1"))
			assert.Equal(t, strings.Contains(lines.String(), "declared_in_force_late"), test.late, lines.String())
		})
	}
}
