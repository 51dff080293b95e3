package edge

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tenant"
)

// newLoggedCalls returns a calls duty that writes to a log.
func newLoggedCalls(log *eventlog.Log) *callsDuty {
	return &callsDuty{
		placer: placement.New(placement.Options{Host: "h", DataCentre: "north"}), attempts: ring.New[*Attempt]("senders", 8),
		probes: ring.New[placement.Probe]("probers", 64), control: ring.New[ControlInput]("control", 8), log: log, metrics: NewMetrics(),
		confirmation: &confirmation{}, calls: map[placement.CallID]*openCall{}, inFlight: map[placement.AttemptID]*Attempt{},
	}
}

// Guards against a 404 or 401 in the log that does not tell which call was refused and how
// old the declaration was, and against a key in its line.
func TestRefusedCallsAreLoggedWithTheDeclaration(t *testing.T) {
	now := time.Unix(1000, 0)
	keyed := declaredService(3, "a")
	keyed.Declaration.Tenants = []schema.Tenant{{Name: "acme", KeyDigests: []string{tenant.Digest([]byte("other"))}}}
	digest := tenant.Digest([]byte(secretKey))
	long := "/" + strings.Repeat("p", 2*maxLoggedBytes)
	tests := map[string]struct {
		declared schema.Declared
		hostName string
		path     string
		line     []string
		without  []string
	}{
		"no route": {declared: declaredService(3, "a"), hostName: "b.example", path: "/x/1", line: []string{
			"outcome=no_route", "version=3", "host_name=b.example", "path=/x/1", "since_read=250ms", "adopted=2s", "unconfirmed=300ms", "source=peer",
		}},
		"long host name and path": {declared: declaredService(3, "a"), hostName: strings.Repeat("h", 2*maxLoggedBytes), path: long, line: []string{
			"path=" + long[:maxLoggedBytes] + " ", "host_name=" + strings.Repeat("h", maxLoggedBytes) + " ",
		}},
		"unknown key": {declared: keyed, hostName: "a.example", path: "/x/1", line: []string{"outcome=unauthorised", "reason=unknown_key", "path=/x/1", "adopted=2s"}},
		"sent":        {declared: declaredService(3, "a"), hostName: "a.example", path: "/x/1", line: []string{"event=call_sent"}, without: []string{"path=", "adopted="}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log, written := newBufferedLog()
			duty := newLoggedCalls(log)
			duty.step(now, DeclaredChanged{Declared: test.declared, AdoptedAt: now.Add(-2 * time.Second), Source: "peer"})
			registered := test.declared
			registered.RegistrationsAt.Version++
			duty.step(now, DeclaredChanged{Declared: registered, AdoptedAt: now, Source: "store"})
			duty.confirmation.record(now.Add(-300 * time.Millisecond))
			duty.step(now, PlacementEvent{Event: placement.CurrencyChanged{Current: true, ConfirmedAt: now, Until: now.Add(time.Minute)}})
			duty.step(now, CallArrived{Call: 1, Reply: ring.New[Reply]("reply", 1), Request: &Request{
				HostName: test.hostName, Path: test.path, KeyDigest: digest, Wait: time.Second, Deadline: now.Add(750 * time.Millisecond),
				Request: dispatch.Request{Target: test.path + "?key=" + secretKey, Headers: []dispatch.Header{{Name: "Authorization", Value: secretKey}}},
			}})
			lines := loggedBy(t, log, written)
			for _, want := range test.line {
				assert.Assert(t, strings.Contains(lines, want), "%s in %s", want, lines)
			}
			for _, unwanted := range append(test.without, secretKey, digest) {
				assert.Assert(t, !strings.Contains(lines, unwanted), "%s in %s", unwanted, lines)
			}
		})
	}
}

// Guards against a 4xx of a backend server that can't be told from one that something on
// the way made up.
func TestForwardedFailuresAreLoggedWithTheirSignature(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		status int
		signed bool
		line   string
	}{
		"signed failure":   {status: 404, signed: true, line: "signed=true"},
		"unsigned failure": {status: 404, line: "signed=false"},
		"unsigned move":    {status: 300, line: "signed=false"},
		"success":          {status: 200, signed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log, written := newBufferedLog()
			duty := newLoggedCalls(log)
			duty.step(now, DeclaredChanged{Declared: declaredService(1, "a"), AdoptedAt: now})
			duty.step(now, PlacementEvent{Event: placement.CurrencyChanged{Current: true, ConfirmedAt: now, Until: now.Add(time.Minute)}})
			duty.step(now, CallArrived{Call: 1, Reply: ring.New[Reply]("reply", 1), Request: &Request{HostName: "a.example", Path: "/", Wait: time.Second}})
			attempt, sent := duty.attempts.Poll()
			assert.Assert(t, sent)
			duty.step(now, AttemptEnded{Attempt: attempt, Decoded: DecodedAnswer{
				Result: placement.Whole{Status: test.status}, Answer: &dispatch.Answer{Status: test.status}, Signed: test.signed,
			}})
			lines := loggedBy(t, log, written)
			assert.Assert(t, strings.Contains(lines, "event=call_ended"), lines)
			assert.Equal(t, strings.Contains(lines, "signed="), test.line != "", lines)
			assert.Assert(t, strings.Contains(lines, test.line), lines)
		})
	}
}

// Guards against a part of a declaration that is lost and leaves no trace beside the
// version.
func TestDeclaredChangesAreLoggedWithTheirSize(t *testing.T) {
	now := time.Unix(1000, 0)
	log, written := newBufferedLog()
	duty := &controlDuty{
		replica: declared.NewReplica(declared.DefaultBound), directory: directory.New(schema.Beacon{Name: "a", DataCentre: "north", PeerAddress: "a:2"}),
		calls: ring.New[Input]("calls", 2), changes: ring.New[Input]("changes", 8), beacons: ring.New[beacon.Datagram]("beacons", 8),
		asks: ring.New[directory.AskMembers]("asks", 2), storeMembers: ring.New[directory.Action]("store_members", 2),
		orders: ring.New[declared.Read]("orders", 1), registrations: ring.New[declared.Read]("registrations", 1), fetches: ring.New[declared.Fetch]("fetches", 1),
		log: log, metrics: NewMetrics(), limits: newCallerLimits(), confirmation: &confirmation{},
	}
	declaration := declaredService(4, "a").Declaration
	declaration.Tenants = []schema.Tenant{{Name: "acme", KeyDigests: []string{"digest-1", "digest-2"}}, {Name: "base", KeyDigests: []string{"digest-3"}}, {Name: "none"}}
	assert.NilError(t, duty.step(t.Context(), now, DeclaredEvent{Event: declared.RegistrationsRead{At: storeVersion(1), Full: true}}))
	assert.NilError(t, duty.step(t.Context(), now, DeclaredEvent{Event: declared.OrdersRead{At: storeVersion(1), Full: true, Declarations: []schema.Declaration{declaration}}}))
	var source string
	for change, found := duty.changes.Poll(); found; change, found = duty.changes.Poll() {
		if changed, ok := change.(DeclaredChanged); ok {
			source = changed.Source
		}
	}
	assert.Equal(t, source, "store")
	assert.Equal(t, duty.confirmation.age(now.Add(time.Second)), time.Second)
	lines := loggedBy(t, log, written)
	for _, want := range []string{"version=4", "routes=1", "tenants=3", "keys=3"} {
		assert.Assert(t, strings.Contains(lines, want), "%s in %s", want, lines)
	}
	for _, digest := range declaration.Tenants[0].KeyDigests {
		assert.Assert(t, !strings.Contains(lines, digest), lines)
	}
}

// Guards against refused calls that a late host explains by nothing but their version.
func TestRefusalsAreComparedWithOtherDeclarations(t *testing.T) {
	now := time.Unix(1000, 0)
	log, written := newBufferedLog()
	duty := newLoggedCalls(log)
	other := declaredService(2, "a")
	other.Declaration.Routes[0].HostName = "b.example"
	arrived := func(call placement.CallID, hostName string) {
		duty.step(now, CallArrived{Call: call, Reply: ring.New[Reply]("reply", 1), Request: &Request{HostName: hostName, Path: "/", Wait: time.Second, Deadline: now.Add(time.Second)}})
	}
	duty.step(now, DeclaredChanged{Declared: declaredService(1, "a"), AdoptedAt: now})
	duty.step(now, PlacementEvent{Event: placement.CurrencyChanged{Current: true, ConfirmedAt: now, Until: now.Add(time.Minute)}})
	arrived(1, "b.example")
	now = now.Add(200 * time.Millisecond)
	duty.step(now, DeclaredChanged{Declared: other, AdoptedAt: now})
	now = now.Add(100 * time.Millisecond)
	arrived(2, "a.example")
	lines := loggedBy(t, log, written)
	for _, want := range []string{
		"event=refusals_outdated", "level=warning", "no_route=1", "unknown_key=0", "newest=200ms", "oldest=200ms", "version=2",
		"withdrawn=false", "withdrawn=true withdrawn_for=100ms", "routes=1", "keys=0",
	} {
		assert.Assert(t, strings.Contains(lines, want), "%s in %s", want, lines)
	}
	assert.Assert(t, hasMetric(duty.metrics, `baobabdrum_outdated_refusals_total{reason="no_route"} 1`))
}

// BenchmarkRefusedCalls measures a call that no route matches, with its line in the log.
func BenchmarkRefusedCalls(b *testing.B) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := eventlog.New(logrus.NewEntry(logger))
	duty := newLoggedCalls(log)
	now := time.Now()
	duty.step(now, DeclaredChanged{Declared: declaredService(1, "a"), AdoptedAt: now})
	duty.step(now, PlacementEvent{Event: placement.CurrencyChanged{Current: true, ConfirmedAt: now, Until: now.Add(time.Minute)}})
	request := &Request{HostName: "b.example", Path: "/a/b/c", Wait: time.Second, Deadline: now.Add(time.Second)}
	ended, cancel := context.WithCancel(b.Context())
	cancel()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		duty.step(now, CallArrived{Call: placement.CallID(i + 1), Request: request, Reply: ring.New[Reply]("reply", 1)})
		_ = log.Run(ended) // writes the line and ends
	}
}
