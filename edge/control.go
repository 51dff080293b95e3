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
	// controlTick is the time between ticks of a serving host, half of that between
	// its beacons to the others that serve.
	controlTick = 50 * time.Millisecond
	// controlIdleTick is the time between ticks of any other host, which hears of
	// news and losses at once.
	controlIdleTick = 200 * time.Millisecond
	// frozenAfter is the gap between ticks after which a host that stood still
	// refuses to serve until it has news.
	frozenAfter = 2 * time.Second
	// maxDeclaredAge bounds the age that a beacon states for what was never confirmed.
	maxDeclaredAge = time.Hour
)

// controlDuty owns what is declared and which hosts serve.
type controlDuty struct {
	book      *declared.Replica
	directory *directory.Directory
	inputs    *ring.Ring[ControlInput]
	calls     *ring.Ring[Input]
	orders    *ring.Ring[declared.Read]
	registry  *ring.Ring[declared.Read]
	fetches   *ring.Ring[declared.Fetch]
	beacons   *ring.Ring[beacon.Datagram]
	log       *eventlog.Log
	metrics   *Metrics

	loads     []schema.ServerLoad
	sequence  int
	serving   bool
	reads     bool
	stopping  bool
	tickedAt  time.Time
	resumedAt time.Time
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
		return controlTick
	}

	return controlIdleTick
}

// tick carries out what the passing of time brings.
func (d *controlDuty) tick(ctx context.Context, now time.Time) error {
	if !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > frozenAfter {
		d.resumedAt = now
		d.log.Event(eventlog.Warning, "host_frozen", "this host stood still", eventlog.Duration("for", now.Sub(d.tickedAt)))
	}
	d.tickedAt = now
	if err := d.stepDeclared(ctx, now, declared.Ticked{}); err != nil {
		return err
	}

	if reads := d.book.Reads(now); reads != d.reads {
		d.reads = reads
		if err := d.stepDirectory(ctx, now, directory.ReadsChanged{}); err != nil {
			return err
		}
	}

	return d.stepDirectory(ctx, now, directory.ReadyChanged{Ready: d.ready()})
}

// ready reports whether this host serves calls.
func (d *controlDuty) ready() bool {
	thawed := d.resumedAt.IsZero() || d.book.ConfirmedAt().After(d.resumedAt)

	return d.book.Known() && !d.stopping && thawed
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
		_ = input.Reply.Offer(d.book.Answer(input.Request)) // as above
	case Stopping:
		d.stopping = true

		return d.stepDirectory(ctx, now, directory.ReadyChanged{Ready: false})
	}

	return nil
}

// handleBeacon adopts another host's beacon.
func (d *controlDuty) handleBeacon(ctx context.Context, now time.Time, heard schema.Beacon) error {
	if err := d.stepDirectory(ctx, now, directory.BeaconHeard{Beacon: heard}); err != nil {
		return err
	}
	if heard.Name == d.directory.Self.Name {
		return nil
	}
	if d.calls.Offer(PlacementEvent{Event: placement.LoadsHeard{Host: heard.Name, Loads: heard.Loads}}) != nil {
		d.metrics.Dropped("loads_heard")
	}

	return d.stepDeclared(ctx, now, declared.PeerStateHeard{
		Name: heard.Name, Reads: heard.Reads, Address: heard.PeerAddress, Hash: heard.DeclaredHash, OrdersAt: heard.OrdersAt, RegistrationsAt: heard.RegistrationsAt,
		Age: time.Duration(heard.DeclaredAgeMs) * time.Millisecond,
	})
}

// stepDeclared lets the book react to an event and carries out what it wants.
func (d *controlDuty) stepDeclared(ctx context.Context, now time.Time, event declared.Event) error {
	for _, action := range d.book.Step(now, event) {
		switch action := action.(type) {
		case declared.Read:
			d.read(action)
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
	if _, told := event.(declared.PeerAnswered); told && !d.serving {
		return nil
	}

	return d.stepDirectory(ctx, now, directory.UpdateArrived{})
}

// read gives a read to the duty of its table.
func (d *controlDuty) read(action declared.Read) {
	target := d.registry
	if action.Table == declared.Orders {
		target = d.orders
	}
	if target.Offer(action) != nil {
		d.metrics.Dropped("reads")
	}
}

// logDeclared logs what is in force now.
func (d *controlDuty) logDeclared(in schema.Declared) {
	draining := 0
	for _, registration := range in.Registrations {
		if registration.Draining {
			draining++
		}
	}
	d.metrics.Declared(in.Declaration.Version, len(in.Registrations))
	d.log.Event(eventlog.Info, "declared_changed", "something else is in force",
		eventlog.Integer("version", in.Declaration.Version), eventlog.Integer("orders_at", in.OrdersAt),
		eventlog.Integer("evacuated", len(in.Evacuated)), eventlog.Integer("backend_servers", len(in.Registrations)),
		eventlog.Integer("draining", draining), eventlog.Integer("registrations_at", in.RegistrationsAt))
}

// stepDirectory lets the directory react to an event and carries out what it wants.
func (d *controlDuty) stepDirectory(ctx context.Context, now time.Time, event directory.Event) error {
	for _, action := range d.directory.Step(now, event) {
		switch action := action.(type) {
		case directory.SendBeacon:
			d.send(now, action)
		case directory.ServingChanged:
			if err := d.serve(ctx, now, action); err != nil {
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

// send gives a beacon to the duty that sends them.
func (d *controlDuty) send(now time.Time, action directory.SendBeacon) {
	d.sequence++
	told := d.directory.Self
	told.Sequence = d.sequence
	if action.Loads {
		told.Loads = d.loads
	}
	told.DeclaredHash, told.OrdersAt, told.RegistrationsAt = d.book.Hash, d.book.Declared.OrdersAt, d.book.Declared.RegistrationsAt
	told.Reads, told.Lost = d.book.Reads(now), d.directory.Lost(now)
	told.DeclaredAgeMs = int(min(now.Sub(d.book.ConfirmedAt()), maxDeclaredAge).Milliseconds())
	if d.beacons.Offer(beacon.Datagram{Beacon: told, Addresses: action.Addresses}) != nil {
		d.metrics.Dropped("beacons")
	}
}

// serve tells the other duties which hosts serve.
func (d *controlDuty) serve(ctx context.Context, now time.Time, action directory.ServingChanged) error {
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
