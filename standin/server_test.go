package standin_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
)

// start is the start time of the servers in these tests.
var start = time.UnixMilli(1_000_000)

// newServer returns a server with four slots and a fixed random seed.
func newServer(settings schema.BackendSettings) *standin.Server {
	settings.Slots = 4
	settings.ServiceTime = 5 * time.Millisecond

	return standin.NewServer(start, settings, rand.New(rand.NewPCG(1, 1))) //nolint:gosec // a simulation
}

func TestServerAdmits(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		settings schema.BackendSettings
		fault    schema.BackendFault
		at       time.Duration
		calls    int
		ran      int
		shed     int
		fellOver int
	}{
		"up to its slots":                       {calls: 6, ran: 4, shed: 2},
		"nothing while it sheds":                {fault: schema.BackendFault{Kind: "shed", ForMs: 100}, calls: 2, shed: 2},
		"nothing while it drains":               {fault: schema.BackendFault{Kind: "drain", ForMs: 100}, calls: 2, shed: 2},
		"again after a fault":                   {fault: schema.BackendFault{Kind: "shed", ForMs: 100}, at: 100 * time.Millisecond, calls: 2, ran: 2},
		"fewer calls than its slots while cold": {settings: schema.BackendSettings{ColdStart: time.Second}, calls: 3, ran: 3},
		"and is overloaded after a cold start":  {settings: schema.BackendSettings{ColdStart: time.Second}, calls: 4, ran: 4, fellOver: 1},
		"and is overloaded after turning cold":  {fault: schema.BackendFault{Kind: "cold", ForMs: 100}, calls: 4, ran: 4, fellOver: 1},
		"nothing while it restarts":             {fault: schema.BackendFault{Kind: "restart", ForMs: 100}, calls: 2},
		"all its slots once warmed up":          {settings: schema.BackendSettings{ColdStart: time.Second}, at: time.Second, calls: 4, ran: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newServer(test.settings)
			server.Inject(start, test.fault)
			for range test.calls {
				server.Admit(start.Add(test.at), schema.Run{})
			}
			record := server.Record(start)
			assert.Equal(t, record.Calls, test.ran)
			assert.Equal(t, record.Shed, test.shed)
			assert.Equal(t, record.FellOver, test.fellOver)
			assert.Equal(t, record.InFlight, test.ran)
		})
	}
}

func TestServerRestarts(t *testing.T) {
	t.Parallel()
	server := newServer(schema.BackendSettings{ColdStart: time.Second})
	server.Inject(start.Add(time.Minute), schema.BackendFault{Kind: "restart", ForMs: 100})
	for range 4 {
		server.Admit(start.Add(time.Minute+200*time.Millisecond), schema.Run{})
	}
	assert.Equal(t, server.Record(start).FellOver, 1)
	server = newServer(schema.BackendSettings{})
	admitted := server.Admit(start, schema.Run{})
	server.Inject(start, schema.BackendFault{Kind: "restart", ForMs: 100})
	assert.Assert(t, server.Failed(start.Add(time.Second), admitted))
}

func TestServerRecordsRuns(t *testing.T) {
	t.Parallel()
	server := newServer(schema.BackendSettings{})
	server.Admit(start, schema.Run{Order: "order-1", Path: "/item"})
	server.Admit(start.Add(50*time.Millisecond), schema.Run{Path: "/item"})
	server.Admit(start.Add(150*time.Millisecond), schema.Run{Order: "order-1", Path: "/item"})
	record := server.Record(start)
	assert.DeepEqual(t, record.Orders, []schema.Run{
		{Order: "order-1", AtMs: 1_000_000, Path: "/item"}, {Order: "order-1", AtMs: 1_000_150, Path: "/item"},
	})
	assert.DeepEqual(t, record.Intervals, []schema.CallInterval{{FromMs: 1_000_000, Calls: 2}, {FromMs: 1_000_100, Calls: 1}})
	assert.Equal(t, record.LastCallAtMs, 1_000_150)
}

func TestServerReportsLoad(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		fault schema.BackendFault
		after time.Duration
		want  schema.LoadReport
	}{
		"from the cache within the report lag": {after: 50 * time.Millisecond, want: schema.LoadReport{InFlight: 0, Slots: 4}},
		"afresh after the report lag":          {after: 100 * time.Millisecond, want: schema.LoadReport{InFlight: 1, Slots: 4}},
		"with the injected value during a lie": {
			fault: schema.BackendFault{Kind: "lie", ForMs: 1000, Value: 9}, after: 50 * time.Millisecond,
			want: schema.LoadReport{InFlight: 9, Slots: 4},
		},
		"as leaving while it drains": {
			fault: schema.BackendFault{Kind: "drain", ForMs: 1000}, after: 100 * time.Millisecond,
			want: schema.LoadReport{InFlight: 1, Slots: 4, Leaving: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newServer(schema.BackendSettings{ReportLag: 100 * time.Millisecond})
			server.Report(start)
			server.Admit(start, schema.Run{})
			server.Inject(start, test.fault)
			assert.DeepEqual(t, server.Report(start.Add(test.after)), test.want)
		})
	}
}

func TestServerLimitsConnections(t *testing.T) {
	t.Parallel()
	server := newServer(schema.BackendSettings{Connections: 1})
	assert.Assert(t, server.Connect())
	assert.Assert(t, !server.Connect())
	server.Disconnect()
	assert.Assert(t, server.Connect())
	assert.Equal(t, server.Record(start).ConnectionsRefused, 1)
	assert.Equal(t, server.Record(start).MostConnections, 1)
}
