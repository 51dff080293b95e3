package host_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/host"
	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/operatorhttp"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
	"github.com/baobabdrum/baobabdrum/tablehttp"
)

// serveObjectsOnly serves a platform whose object store works and whose table is
// unavailable.
func serveObjectsOnly(t *testing.T, objects map[string]schema.Snapshot) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.URL.Path, tablehttp.PathObjects)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}
		_ = json.NewEncoder(w).Encode(objects[key]) // the host detects a truncated response
	}))
	t.Cleanup(server.Close)

	return server.Listener.Addr().String()
}

// settingsOf returns the settings of a host on free loopback addresses.
func settingsOf(t *testing.T, name, platformAddress string) schema.HostSettings {
	t.Helper()

	return schema.HostSettings{
		Name: name, DataCentre: "mu-north", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t),
		OperatorAddress: freeAddress(t), PlatformAddress: platformAddress, ConfiguredHosts: 2,
		CallTimeout: time.Second, AnswerKeep: 100 * time.Millisecond, OrderLifetime: time.Minute, OrderCapacity: 16,
		Senders: 4, DispatchRing: 64, QueueLength: 16, BodyLimit: 1024, DigestInterval: digestInterval,
		PlatformInterval: 100 * time.Millisecond,
	}
}

// runHost runs a host until the end of the test, which stops it gracefully.
func runHost(t *testing.T, settings schema.HostSettings) *jsonhttp.Client {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var (
		running conc.WaitGroup
		failure error
	)
	running.Go(func() { failure = host.New(settings, eventlog.New(logrus.NewEntry(logger))).Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		assert.NilError(t, failure, "planned stop")
	})

	return jsonhttp.NewClient(settings.OperatorAddress, "", 5*time.Second)
}

// usesVersion checks that the host has put a version of the configuration in
// force.
func usesVersion(client *jsonhttp.Client, version int) poll.Check {
	return func(poll.LogT) poll.Result {
		configuration, err := jsonhttp.Get[schema.Configuration](client, operatorhttp.PathConfiguration)
		if err != nil || configuration.Version != version {
			return poll.Continue("version %d, %v", configuration.Version, err)
		}

		return poll.Success()
	}
}

// A host that starts while the table is unavailable must use the newest valid
// snapshot and skip a damaged one, even if that claims a newer version. An
// override must then take effect although it can't be stored.
func TestStartWhileTheTableIsAway(t *testing.T) {
	snapshot := func(version int) schema.Snapshot {
		snapshot, err := table.EncodeSnapshot(schema.Configuration{
			Version: version, DataCentres: []schema.DataCentre{{Name: "mu-north", State: schema.DataCentreStateIn}},
		}, nil)
		assert.NilError(t, err)

		return snapshot
	}
	damaged := snapshot(8)
	damaged.Value = strings.Replace(damaged.Value, `"version":8`, `"version":9`, 1)
	objects := map[string]schema.Snapshot{
		table.SnapshotKey(5): snapshot(5), table.SnapshotKey(6): snapshot(6), table.SnapshotKey(8): damaged,
	}
	first := settingsOf(t, "host-1", serveObjectsOnly(t, objects))
	client := runHost(t, first)
	poll.WaitOn(t, usesVersion(client, 6), poll.WithTimeout(15*time.Second))

	change := schema.DataCentre{Name: "mu-north", State: schema.DataCentreStateOut}
	result, err := jsonhttp.Post[schema.DataCentre, schema.ChangeResult](client, operatorhttp.PathDataCentre, change)
	assert.NilError(t, err)
	assert.Equal(t, result.State, "in_force_not_yet_kept")
	dump, err := jsonhttp.Get[schema.Dump](client, operatorhttp.PathDump)
	assert.NilError(t, err)
	assert.Equal(t, len(dump.Overrides), 1)
	assert.Equal(t, dump.Overrides[0].State, schema.DataCentreStateOut)
}
