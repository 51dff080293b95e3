package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against metrics whose number grows with that of tenants.
func TestTenantLabels(t *testing.T) {
	labels := &tenantLabels{}
	for range 2 {
		for i := range 60 {
			tenant := fmt.Sprint("t", i)
			want := tenant
			if i >= maxTenantLabels {
				want = otherTenants
			}
			assert.Equal(t, labels.label(tenant), want)
		}
	}
}

// hasMetric reports whether the metrics contain a line.
func hasMetric(metrics *Metrics, line string) bool {
	var text bytes.Buffer
	metrics.Write(&text)

	return strings.Contains(text.String(), line+"\n")
}

// Guards against a quota that is divided among a number of hosts which is not the one
// that the directory states.
func TestSharersReachTheCallsDuty(t *testing.T) {
	duty := newSimulation(1, 1, 1).hosts[0].duty
	assert.NilError(t, duty.publishServing(context.Background(), time.Now(), directory.ServingChanged{Hosts: 9, Sharers: 5}))
	change, found := duty.changes.Poll()
	assert.Assert(t, found)
	event, ok := change.(PlacementEvent)
	assert.Assert(t, ok)
	peers, ok := event.Event.(placement.PeersChanged)
	assert.Assert(t, ok)
	assert.Equal(t, peers.Peers.Sharers, 5)
	assert.Assert(t, hasMetric(duty.metrics, "baobabdrum_quota_sharers 5"))
}

// Guards against refusals because of a quota that are not counted, or counted for
// calls that ended otherwise.
func TestQuotaRefusalsAreCounted(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	duty := &callsDuty{
		placer: placement.New(placement.Options{Host: "h", DataCentre: "north"}),
		inputs: ring.New[Input]("calls", 1), changes: ring.New[Input]("changes", 1), attempts: ring.New[*Attempt]("senders", 8),
		probes: ring.New[placement.Probe]("probers", 8), control: ring.New[ControlInput]("control", 8),
		log: eventlog.New(logrus.NewEntry(logger)), metrics: NewMetrics(),
		calls: map[placement.CallID]*openCall{}, inFlight: map[placement.AttemptID]*Attempt{}, rateSince: time.Now(),
	}
	declared := declaredService(1, "a")
	declared.Declaration.Tenants = []schema.Tenant{
		// Without a tolerance and a burst, a share holds no token.
		{Name: "acme", KeyDigests: []string{"a"}, RatePerSecond: 1, Priority: -1}, {Name: "base", KeyDigests: []string{"b"}, Priority: -1},
	}
	duty.step(time.Now(), DeclaredChanged{Declared: declared, AdoptedAt: time.Now()})
	replies := ring.New[Reply]("reply", 8)
	for i, digest := range []string{"a", "b", "a"} {
		duty.step(time.Now(), CallArrived{
			Call: placement.CallID(i + 1), Request: &Request{HostName: "a.example", Path: "/", Wait: time.Second, KeyDigest: digest}, Reply: replies,
		})
	}
	for range 2 {
		reply, found := replies.Poll()
		assert.Assert(t, found)
		refused, ok := reply.Outcome.(placement.NotRun)
		assert.Assert(t, ok && refused.Reason == placement.ReasonAllotment, "%#v", reply.Outcome)
	}
	assert.Assert(t, hasMetric(duty.metrics, `baobabdrum_quota_refusals_total{tenant="acme"} 2`))
	assert.Assert(t, !hasMetric(duty.metrics, `baobabdrum_quota_refusals_total{tenant="base"} 1`))
	assert.Assert(t, hasMetric(duty.metrics, `baobabdrum_calls_total{service="",outcome="not_run",reason="quota"} 2`))
}
