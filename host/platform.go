package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
)

const (
	// restoreDelay is how long a host without a configuration waits to get one
	// from a peer before it reads the object store.
	restoreDelay = 2 * time.Second
	// snapshotDelay is multiplied by the number of hosts to give the longest
	// delay before a host checks that the configuration in force has a snapshot.
	snapshotDelay = 100 * time.Millisecond
	// circuitCheckInterval is the time between checks whether an open circuit
	// allows a request again.
	circuitCheckInterval = 100 * time.Millisecond
)

// platformReader polls the platform's table and host list for one host.
type platformReader struct {
	host            *Host
	circuit         *table.Circuit
	random          *rand.Rand
	started         time.Time
	list            schema.HostList
	snapshotVersion int
	snapshotAt      time.Time
	pendingSnapshot int
}

// runPlatform polls the configuration and the list of hosts. The interval grows
// with the number of hosts.
func (h *Host) runPlatform(ctx context.Context) error {
	r := &platformReader{
		host:    h,
		circuit: table.NewCircuit(h.seed),
		random:  rand.New(rand.NewPCG(h.seed, 3)), //nolint:gosec // jitter is no secret
		started: time.Now(),
		list:    schema.HostList{Hosts: []schema.ListedHost{}},
	}
	for {
		wait := circuitCheckInterval
		if r.circuit.Allow(time.Now()) {
			if err := r.read(ctx); err != nil {
				return err
			}
			wait = table.ReadInterval(h.Settings.PlatformInterval, len(r.list.Hosts), r.random)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// read polls the platform once. An unresponsive platform opens the circuit and
// has no other effect on the host.
func (r *platformReader) read(ctx context.Context) error {
	failure, err := r.readTable(ctx)
	if err != nil {
		return err
	}
	if failure == nil {
		r.circuit.Succeeded()

		return nil
	}
	r.circuit.Failed(time.Now())
	r.host.Log.Event(eventlog.Warning, "platform_unavailable", failure.Error(), eventlog.Text("circuit", string(r.circuit.State)))

	return r.restore(ctx)
}

// readTable reads the list of hosts and the version of the configuration, and
// the configuration itself only if it is newer than the one in force. It
// returns the platform's failure, and an error if the duty has to end.
func (r *platformReader) readTable(ctx context.Context) (failure, err error) {
	requestedAt := time.Now()
	list, failure := r.host.platform.ReadHosts()
	if failure != nil {
		return failure, nil
	}
	r.list = list
	row, failure := r.host.platform.ReadVersion(table.KeyConfiguration)
	if failure != nil {
		return failure, nil
	}
	if err := r.host.peers.Put(ctx, peerEvent{peer.ListRead{List: list, Asked: requestedAt}}); err != nil {
		return nil, err
	}
	inForce := r.host.queryConfigurationState(ctx).Configuration
	if row.Version <= inForce.Version {
		return r.ensureSnapshot(inForce), nil
	}
	if row, failure = r.host.platform.Read(table.KeyConfiguration); failure != nil {
		return failure, nil
	}
	configuration, failure := table.Decode(row)
	if failure != nil {
		return failure, nil
	}

	return nil, r.adopt(ctx, configuration, "platform")
}

// adopt sends a configuration to the configuration duty.
func (r *platformReader) adopt(ctx context.Context, configuration schema.Configuration, source string) error {
	read := operator.ConfigurationRead{Configuration: configuration, Source: source}

	return r.host.configurations.Put(ctx, configurationEvent{read})
}

// ensureSnapshot checks, after a random delay, that the object store contains
// the configuration in force, and writes it if not. The first host to check
// thus writes the snapshot for all hosts.
func (r *platformReader) ensureSnapshot(inForce schema.Configuration) error {
	if inForce.Version == r.snapshotVersion {
		return nil
	}
	now := time.Now()
	if inForce.Version != r.pendingSnapshot {
		maxDelay := snapshotDelay * time.Duration(len(r.list.Hosts)+1)
		r.pendingSnapshot, r.snapshotAt = inForce.Version, now.Add(time.Duration(r.random.Int64N(int64(maxDelay))))
	}
	if now.Before(r.snapshotAt) {
		return nil
	}
	key := table.SnapshotKey(inForce.Version)
	existing, err := r.host.platform.ReadObject(key)
	if err != nil {
		return err
	}
	if stored, err := table.DecodeSnapshot(existing); err != nil || stored.Version < inForce.Version {
		snapshot, err := table.EncodeSnapshot(inForce, r.list.Hosts)
		if err != nil {
			return err
		}
		if err := r.host.platform.WriteObject(key, snapshot); err != nil {
			return err
		}
	}
	r.snapshotVersion = inForce.Version

	return nil
}

// restore reads the configuration from the object store if the host has none
// and the table is unavailable. The hosts in the snapshot become seed peers.
func (r *platformReader) restore(ctx context.Context) error {
	if time.Since(r.started) < restoreDelay || r.host.queryConfigurationState(ctx).Configuration.Version > 0 {
		return nil
	}
	for _, key := range table.SnapshotKeys() {
		snapshot, err := r.host.platform.ReadObject(key)
		if err != nil {
			r.host.Log.Event(eventlog.Warning, "snapshot_unavailable", err.Error())

			continue
		}
		configuration, err := table.DecodeSnapshot(snapshot)
		if err != nil {
			r.host.Log.Event(eventlog.Error, "snapshot_invalid", err.Error())

			continue
		}
		if err := r.host.peers.Put(ctx, peerEvent{peer.SeedsRead{Hosts: snapshot.Hosts}}); err != nil {
			return err
		}
		if err := r.adopt(ctx, configuration, "object store"); err != nil {
			return err
		}
	}

	return nil
}
