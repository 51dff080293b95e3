// Package host assembles an entry host: it creates the rings, opens the
// listeners and runs one goroutine for each duty in a group that stops
// together. Duties are added and connected here.
package host

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/callerhttp"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/operatorhttp"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/prometheus"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tablehttp"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// controlRingCapacity is the capacity of rings that carry no calls.
	controlRingCapacity = 256
	// platformTimeout is the timeout of a request to the platform.
	platformTimeout = 2 * time.Second
	// connectionsPerHost is the largest number of connections to another entry
	// host.
	connectionsPerHost = 256
	// maxPeerRequestBytes is the largest size in bytes of a request of another host,
	// such as a digest with a bounded number of records.
	maxPeerRequestBytes = 1 << 20
	// maxPeerConnections is the largest number of connections of other hosts.
	maxPeerConnections = 1024
	// peerHeaderTimeout is the time in which a request of another host must arrive.
	peerHeaderTimeout = 10 * time.Second
	// peerIdleTimeout is the time after which an idle connection of another host is
	// closed.
	peerIdleTimeout = time.Minute
	// connectionLogInterval is the shortest time between log lines of one kind about the
	// connections of a listener.
	connectionLogInterval = time.Second
	// proberCount is the number of prober duties. Each runs one probe at a time.
	proberCount = 4
)

// Host is an entry host: its settings and the rings between its duties.
type Host struct {
	// Settings are the validated settings.
	Settings schema.HostSettings
	// Self is the record that the host announces to its peers.
	Self schema.Host
	// Log receives one line for each event.
	Log *eventlog.Log

	dispatch        *ring.Ring[dispatch.Input]
	attempts        *ring.Ring[*dispatch.Attempt]
	probes          *ring.Ring[dispatch.Probe]
	peers           *ring.Ring[peerInput]
	exchanges       *ring.Ring[peer.Exchange]
	fetches         *ring.Ring[peer.FetchConfiguration]
	requests        *ring.Ring[peerrpc.Request]
	seeks           *ring.Ring[dispatch.SeekRoom]
	routing         *ring.Ring[dispatch.RoutingInput]
	configurations  *ring.Ring[configurationInput]
	changes         *ring.Ring[operatorhttp.ChangeRequest]
	persistRequests *ring.Ring[persistRequest]
	stops           *ring.Ring[plannedStops]
	stopRequests    *ring.Ring[operatorhttp.StopRequest]
	dumps           *ring.Ring[operatorhttp.DumpRequest]
	claims          *ring.Ring[dispatch.Claim]
	platform        *tablehttp.Client
	front           *callerhttp.Front
	seed            uint64
}

// Check returns the faults that involve more than one setting: a listening
// address used twice, and a peer or operator address beyond loopback without a
// token.
func Check(settings schema.HostSettings) []schema.Fault {
	listening := []struct{ place, address string }{
		{"caller-address", settings.CallerAddress},
		{"operator-address", settings.OperatorAddress},
		{"peer-address", settings.PeerAddress},
	}
	var faults []schema.Fault
	places := map[string]string{}
	for _, entry := range listening {
		if earlier, taken := places[entry.address]; taken {
			faults = append(faults, schema.Fault{Place: entry.place, Value: entry.address, Problem: "is the same as " + earlier})
		}
		places[entry.address] = entry.place
		address, err := netip.ParseAddrPort(entry.address)
		guarded := settings.Token != "" || entry.place == "caller-address"
		if err == nil && !guarded && !address.Addr().IsLoopback() {
			faults = append(faults, schema.Fault{
				Place: entry.place, Value: entry.address, Problem: "needs a token unless it is a loopback address",
			})
		}
	}

	return faults
}

// New returns a host with empty rings and a new incarnation.
func New(settings schema.HostSettings, log *eventlog.Log) *Host {
	seed := uint64(settings.Seed) //nolint:gosec // checked to be non-negative
	if seed == 0 {
		var drawn [8]byte
		_, _ = crand.Read(drawn[:]) // crypto/rand.Read never returns an error
		seed = binary.LittleEndian.Uint64(drawn[:])
	}

	h := &Host{
		Settings: settings,
		Log:      log,
		Self: schema.Host{
			Name:            settings.Name,
			DataCentre:      settings.DataCentre,
			Incarnation:     ulid.MustNew(ulid.Now(), crand.Reader).String(), // two hosts never share an incarnation
			CallerAddress:   settings.CallerAddress,
			PeerAddress:     settings.PeerAddress,
			OperatorAddress: settings.OperatorAddress,
			State:           schema.HostStateJoining,
		},
		dispatch:        ring.New[dispatch.Input]("dispatch", settings.DispatchRing),
		attempts:        ring.New[*dispatch.Attempt]("senders", settings.Senders),
		probes:          ring.New[dispatch.Probe]("probers", controlRingCapacity),
		peers:           ring.New[peerInput]("peers", controlRingCapacity),
		exchanges:       ring.New[peer.Exchange]("exchanges", exchangeRingCapacity),
		fetches:         ring.New[peer.FetchConfiguration]("fetches", exchangeRingCapacity),
		requests:        ring.New[peerrpc.Request]("peer_requests", controlRingCapacity),
		seeks:           ring.New[dispatch.SeekRoom]("seeks", controlRingCapacity),
		routing:         ring.New[dispatch.RoutingInput]("routing", controlRingCapacity),
		configurations:  ring.New[configurationInput]("configuration", controlRingCapacity),
		changes:         ring.New[operatorhttp.ChangeRequest]("operator", controlRingCapacity),
		persistRequests: ring.New[persistRequest]("keeper", controlRingCapacity),
		stops:           ring.New[plannedStops]("stop", controlRingCapacity),
		stopRequests:    ring.New[operatorhttp.StopRequest]("stop_requests", controlRingCapacity),
		dumps:           ring.New[operatorhttp.DumpRequest]("dump", controlRingCapacity),
		claims:          ring.New[dispatch.Claim]("claims", claimRingCapacity),
		platform:        tablehttp.New(settings.PlatformAddress, platformTimeout),
		seed:            seed,
	}
	h.front = callerhttp.New(h.dispatch, settings.CallTimeout, settings.BodyLimit)
	h.front.MaxConnections = cmp.Or(settings.CallerConnections, h.front.MaxConnections)

	return h
}

// listeners holds the listening sockets of the host's front ends.
type listeners struct {
	caller   *net.TCPListener
	peer     *net.TCPListener
	operator *net.TCPListener
}

// listen opens all listeners. If one fails, it closes the others.
func (h *Host) listen() (listeners, error) {
	var open listeners
	for address, target := range map[string]**net.TCPListener{
		h.Settings.CallerAddress:   &open.caller,
		h.Settings.PeerAddress:     &open.peer,
		h.Settings.OperatorAddress: &open.operator,
	} {
		listener, err := tcp.Listen(context.Background(), address)
		if err != nil {
			open.close()

			return listeners{}, err
		}
		*target = listener.(*net.TCPListener)
	}

	return open, nil
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, listener := range []*net.TCPListener{l.caller, l.peer, l.operator} {
		if listener != nil {
			_ = listener.Close() // nothing uses the listener any more
		}
	}
}

// Run runs the host until a planned stop is finished or a duty fails. The end of
// the context starts a planned stop.
func (h *Host) Run(interrupted context.Context) error {
	open, err := h.listen()
	if err != nil {
		return err
	}
	defer open.close()
	h.Log.Event(eventlog.Info, "host_started", "listening",
		eventlog.Text("incarnation", h.Self.Incarnation), eventlog.Text("caller_address", h.Settings.CallerAddress))

	duties := group.New(context.WithoutCancel(interrupted))
	closing, closeFrontEnd := context.WithCancel(context.WithoutCancel(interrupted))
	defer closeFrontEnd()
	metrics := prometheus.New()
	defer metrics.Expose()()
	h.exposeRings(metrics)
	connections := backendhttp.NewConnections(connectionsPerHost)
	defer connections.Close()
	h.startCalls(duties, connections, metrics)
	h.startControl(duties)
	duties.Go("stop", func(ctx context.Context) error { return h.runStop(ctx, interrupted, closeFrontEnd) })
	h.startFrontEnds(closing, duties, open, metrics)

	duties.Go("log", h.Log.Run)

	var stopped *StoppedError
	if err := duties.Wait(); !errors.As(err, &stopped) {
		return err
	}
	h.Log.Event(eventlog.Info, "host_stopped", "the planned stop is finished")
	h.Log.Flush()

	return nil
}

// connectionEvents logs what happens to the connections of a listener, at most one line
// of a kind in each connectionLogInterval.
func (h *Host) connectionEvents(listener string) tcp.ConnectionEvents {
	var failures, evictions, rejections atomic.Int64
	line := func(last *atomic.Int64, event, text string, err error) {
		now, before := time.Now().UnixNano(), last.Load()
		if now-before < int64(connectionLogInterval) || !last.CompareAndSwap(before, now) {
			return
		}
		fields := []eventlog.Field{eventlog.Text("listener", listener)}
		if err != nil {
			fields = append(fields, eventlog.Text("error", err.Error()))
		}
		h.Log.Event(eventlog.Warning, event, text, fields...)
	}

	return tcp.ConnectionEvents{
		Failed:  func(err error) { line(&failures, "accept_failed", "accepting a connection failed; trying again", err) },
		Evicted: func() { line(&evictions, "connection_evicted", "idle connection closed for a new one", nil) },
		Rejected: func(int) {
			line(&rejections, "connection_rejected", "no room for another connection, and none is idle", nil)
		},
	}
}

// newDispatch returns the dispatch duty with its router, pool and order book.
func (h *Host) newDispatch(metrics *prometheus.Metrics) *dispatch.Duty {
	router := caller.NewRouter(h.Self.Name, h.Settings.AnswerKeep)
	pool := backend.NewPool(backend.Options{
		QueueLength: h.Settings.QueueLength, Hosts: h.Settings.ConfiguredHosts, Seed: h.seed, WithoutSpill: !h.Settings.Spill,
	})
	duty := dispatch.New(h.dispatch, h.attempts, h.probes, router, pool, h.Log)
	duty.Metrics = prometheus.NewDispatch(metrics)
	duty.ConfiguredHosts = h.Settings.ConfiguredHosts
	duty.Targets = ring.New[[]dispatch.Target]("opener", 1)
	duty.Seeks = h.seeks
	h.addOrders(duty)

	return duty
}

// startCalls starts the duties that place calls and send them to backend
// servers.
func (h *Host) startCalls(duties *group.Group, connections *backendhttp.Connections, metrics *prometheus.Metrics) {
	dispatchDuty := h.newDispatch(metrics)
	duties.Go("dispatch", h.withLockedThread(dispatchDuty.Run))
	duties.Go("claims", h.newClaimsDuty().run)
	duties.Go("opener", (&backendhttp.Opener{Targets: dispatchDuty.Targets, Connections: connections}).Run)
	for range h.Settings.Senders {
		sender := &backendhttp.Sender{Attempts: h.attempts, Reports: h.dispatch, Connections: connections}
		duties.Go("sender", h.withLockedThread(sender.Run))
	}
	for range proberCount {
		duties.Go("prober", (&backendhttp.Prober{Probes: h.probes, Reports: h.dispatch, Connections: connections}).Run)
	}
}

// startControl starts the control-plane duties: configuration, membership and
// access to the platform.
func (h *Host) startControl(duties *group.Group) {
	duties.Go("configuration", h.runConfiguration)
	duties.Go("routing", dispatch.NewRouting(h.Self.Name, h.routing, h.dispatch).Run)
	duties.Go("peers", h.runPeers)
	duties.Go("exchanges", h.runExchanges)
	duties.Go("fetches", h.runFetches)
	duties.Go("seeks", h.runSeeks)
	duties.Go("platform", h.runPlatform)
	duties.Go("operator", h.runOperator)
	duties.Go("keeper", h.runPersister)
	duties.Go("dump", h.runDump)
}

// startFrontEnds starts the duties that serve peers, callers and operators. The
// caller front end finishes when closing ends.
func (h *Host) startFrontEnds(closing context.Context, duties *group.Group, open listeners, metrics *prometheus.Metrics) {
	duties.Go("peer front", func(ctx context.Context) error {
		server := &peerrpc.Server{Token: h.Settings.Token, Receiver: peerrpc.NewPeer(h.requests), MaxRequestBytes: maxPeerRequestBytes}

		timeouts := tcp.ConnectionTimeouts{Header: peerHeaderTimeout, Idle: peerIdleTimeout}
		connections := tcp.NewConnectionSet(maxPeerConnections, func() tcp.ConnectionTimeouts { return timeouts }, h.connectionEvents("peer"), nil)
		connections.RequestBytes = maxPeerRequestBytes + tcp.DefaultRequestBytes

		return server.Serve(ctx, tcp.NewBoundedListener(tcp.NewLingeringListener(open.peer), connections))
	})
	h.front.Metrics, h.front.Events = metrics, h.connectionEvents("caller")
	duties.Go("caller front", func(ctx context.Context) error {
		return runFrontEnd(ctx, closing, open.caller, h.front.Run)
	})
	operators := operatorhttp.New(h.changes, h.dumps, h.stopRequests, h.Settings.Token)
	operators.Events = h.connectionEvents("operator")
	duties.Go("operator front", func(ctx context.Context) error { return operators.Run(ctx, open.operator) })
}

// withLockedThread locks a duty to an operating system thread if the settings
// require it.
func (h *Host) withLockedThread(duty func(ctx context.Context) error) func(ctx context.Context) error {
	if !h.Settings.LockThreads {
		return duty
	}

	return func(ctx context.Context) error {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()

		return duty(ctx)
	}
}
