package edge

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// controlTickInterval is the time between ticks of a serving host, half of that between
	// its beacons to the others that serve.
	controlTickInterval = 50 * time.Millisecond
	// controlIdleTickInterval is the time between ticks of any other host, which hears of
	// news and losses at once.
	controlIdleTickInterval = 200 * time.Millisecond
	// freezeThreshold is the gap between ticks after which a host that stood still
	// refuses to serve until it has news.
	freezeThreshold = 2 * time.Second
	// maxDeclaredAge bounds the age that a beacon states for what was never confirmed.
	maxDeclaredAge = time.Hour
)

// controlDuty owns what is declared and which hosts serve.
type controlDuty struct {
	replica       *declared.Replica
	directory     *directory.Directory
	inputs        *ring.Ring[ControlInput]
	calls         *ring.Ring[Input]
	orders        *ring.Ring[declared.Read]
	registrations *ring.Ring[declared.Read]
	fetches       *ring.Ring[declared.Fetch]
	beacons       *ring.Ring[beacon.Datagram]
	log           *eventlog.Log
	metrics       *Metrics

	loads      []schema.ServerLoad
	sequence   int
	serving    bool
	readsStore bool
	stopping   bool
	lastTickAt time.Time
	resumedAt  time.Time
}

// run takes inputs until the context ends.
func (d *controlDuty) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case input := <-d.inputs.Items():
			if err := d.step(ctx, time.Now(), input); err != nil {
				return err
			}
		case <-timer.C:
			if err := d.tick(ctx, time.Now()); err != nil {
				return err
			}
			timer.Reset(d.interval())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// interval returns the time until the next tick.
func (d *controlDuty) interval() time.Duration {
	if d.serving {
		return controlTickInterval
	}

	return controlIdleTickInterval
}

// tick carries out what the passing of time brings.
func (d *controlDuty) tick(ctx context.Context, now time.Time) error {
	if !d.lastTickAt.IsZero() && now.Sub(d.lastTickAt) > freezeThreshold {
		d.resumedAt = now
		d.log.Event(eventlog.Warning, "host_frozen", "this host stood still", eventlog.Duration("for", now.Sub(d.lastTickAt)))
	}
	d.lastTickAt = now
	if err := d.stepDeclared(ctx, now, declared.Ticked{}); err != nil {
		return err
	}

	if reads := d.replica.Reads(now); reads != d.readsStore {
		d.readsStore = reads
		if err := d.stepDirectory(ctx, now, directory.ReadsChanged{}); err != nil {
			return err
		}
	}

	return d.stepDirectory(ctx, now, directory.ReadyChanged{Ready: d.ready()})
}

// ready reports whether this host serves calls.
func (d *controlDuty) ready() bool {
	confirmed := d.resumedAt.IsZero() || d.replica.ConfirmedAt().After(d.resumedAt)

	return d.replica.Known() && !d.stopping && confirmed
}

// step carries out one input.
func (d *controlDuty) step(ctx context.Context, now time.Time, input ControlInput) error {
	switch input := input.(type) {
	case DeclaredEvent:
		return d.stepDeclared(ctx, now, input.Event)
	case BeaconArrived:
		return d.handleBeacon(ctx, now, input.Beacon)
	case MembersRead:
		return d.stepDirectory(ctx, now, directory.AddressesLearnt{Addresses: input.Addresses})
	case LoadsReported:
		d.loads = input.Loads

		return d.stepDirectory(ctx, now, directory.CallsCounted{Calls: input.Calls})
	case AddressesQuery:
		list, keep := d.directory.Answer(input.DataCentre)
		_ = input.Reply.Offer(Addresses{List: list, Keep: keep}) // the ring has room by contract
	case ReadyQuery:
		_ = input.Reply.Offer(d.ready()) // as above
	case DeclaredQuery:
		_ = input.Reply.Offer(d.replica.Answer(input.Request)) // as above
	case Stopping:
		d.stopping = true

		return d.stepDirectory(ctx, now, directory.ReadyChanged{Ready: false})
	}

	return nil
}

// handleBeacon adopts another host's beacon.
func (d *controlDuty) handleBeacon(ctx context.Context, now time.Time, received schema.Beacon) error {
	if err := d.stepDirectory(ctx, now, directory.BeaconHeard{Beacon: received}); err != nil {
		return err
	}
	if received.Name == d.directory.Self.Name {
		return nil
	}
	if d.calls.Offer(PlacementEvent{Event: placement.LoadsHeard{Host: received.Name, Loads: received.Loads}}) != nil {
		d.metrics.Dropped("loads_heard")
	}

	return d.stepDeclared(ctx, now, declared.PeerStateHeard{
		Name: received.Name, Reads: received.Reads, Address: received.PeerAddress, Hash: received.DeclaredHash, OrdersAt: received.OrdersAt, RegistrationsAt: received.RegistrationsAt,
		Age: time.Duration(received.DeclaredAgeMs) * time.Millisecond,
	})
}

// stepDeclared lets the book react to an event and carries out what it wants.
func (d *controlDuty) stepDeclared(ctx context.Context, now time.Time, event declared.Event) error {
	for _, action := range d.replica.Step(now, event) {
		switch action := action.(type) {
		case declared.Read:
			d.requestRead(action)
		case declared.Fetch:
			if d.fetches.Offer(action) != nil {
				d.metrics.Dropped("fetches")
			}
		case declared.Changed:
			d.logDeclared(action.Declared)
			if err := d.calls.Put(ctx, declaredChanged(action.Declared)); err != nil {
				return err
			}
			if err := d.announceDeclared(ctx, now, event); err != nil {
				return err
			}
		case declared.StoreLost:
			d.log.Event(eventlog.Warning, "store_lost", "the store does not answer")
		case declared.StoreRegained:
			d.log.Event(eventlog.Info, "store_regained", "the store answers again", eventlog.Duration("away", action.Away))
		}
	}

	return nil
}

// announceDeclared tells the other hosts at once what this host has read. What another one
// told is left to that one.
func (d *controlDuty) announceDeclared(ctx context.Context, now time.Time, event declared.Event) error {
	if _, fromPeer := event.(declared.PeerAnswered); fromPeer && !d.serving {
		return nil
	}

	return d.stepDirectory(ctx, now, directory.UpdateArrived{})
}

// requestRead gives a read to the duty of its table.
func (d *controlDuty) requestRead(action declared.Read) {
	target := d.registrations
	if action.Table == declared.Orders {
		target = d.orders
	}
	if target.Offer(action) != nil {
		d.metrics.Dropped("reads")
	}
}

// logDeclared logs what is in force now.
func (d *controlDuty) logDeclared(inForce schema.Declared) {
	draining := 0
	for _, registration := range inForce.Registrations {
		if registration.Draining {
			draining++
		}
	}
	d.metrics.Declared(inForce.Declaration.Version, len(inForce.Registrations))
	d.log.Event(eventlog.Info, "declared_changed", "something else is in force",
		eventlog.Integer("version", inForce.Declaration.Version), eventlog.Integer("orders_at", inForce.OrdersAt),
		eventlog.Integer("evacuated", len(inForce.Evacuated)), eventlog.Integer("backend_servers", len(inForce.Registrations)),
		eventlog.Integer("draining", draining), eventlog.Integer("registrations_at", inForce.RegistrationsAt))
}

// stepDirectory lets the directory react to an event and carries out what it wants.
func (d *controlDuty) stepDirectory(ctx context.Context, now time.Time, event directory.Event) error {
	for _, action := range d.directory.Step(now, event) {
		switch action := action.(type) {
		case directory.SendBeacon:
			d.sendBeacon(now, action)
		case directory.ServingChanged:
			if err := d.publishServing(ctx, now, action); err != nil {
				return err
			}
		case directory.PeerLost:
			d.log.Event(eventlog.Warning, "host_lost", "another host is silent", eventlog.Text("host", action.Name), eventlog.Duration("silent", action.Silent))
		case directory.PeerFound:
			d.log.Event(eventlog.Info, "host_found", "another host is heard", eventlog.Text("host", action.Name))
		}
	}

	return nil
}

// sendBeacon gives a beacon to the duty that sends them.
func (d *controlDuty) sendBeacon(now time.Time, action directory.SendBeacon) {
	d.sequence++
	message := d.directory.Self
	message.Sequence = d.sequence
	if action.Loads {
		message.Loads = d.loads
	}
	message.DeclaredHash, message.OrdersAt, message.RegistrationsAt = d.replica.Hash, d.replica.Declared.OrdersAt, d.replica.Declared.RegistrationsAt
	message.Reads, message.Lost = d.replica.Reads(now), d.directory.Lost(now)
	message.DeclaredAgeMs = int(min(now.Sub(d.replica.ConfirmedAt()), maxDeclaredAge).Milliseconds())
	if d.beacons.Offer(beacon.Datagram{Beacon: message, Addresses: action.Addresses}) != nil {
		d.metrics.Dropped("beacons")
	}
}

// publishServing tells the other duties which hosts serve.
func (d *controlDuty) publishServing(ctx context.Context, now time.Time, action directory.ServingChanged) error {
	d.serving = action.Self
	peers := placement.Peers{Hosts: action.Hosts}
	names := ""
	for _, serving := range action.Serving {
		peers.Serving = append(peers.Serving, placement.Peer{Name: serving.Name, DataCentre: serving.DataCentre})
		names += serving.Name + " "
	}
	d.log.Event(eventlog.Info, "serving_changed", "callers are told other hosts",
		eventlog.Text("hosts", names), eventlog.Flag("self", action.Self), eventlog.Integer("known_hosts", action.Hosts))
	if err := d.calls.Put(ctx, PlacementEvent{Event: placement.PeersChanged{Peers: peers}}); err != nil {
		return err
	}
	if err := d.calls.Put(ctx, ServingChanged{Serving: action.Self}); err != nil {
		return err
	}

	return d.stepDeclared(ctx, now, declared.RankChanged{Ahead: action.Ahead})
}
