package edge

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/memory"
	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// callsRingCapacity is the capacity of the ring of the calls duty: more than
	// all senders and callers of a host offer at once.
	callsRingCapacity = 4096
	// changesRingCapacity is the capacity of the ring of changes that the calls duty
	// takes before its other inputs.
	changesRingCapacity = 16
	// controlRingCapacity is the capacity of rings that carry no calls.
	controlRingCapacity = 512
	// storeMembersCapacity is the number of requests that a host makes to be known in
	// the store: one to register and one to join.
	storeMembersCapacity = 2
	// defaultMaxConnections is the largest number of connections to an address
	// that has no declared limit.
	defaultMaxConnections = 64
	// bodyMemoryShare is the share of the memory of the process for bodies in
	// flight. The rest is for all else and for bodies that the collector has not
	// freed yet.
	bodyMemoryShare = 0.33
	// defaultMemoryBytes is the memory of the process if the platform states none.
	defaultMemoryBytes = 256e6
	// maxPeerRequestBytes is the largest size in bytes of a request of another host,
	// which names hosts and versions.
	maxPeerRequestBytes = 16 << 10
	// perMille converts thousandths to a fraction.
	perMille = 1000
)

// Host is an entry host and owns the rings between its duties.
type Host struct {
	// Settings are the host's own settings.
	Settings schema.EdgeSettings
	// Site is the configuration that the platform gave at the start.
	Site Site
	// Adapter translates to and from the platform's wire format.
	Adapter Adapter
	// Log receives events.
	Log *eventlog.Log
	// Metrics are the metrics that the control address exposes.
	Metrics *Metrics

	started       time.Time
	inputs        *ring.Ring[Input]
	changes       *ring.Ring[Input]
	attempts      *ring.Ring[*Attempt]
	probes        *ring.Ring[placement.Probe]
	control       *ring.Ring[ControlInput]
	orders        *ring.Ring[declared.Read]
	registrations *ring.Ring[declared.Read]
	fetches       *ring.Ring[declared.Fetch]
	asks          *ring.Ring[directory.AskMembers]
	storeMembers  *ring.Ring[directory.Action]
	rollouts      *ring.Ring[placement.RecordRollout]
	beacons       *ring.Ring[beacon.Datagram]
	requests      *ring.Ring[peerrpc.Request]
	rejecting     *ring.Ring[*tcp.LingeringConn]
	budget        *memory.Budget
	limits        *callerLimits
	confirmation  *confirmation
	front         *callerFront
	queries       *dutyClient
	grace         atomic.Int64
	wakeups       wakeups
	// reading measures the read of each table in progress.
	reading [2]group.Step
}

// New returns a host that is not running. Run starts it.
func New(settings schema.EdgeSettings, site Site, adapter Adapter, log *eventlog.Log) *Host {
	h := &Host{
		Settings:      settings,
		Site:          site,
		Adapter:       adapter,
		Log:           log,
		Metrics:       NewMetrics(),
		started:       time.Now(),
		inputs:        ring.New[Input]("calls", callsRingCapacity),
		changes:       ring.New[Input]("changes", changesRingCapacity),
		attempts:      ring.New[*Attempt]("senders", senderCount(settings, site)),
		probes:        ring.New[placement.Probe]("probers", controlRingCapacity),
		control:       ring.New[ControlInput]("control", controlRingCapacity),
		orders:        ring.New[declared.Read]("orders", 1),
		registrations: ring.New[declared.Read]("registrations", 1),
		fetches:       ring.New[declared.Fetch]("fetches", 1),
		asks:          ring.New[directory.AskMembers]("asks", 1),
		storeMembers:  ring.New[directory.Action]("store_members", storeMembersCapacity),
		rollouts:      ring.New[placement.RecordRollout]("rollouts", rolloutRingCapacity),
		beacons:       ring.New[beacon.Datagram]("beacons", controlRingCapacity),
		requests:      ring.New[peerrpc.Request]("peer_requests", controlRingCapacity),
		rejecting:     ring.New[*tcp.LingeringConn]("rejecting", tcp.Rejecters),
	}
	h.budget = memory.NewBudget(int(bodyMemoryShare * float64(cmp.Or(site.MemoryBytes, defaultMemoryBytes))))
	h.limits, h.confirmation = newCallerLimits(), &confirmation{}
	h.front = newCallerFront(adapter, h.inputs, h.Log, h.Metrics, h.budget, h.limits, h.newConnections("caller", callerSocketShare, h.limits, h.rejecting))
	h.queries = &dutyClient{control: h.control, calls: h.inputs}
	h.grace.Store(int64(site.Grace))
	h.Metrics.Gauge("baobabdrum_body_bytes", func() float64 { return float64(h.budget.Used()) })
	for table, label := range tableLabels {
		h.Metrics.Gauge(fmt.Sprintf(`baobabdrum_store_read_in_progress_seconds{table=%q}`, label), func() float64 { return h.reading[table].InProgress().Seconds() })
	}
	h.Metrics.Gauge("baobabdrum_log_write_in_progress_seconds", func() float64 { return h.Log.Writing.InProgress().Seconds() })
	h.Metrics.Gauge("baobabdrum_dropped_log_lines", func() float64 { return float64(h.Log.Dropped()) })

	return h
}

// newConnections returns the connections of a listener, bounded by a share of the
// sockets of the process. Those beyond it go to the ring, or are closed if it is nil.
func (h *Host) newConnections(listener string, share float64, limits *callerLimits, rejecting *ring.Ring[*tcp.LingeringConn]) *tcp.ConnectionSet {
	connections := tcp.NewConnectionSet(
		connectionBound(h.Site.Descriptors, share), limits.timeouts, newListenerEvents(listener, h.Log, h.Metrics).connectionEvents(), rejecting,
	)
	h.Metrics.Gauge(fmt.Sprintf(`baobabdrum_open_connections{listener=%q}`, listener), func() float64 { return float64(connections.Open()) })

	return connections
}

// listeners are the open sockets of a host.
type listeners struct {
	caller    net.Listener
	ready     net.Listener
	directory net.Listener
	control   net.Listener
	peer      net.Listener
	beacon    *beacon.Socket
}

// AddressConflictError reports two listeners with the same address.
type AddressConflictError struct {
	// Address is the ip:port.
	Address string
	// First and Second name the listeners.
	First, Second string
}

// Error names the address and both listeners.
func (e *AddressConflictError) Error() string {
	return fmt.Sprintf("%s is the address of both %s and %s", e.Address, e.First, e.Second)
}

// listen opens all sockets. It returns an *AddressConflictError if two of them
// have the same address. After an error, no socket is open.
func (h *Host) listen() (*listeners, error) {
	open := &listeners{}
	named := map[string]string{}
	for _, next := range []struct {
		name, address string
		target        *net.Listener
	}{
		{"caller", h.Site.CallerAddress, &open.caller},
		{"readiness", h.Site.ReadyAddress, &open.ready},
		{"directory", h.Site.DirectoryAddress, &open.directory},
		{"control", h.Site.ControlAddress, &open.control},
		{"peer", h.Site.PeerAddress, &open.peer},
	} {
		if first, taken := named[next.address]; taken {
			open.close()

			return nil, &AddressConflictError{Address: next.address, First: first, Second: next.name}
		}
		named[next.address] = next.name
		listener, err := tcp.Listen(context.Background(), next.address)
		if err != nil {
			open.close()

			return nil, err
		}
		*next.target = listener
	}
	socket, err := beacon.Listen(h.Site.PeerAddress)
	if err != nil {
		open.close()

		return nil, err
	}
	open.beacon = socket

	return open, nil
}

// close closes the open TCP sockets.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.ready, l.directory, l.control, l.peer} {
		if listener != nil {
			_ = listener.Close() // the host does not start
		}
	}
}

// StoppedError ends the group of duties after a planned stop.
type StoppedError struct{}

// Error returns a fixed text.
func (*StoppedError) Error() string {
	return "planned stop finished"
}

// Run runs the host until a planned stop has finished or a duty fails. The end
// of the context starts a planned stop. A signal on reload makes the host read
// the settings file again at once.
func (h *Host) Run(interrupted context.Context, reload <-chan os.Signal) error {
	open, err := h.listen()
	if err != nil {
		return err
	}
	h.Log.Event(eventlog.Info, "host_started", "listening",
		eventlog.Text("host", h.Site.Name), eventlog.Text("data_centre", h.Site.DataCentre), eventlog.Text("caller_address", h.Site.CallerAddress))
	duties := group.New(context.WithoutCancel(interrupted))
	closing, closeFront := context.WithCancel(context.WithoutCancel(interrupted))
	defer closeFront()
	h.startCalls(duties)
	h.startControl(duties, open)
	h.startFronts(closing, duties, open)
	duties.Go("stop", func(ctx context.Context) error { return h.runStop(ctx, interrupted, closeFront) })
	duties.Go("settings", func(ctx context.Context) error { return h.runSettings(ctx, reload) })
	duties.Go("log", h.Log.Run)

	var stopped *StoppedError
	if err := duties.Wait(); !errors.As(err, &stopped) {
		return err
	}

	return nil
}

// seed returns the seed of random choices: the configured one, or a random one
// if it is 0.
func (h *Host) seed() uint64 {
	if h.Settings.Seed != 0 {
		return uint64(h.Settings.Seed) //nolint:gosec // settings are checked to be non-negative
	}
	var drawn [8]byte
	_, _ = crand.Read(drawn[:]) // never fails

	return binary.LittleEndian.Uint64(drawn[:])
}

// startCalls starts the duties that place calls and send them to backend
// servers.
func (h *Host) startCalls(duties *group.Group) {
	connections := backendhttp.NewConnections(defaultMaxConnections)
	calls := &callsDuty{
		placer: placement.New(placement.Options{
			Host: h.Site.Name, DataCentre: h.Site.DataCentre, Seed: h.seed(),
			FailClosed: h.Site.FailClosed, Budget: h.Site.Budget, ProbeInterval: h.Settings.ProbeInterval, CrossingCost: float64(h.Settings.CrossingCost) / perMille,
			Rollout:   h.Site.Rollout,
			Tolerance: h.Site.Tolerance, QuotaLoans: h.Settings.QuotaLoans,
		}),
		inputs: h.inputs, changes: h.changes, attempts: h.attempts, probes: h.probes, control: h.control, rollouts: h.rollouts, log: h.Log, metrics: h.Metrics,
		confirmation: h.confirmation, calls: map[placement.CallID]*openCall{}, inFlight: map[placement.AttemptID]*Attempt{}, rateSince: time.Now(),
	}
	h.exposeSteps("calls", &calls.steps)
	duties.Go("calls", calls.run)
	for range senderCount(h.Settings, h.Site) {
		duty := &sender{adapter: h.Adapter, attempts: h.attempts, reports: h.inputs, connections: connections, budget: h.budget}
		duties.Go("sender", duty.run)
	}
	for range h.Settings.Probers {
		duty := &prober{adapter: h.Adapter, probes: h.probes, reports: h.inputs, connections: connections}
		duties.Go("prober", duty.run)
	}
}

// exposeSteps adds the gauge of the steps of a duty.
func (h *Host) exposeSteps(duty string, steps *group.Step) {
	h.Metrics.Gauge(fmt.Sprintf(`baobabdrum_step_in_progress_seconds{duty=%q}`, duty), func() float64 { return steps.InProgress().Seconds() })
}

// senderCount returns the number of senders: the configured one, or more on a host
// that can carry more calls, of which each may take a second.
func senderCount(settings schema.EdgeSettings, site Site) int {
	return max(settings.Senders, site.Capacity)
}

// startControl starts the duties that maintain the declared state and the set
// of serving hosts.
func (h *Host) startControl(duties *group.Group, open *listeners) {
	self := schema.Beacon{
		Name: h.Site.Name, StartedMs: int(h.started.UnixMilli()), DataCentre: h.Site.DataCentre,
		CallerAddress: h.Site.CallerAddress, PeerAddress: h.Site.PeerAddress, Capacity: h.Site.Capacity,
	}
	view := directory.New(self)
	replica := declared.NewReplica(cmp.Or(h.Site.Propagation, declared.DefaultBound))
	replica.Early = h.Site.Seed || directory.LikelyToServe(h.Site.Capacity)
	control := &controlDuty{
		replica: replica, directory: view, inputs: h.control, calls: h.inputs, changes: h.changes, orders: h.orders, registrations: h.registrations,
		fetches: h.fetches, beacons: h.beacons, asks: h.asks, storeMembers: h.storeMembers, limits: h.limits, confirmation: h.confirmation, wakeups: &h.wakeups, log: h.Log, metrics: h.Metrics, startedAt: h.started, seeds: h.Site.Seeds,
		propagation: cmp.Or(h.Site.Propagation, declared.DefaultBound),
	}
	h.exposeSteps("control", &control.steps)
	duties.Go("control", control.run)
	duties.Go("orders", func(ctx context.Context) error {
		return h.runReads(ctx, h.orders, tableLabels[declared.Orders], h.Adapter.ReadOrders)
	})
	duties.Go("registrations", func(ctx context.Context) error {
		return h.runReads(ctx, h.registrations, tableLabels[declared.Registrations], h.Adapter.ReadRegistrations)
	})
	duties.Go("store members", h.runStoreMembers)
	duties.Go("rollouts", h.runRollouts)
	duties.Go("asks", h.runAsks)
	duties.Go("fetches", h.runFetches)
	duties.Go("peer requests", h.runRequests)
	duties.Go("beacon sender", func(ctx context.Context) error {
		return open.beacon.Send(ctx, h.beacons, func(error) { h.Metrics.Dropped("beacon_sends") })
	})
	duties.Go("beacon receiver", func(ctx context.Context) error {
		return open.beacon.Receive(ctx, h.receiveBeacon, func(err error) {
			h.Log.Event(eventlog.Warning, "beacon_unusable", "dropping datagram that is not a valid beacon", eventlog.Text("error", err.Error()))
		})
	})
}

// receiveBeacon passes a beacon to the control duty.
func (h *Host) receiveBeacon(received schema.Beacon) {
	if h.control.Offer(BeaconArrived{Beacon: received, ArrivedAt: time.Now()}) != nil {
		h.Metrics.Dropped("beacons_heard")
	}
}

// startFronts starts the servers for callers, peers and operators. The caller
// front finishes when closing ends.
func (h *Host) startFronts(closing context.Context, duties *group.Group, open *listeners) {
	duties.Go("caller front", func(ctx context.Context) error { return h.front.run(ctx, closing, open.caller.(*net.TCPListener)) })
	ready, resolve, control := newApp(), newApp(), newApp()
	h.Adapter.MountReadiness(ready, h.queries.ready)
	h.Adapter.MountDirectory(resolve, h.queries.addresses)
	control.Get("/metrics", func(c fiber.Ctx) error {
		h.Metrics.Write(c.Response().BodyWriter())

		return nil
	})
	control.Get("/dump", func(c fiber.Ctx) error { return c.JSON(h.queries.dump()) })
	for _, served := range []struct {
		name     string
		app      *fiber.App
		listener net.Listener
		share    float64
	}{
		{"readiness", ready, open.ready, 0},
		{"directory", resolve, open.directory, directorySocketShare},
		{"operator", control, open.control, 0},
	} {
		connections := h.newConnections(served.name, served.share, newCallerLimits(), h.rejecting)
		duties.Go(served.name+" front", func(ctx context.Context) error {
			return serveApp(ctx, served.app, served.listener.(*net.TCPListener), connections)
		})
	}
	refusal := tcp.HTTPRefusal(rejectRetryAfter, nil)
	for range tcp.Rejecters {
		duties.Go("rejecter", func(ctx context.Context) error { return tcp.RunRejecter(ctx, h.rejecting, refusal) })
	}
	peers := tcp.NewBoundedListener(
		tcp.NewLingeringListener(open.peer.(*net.TCPListener)), h.newConnections("peer", peerSocketShare, newCallerLimits(), nil),
	)
	server := &peerrpc.Server{Receiver: peerrpc.NewEdgePeer(h.requests), MaxRequestBytes: maxPeerRequestBytes, Answered: h.Metrics.PeerAnswered}
	duties.Go("peer front", func(ctx context.Context) error { return server.Serve(ctx, peers) })
}
