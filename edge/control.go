package edge

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// controlTickInterval is the time between ticks of a serving host: half the
	// interval of its beacons to other serving hosts.
	controlTickInterval = 50 * time.Millisecond
	// controlIdleTickInterval is the time between ticks of any other host. It can
	// be longer because beacons about changes and lost hosts reach such a host at
	// once.
	controlIdleTickInterval = 200 * time.Millisecond
	// startPeriod is how long a host ticks as often as a serving host after its start,
	// in which it hears from the others for the first time.
	startPeriod = 2 * time.Second
	// freezeThreshold is the gap between ticks after which the host counts as
	// frozen and is not ready until its declared state has been confirmed again.
	freezeThreshold = 2 * time.Second
	// maxDeclaredAge limits the age that a beacon states for a declared state that
	// was never confirmed.
	maxDeclaredAge = time.Hour
)

// controlDuty owns the declared state and the view of which hosts serve.
type controlDuty struct {
	replica       *declared.Replica
	directory     *directory.Directory
	inputs        *ring.Ring[ControlInput]
	calls         *ring.Ring[Input]
	changes       *ring.Ring[Input]
	orders        *ring.Ring[declared.Read]
	registrations *ring.Ring[declared.Read]
	fetches       *ring.Ring[declared.Fetch]
	beacons       *ring.Ring[beacon.Datagram]
	asks          *ring.Ring[directory.AskMembers]
	storeMembers  *ring.Ring[directory.Action]
	limits        *callerLimits
	confirmation  *confirmation
	wakeups       *wakeups
	log           *eventlog.Log
	metrics       *Metrics
	// steps measures each step, as the reads and the fronts wait for this duty.
	steps group.Step

	loads    []schema.ServerLoad
	leaving  []schema.LeavingServer
	rollouts []schema.RolloutReport
	// rolloutTurn is the index of the report with which the next beacon begins.
	rolloutTurn int
	shares      schema.ShareReport
	// sharesTurn counts the beacons with excerpts of share reports.
	sharesTurn int
	sequence   int
	serving    bool
	readsStore bool
	stopping   bool
	seeds      []string
	startedAt  time.Time
	lastTickAt time.Time
	resumedAt  time.Time
	// confirmSince is the time after which the calls duty needs the declared state to be
	// confirmed, or zero.
	confirmSince time.Time
	// propagation is how long a declaration counts as the newest one after the store
	// confirmed it.
	propagation time.Duration
	// outdatedAt and missedAt are the versions in force for which an outdated answer and a
	// lost history were logged.
	outdatedAt, missedAt [2]schema.StoreVersion
	// epoch is that of the store to which the directory has adapted.
	epoch int
	// currency is what the calls duty was last told about the declaration.
	currency placement.CurrencyChanged
}

// run handles inputs and ticks until the context ends.
func (d *controlDuty) run(ctx context.Context) error {
	if err := d.stepDirectory(ctx, time.Now(), directory.AddressesAdded{Addresses: d.seeds}); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case input := <-d.inputs.Items():
			d.steps.Begin()
			if err := d.step(ctx, time.Now(), input); err != nil {
				return err
			}
		case <-timer.C:
			d.steps.Begin()
			if err := d.tick(ctx, time.Now()); err != nil {
				return err
			}
			now := time.Now()
			interval := d.interval(now)
			d.wakeups.ticked(now, now.Add(interval))
			timer.Reset(interval)
		case <-ctx.Done():
			return ctx.Err()
		}
		d.steps.End()
	}
}

// interval returns the time until the next tick.
func (d *controlDuty) interval(now time.Time) time.Duration {
	if d.serving || d.replica.Unread() || now.Sub(d.startedAt) < startPeriod {
		return controlTickInterval
	}

	return controlIdleTickInterval
}

// tick detects a freeze of the process and advances the clocks of the replica
// and the directory.
func (d *controlDuty) tick(ctx context.Context, now time.Time) error {
	if !d.lastTickAt.IsZero() && now.Sub(d.lastTickAt) > freezeThreshold {
		d.resumedAt = now
		d.log.Event(eventlog.Warning, "host_frozen", "process was frozen; not ready until the declared state is confirmed", eventlog.Duration("for", now.Sub(d.lastTickAt)))
	}
	d.lastTickAt = now
	if err := d.stepDeclared(ctx, now, declared.Ticked{}); err != nil {
		return err
	}

	d.metrics.Confirmed(min(now.Sub(d.replica.ConfirmedAt()), maxDeclaredAge))
	if reads := d.replica.Reads(now); reads != d.readsStore {
		d.readsStore = reads
		d.log.Event(eventlog.Info, "reads_changed", "this host began or ceased to read the store with answers",
			eventlog.Flag("reads", reads), eventlog.Duration("unconfirmed", min(now.Sub(d.replica.ConfirmedAt()), maxDeclaredAge)))
		if err := d.stepDirectory(ctx, now, directory.ReadsChanged{}); err != nil {
			return err
		}
	}

	if err := d.stepDirectory(ctx, now, directory.ReadyChanged{Ready: d.ready(now)}); err != nil {
		return err
	}

	return d.stepDirectory(ctx, now, directory.Ticked{})
}

// ready reports whether this host can serve calls.
func (d *controlDuty) ready(now time.Time) bool {
	confirmed := d.resumedAt.IsZero() || d.replica.ConfirmedSince(d.resumedAt)

	return d.replica.HasState() && !d.stopping && confirmed && d.directory.Settled(now)
}

// step handles one input.
func (d *controlDuty) step(ctx context.Context, now time.Time, input ControlInput) error {
	switch input := input.(type) {
	case DeclaredEvent:
		return d.stepDeclared(ctx, now, input.Event)
	case BeaconArrived:
		return d.handleBeacon(ctx, now, input)
	case MembersRead:
		return d.stepDirectory(ctx, now, directory.AddressesAdded{Addresses: input.Addresses})
	case MembersAnswered:
		if !input.Answered {
			return d.stepDirectory(ctx, now, directory.AskFailed{})
		}

		return d.stepDirectory(ctx, now, directory.MembersAnswered{Answer: input.Answer})
	case MembersQuery:
		_ = input.Reply.Offer(d.directory.Members(input.Request)) // the sender of the query guarantees room
	case LoadsReported:
		d.loads, d.leaving, d.rollouts, d.shares = input.Loads, input.Leaving, input.Rollouts, input.Shares

		return d.stepDirectory(ctx, now, directory.CallsCounted{Calls: input.Calls, Crosses: input.Crosses})
	case AddressesQuery:
		list, ttl := d.directory.Answer(input.DataCentre)
		_ = input.Reply.Offer(Addresses{List: list, TTL: ttl}) // the sender of the query guarantees room
	case ReadyQuery:
		_ = input.Reply.Offer(d.ready(now)) // as above
	case DeclaredQuery:
		_ = input.Reply.Offer(d.replica.Answer(now, input.Request)) // as above
	case ConfirmationRequested:
		d.confirmSince = input.Since
	case Stopping:
		d.stopping = true

		return d.stepDirectory(ctx, now, directory.ReadyChanged{Ready: false})
	}

	return nil
}

// handleBeacon passes another host's beacon to the directory, its load reports
// to the calls duty and its declared versions to the replica.
func (d *controlDuty) handleBeacon(ctx context.Context, now time.Time, arrived BeaconArrived) error {
	received := arrived.Beacon
	if err := d.stepDirectory(ctx, now, directory.BeaconReceived{Beacon: received}); err != nil {
		return err
	}
	if received.Name == d.directory.Self.Name {
		return nil
	}
	loads := placement.LoadsReceived{Host: received.Name, Loads: received.Loads, Leaving: received.Leaving, Rollouts: received.Rollouts}
	if received.Shares != nil {
		loads.Shares = *received.Shares
	}
	if received.Reports && d.calls.Offer(PlacementEvent{Event: loads}) != nil {
		d.metrics.Dropped("loads_heard")
	}

	return d.stepDeclared(ctx, now, declared.PeerStateReceived{
		Name: received.Name, Reads: received.Reads, Address: received.PeerAddress, Hash: received.DeclaredHash,
		DeclaredVersion: received.DeclaredVersion, OrdersAt: received.OrdersAt, RegistrationsAt: received.RegistrationsAt,
		Age: time.Duration(received.DeclaredAgeMs) * time.Millisecond, ArrivedAt: arrived.ArrivedAt,
	})
}

// stepDeclared passes an event to the replica and carries out the resulting
// actions.
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
			d.logDeclared(event, action)
			d.applyLimits(action.Declared.Declaration.Limits)
			if err := d.changes.Put(ctx, DeclaredChanged{Declared: action.Declared, AdoptedAt: now, Source: sourceOf(event)}); err != nil {
				return err
			}
			if err := d.announceDeclared(ctx, now, event); err != nil {
				return err
			}
		case declared.ReadOutdated:
			d.logOutdated(action)
		case declared.HistoryMissed:
			d.logMissed(action)
		case declared.StoreRestored:
			if err := d.handleRestored(ctx, now, action); err != nil {
				return err
			}
		case declared.StoreLost:
			d.log.Event(eventlog.Warning, "store_lost", "store does not answer; the declared state in force stays")
		case declared.StoreRegained:
			d.log.Event(eventlog.Info, "store_regained", "store answers again", eventlog.Duration("away", action.Outage))
		}
	}

	d.confirmation.record(d.replica.OrdersConfirmedAt())
	if err := d.reportConfirmed(ctx, now); err != nil {
		return err
	}

	return d.publishCurrency(ctx, now)
}

// reportConfirmed tells the calls duty that the declared state has been confirmed, if it
// waits for that. Changes of the state were passed to it before.
func (d *controlDuty) reportConfirmed(ctx context.Context, now time.Time) error {
	if d.confirmSince.IsZero() || !d.replica.ConfirmedSince(d.confirmSince) {
		return nil
	}
	d.log.Event(eventlog.Info, "state_confirmed", "declared state confirmed after the process was held up; placing calls again",
		eventlog.Duration("after", now.Sub(d.confirmSince)))
	d.confirmSince = time.Time{}

	return d.changes.Put(ctx, PlacementEvent{Event: placement.StateConfirmed{}})
}

// announceDeclared has the directory send a beacon about a new declared state
// at once. A host that does not serve sends none for a state that it fetched
// from a peer, because that peer announces the state itself.
func (d *controlDuty) announceDeclared(ctx context.Context, now time.Time, event declared.Event) error {
	if _, fromPeer := event.(declared.PeerAnswered); fromPeer && !d.serving {
		return nil
	}

	return d.stepDirectory(ctx, now, directory.UpdateArrived{})
}

// requestRead passes a read to the duty that reads its table.
func (d *controlDuty) requestRead(action declared.Read) {
	target := d.registrations
	if action.Table == declared.Orders {
		target = d.orders
	}
	if target.Offer(action) != nil {
		d.metrics.Dropped("reads")
	}
}

// applyLimits puts declared limits on callers' requests in force.
func (d *controlDuty) applyLimits(declared schema.CallerLimits) {
	if d.limits.apply(declared) {
		d.log.Event(eventlog.Info, "caller_limits_changed", "new limits on callers' requests are in force",
			eventlog.Integer("header_bytes", d.limits.headerBytes()), eventlog.Integer("body_bytes", d.limits.bodyBytes()),
			eventlog.Duration("header_timeout", d.limits.timeouts().Header), eventlog.Duration("idle_timeout", d.limits.timeouts().Idle))
	}
}

// stepDirectory passes an event to the directory and carries out the resulting
// actions.
func (d *controlDuty) stepDirectory(ctx context.Context, now time.Time, event directory.Event) error {
	for _, action := range d.directory.Step(now, event) {
		switch action := action.(type) {
		case directory.SendBeacon:
			d.sendBeacon(now, action)
		case directory.ServingChanged:
			if err := d.publishServing(ctx, now, action); err != nil {
				return err
			}
		case directory.AskMembers:
			if d.asks.Offer(action) != nil {
				d.metrics.Dropped("asks")
			}
		case directory.JoinStore, directory.Register:
			if d.storeMembers.Offer(action) != nil {
				d.metrics.Dropped("store_members")
			}
		case directory.PeerLost:
			d.log.Event(eventlog.Warning, "host_lost", "host is silent or stopping; treating it as lost", eventlog.Text("host", action.Name), eventlog.Duration("silent", action.Silent))
		case directory.PeerFound:
			d.log.Event(eventlog.Info, "host_found", "beacon received from host", eventlog.Text("host", action.Name))
		}
	}

	return nil
}

// sendBeacon completes a beacon with the declared versions and load reports and
// passes it to the beacon sender.
func (d *controlDuty) sendBeacon(now time.Time, action directory.SendBeacon) {
	d.sequence++
	message := d.directory.Self
	message.Sequence = d.sequence
	if action.Loads {
		message.Reports, message.Loads, message.Leaving, message.Rollouts = true, d.loads, d.leaving, d.nextRollouts()
		shares := d.nextShares()
		message.Shares = &shares
	}
	inForce := d.replica.Declared
	message.DeclaredHash, message.DeclaredVersion = d.replica.Hash, inForce.Declaration.Version
	message.OrdersAt, message.RegistrationsAt = inForce.OrdersAt, inForce.RegistrationsAt
	message.Reads, message.Lost = d.replica.Reads(now), d.directory.Lost(now)
	message.DeclaredAgeMs = int(min(now.Sub(d.replica.CertainAt()), maxDeclaredAge).Milliseconds())
	if d.beacons.Offer(beacon.Datagram{Beacon: message, Addresses: action.Addresses}) != nil {
		d.metrics.Dropped("beacons")
	}
}

// publishServing passes the set of serving hosts to the calls duty and this
// host's rank to the replica.
func (d *controlDuty) publishServing(ctx context.Context, now time.Time, action directory.ServingChanged) error {
	d.serving = action.Self
	d.metrics.Sharers(action.Sharers)
	peers := placement.Peers{Hosts: action.Hosts, Sharers: action.Sharers}
	names := ""
	for _, serving := range action.Serving {
		peers.Serving = append(peers.Serving, placement.Peer{Name: serving.Name, DataCentre: serving.DataCentre})
		names += serving.Name + " "
	}
	d.log.Event(eventlog.Info, "serving_changed", "set of serving hosts changed",
		eventlog.Text("hosts", names), eventlog.Flag("self", action.Self), eventlog.Integer("known_hosts", action.Hosts), eventlog.Integer("sharers", action.Sharers))
	if err := d.changes.Put(ctx, PlacementEvent{Event: placement.PeersChanged{Peers: peers}}); err != nil {
		return err
	}
	if err := d.changes.Put(ctx, ServingChanged{Serving: action.Self}); err != nil {
		return err
	}

	return d.stepDeclared(ctx, now, declared.RankChanged{
		Ahead: action.Ahead, Hosts: action.Hosts, Share: float64(xxhash.Sum64String(d.directory.Self.Name)) / math.MaxUint64,
	})
}
