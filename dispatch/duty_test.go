package dispatch_test

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// startTime is the time of the first step of each test.
var startTime = time.Unix(1_700_000_000, 0)

// newDuty returns a dispatch duty on the only live host.
func newDuty() *dispatch.Duty {
	log := logrus.New()
	log.SetOutput(io.Discard)
	duty := dispatch.New(
		ring.New[dispatch.Input]("dispatch", 16), ring.New[*dispatch.Attempt]("senders", 16),
		ring.New[dispatch.Probe]("probers", 16), caller.NewRouter("host-1", time.Second),
		backend.NewPool(backend.Options{QueueLength: 16, Hosts: 1, Seed: 1}), eventlog.New(logrus.NewEntry(log)),
	)
	hosts := []schema.Host{{Name: "host-1", DataCentre: "north", CallerAddress: "127.0.0.1:1"}}
	duty.Step(startTime, dispatch.Route{Routes: duty.Router.Routes.WithHosts(hosts, nil)})

	return duty
}

// declare returns a configuration of one service with a single-slot backend
// server in each data centre.
func declare(version int, north, south schema.DataCentreState) schema.Configuration {
	return schema.Configuration{
		Version:     version,
		Services:    []schema.Service{{Name: "catalogue"}},
		DataCentres: []schema.DataCentre{{Name: "north", State: north}, {Name: "south", State: south}},
		BackendServers: []schema.BackendServer{
			{Service: "catalogue", DataCentre: "north", Address: "127.0.0.1:10", Slots: 1, Connections: 1},
			{Service: "catalogue", DataCentre: "south", Address: "127.0.0.1:20", Slots: 1, Connections: 1},
		},
	}
}

// call steps the duty with a call and returns the call's reply ring.
func call(duty *dispatch.Duty) *ring.Ring[dispatch.Reply] {
	reply := ring.New[dispatch.Reply]("reply", 1)
	duty.Step(startTime, dispatch.Call{
		Call:    caller.Call{ID: dispatch.NextCall(), Service: "catalogue", Deadline: startTime.Add(time.Minute)},
		Request: &dispatch.Request{Method: "POST", Target: "/"},
		Reply:   reply,
	})

	return reply
}

func TestQueuedCallsWhenADataCentreIsTakenOut(t *testing.T) {
	tests := map[string]struct {
		south    schema.DataCentreState
		attempts []string
		outcome  caller.Outcome
	}{
		"another data centre is in: the call moves there": {
			south: schema.DataCentreStateIn, attempts: []string{"127.0.0.1:10", "127.0.0.1:20"},
		},
		"no data centre is in: the call is not run": {
			south: schema.DataCentreStateOut, attempts: []string{"127.0.0.1:10"},
			outcome: caller.NotRun{Reason: caller.ReasonNoBackendServer},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			duty := newDuty()
			duty.Step(startTime, dispatch.Route{Routes: duty.Router.Routes.WithConfiguration(declare(1, schema.DataCentreStateIn, schema.DataCentreStateOut))})
			call(duty)
			waiting := call(duty)
			duty.Step(startTime, dispatch.Route{Routes: duty.Router.Routes.WithConfiguration(declare(2, schema.DataCentreStateOut, test.south))})
			for _, address := range test.attempts {
				attempt, ok := duty.Attempts.Poll()
				assert.Assert(t, ok, "no attempt was sent to %s", address)
				assert.Equal(t, attempt.Address, address)
			}
			_, ok := duty.Attempts.Poll()
			assert.Assert(t, !ok, "unexpected further attempt")
			reply, _ := waiting.Poll()
			finished, _ := reply.(dispatch.Finished)
			assert.DeepEqual(t, finished.Outcome, test.outcome)
		})
	}
}
