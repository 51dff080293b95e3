package dispatch_test

import (
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

func TestTargetsShareTheConnections(t *testing.T) {
	tests := map[string]struct {
		server schema.BackendServer
		hosts  int
		want   dispatch.Target
		slots  int
	}{
		"as many as slots": {server: schema.BackendServer{Slots: 4, Connections: 240}, hosts: 14, want: dispatch.Target{Connections: 17, Preconnect: 4}, slots: 4},
		"fewer than slots": {server: schema.BackendServer{Slots: 4, Connections: 28}, hosts: 14, want: dispatch.Target{Connections: 2, Preconnect: 2}, slots: 2},
		"fewer than hosts": {server: schema.BackendServer{Slots: 4, Connections: 5}, hosts: 14, want: dispatch.Target{Connections: 1, Preconnect: 1}, slots: 1},
		"leaving":          {server: schema.BackendServer{Slots: 4, Connections: 240, Leaving: true}, hosts: 14, want: dispatch.Target{Connections: 17}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			duty := dispatch.New(
				ring.New[dispatch.Input]("dispatch", 1), ring.New[*dispatch.Attempt]("senders", 1),
				ring.New[dispatch.Probe]("probers", 1), caller.NewRouter("host-1", time.Second),
				backend.NewPool(backend.Options{QueueLength: 1, Hosts: test.hosts, Seed: 1}), eventlog.New(logrus.NewEntry(logrus.New())),
			)
			duty.ConfiguredHosts, duty.Targets = test.hosts, ring.New[[]dispatch.Target]("opener", 1)
			test.server.Service, test.server.DataCentre, test.server.Address = "catalogue", "mu-north", "127.0.0.1:1"
			other := test.server
			other.Address, other.Leaving = "127.0.0.1:2", false
			now := time.Now()
			hosts := []schema.Host{{Name: "host-1", DataCentre: "mu-north", State: schema.HostStateLive}}
			duty.Step(now, dispatch.Route{Routes: caller.NewRoutes("host-1", schema.Configuration{
				Version:        1,
				Services:       []schema.Service{{Name: "catalogue"}},
				DataCentres:    []schema.DataCentre{{Name: "mu-north", State: schema.DataCentreStateIn}},
				BackendServers: []schema.BackendServer{test.server, other},
			}, hosts, nil)})
			targets, ok := duty.Targets.Poll()
			assert.Assert(t, ok)
			test.want.Address = test.server.Address
			assert.DeepEqual(t, targets[0], test.want)
			if test.slots == 0 {
				return
			}
			dump := ring.New[[]schema.CellDump]("dump", 1)
			duty.Step(now, dispatch.Dump{Reply: dump})
			cells, _ := dump.Poll()
			assert.Equal(t, cells[0].BackendServers[0].Slots, test.slots)
		})
	}
}
