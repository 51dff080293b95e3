package edge

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// fetchTimeout is the time in which another host must begin to answer, and in which
	// something more must arrive after that.
	fetchTimeout = 700 * time.Millisecond
	// slowFetch is the duration from which a fetch is logged.
	slowFetch = 100 * time.Millisecond
	// slowDecode is the duration from which the decoding of an answer of the store is
	// logged.
	slowDecode = 100 * time.Millisecond
	// registerRetry is the first back-off after a failed registration of this
	// host. The back-off doubles up to maxRegisterRetry.
	registerRetry = 300 * time.Millisecond
	// maxRegisterRetry is the longest back-off.
	maxRegisterRetry = 5 * time.Second
)

// tableLabels name the tables of the store in logs and metrics.
var tableLabels = map[declared.Table]string{declared.Orders: "orders", declared.Registrations: "registrations"}

// runReads reads a table of the store whenever the control duty requests it.
func (h *Host) runReads(ctx context.Context, requests *ring.Ring[declared.Read], table string, read func(declared.Read) declared.Event) error {
	defer context.AfterFunc(ctx, h.Adapter.CloseStore)()
	for {
		next, err := requests.Take(ctx)
		if err != nil {
			return err
		}
		startedAt := time.Now()
		h.reading[next.Table].Begin()
		event := read(next)
		h.reading[next.Table].End()
		outcome := "read"
		switch event := event.(type) {
		case declared.OrdersRead:
			h.Metrics.Invalid(table, event.Invalid)
			h.noteDecoded(table, event.Bytes, time.Since(event.ReceivedAt))
		case declared.RegistrationsRead:
			h.Metrics.Invalid(table, event.Invalid)
			h.noteDecoded(table, event.Bytes, time.Since(event.ReceivedAt))
		case declared.ReadFailed:
			outcome = "failed"
		case declared.HistoryLost:
			outcome = "history_lost"
		case declared.PeerStateReceived, declared.PeerAnswered, declared.FetchFailed, declared.RankChanged, declared.Ticked:
		}
		h.Metrics.Store(table, outcome, time.Since(startedAt))
		if err := h.control.Put(ctx, DeclaredEvent{Event: event}); err != nil {
			return err
		}
	}
}

// noteDecoded records an answer of the store in the metrics, and one that was decoded
// slowly in the log.
func (h *Host) noteDecoded(table string, bytes int, took time.Duration) {
	h.Metrics.StoreRead(table, bytes, took)
	if took >= slowDecode {
		h.Log.Event(eventlog.Info, "decode_slow", "decoding an answer of the store took long",
			eventlog.Text("table", table), eventlog.Integer("bytes", bytes), eventlog.Duration("took", took))
	}
}

// runStoreMembers registers this host in the store, or joins the hosts registered
// there, when the control duty requests it.
func (h *Host) runStoreMembers(ctx context.Context) error {
	defer context.AfterFunc(ctx, h.Adapter.CloseStore)()
	for {
		request, err := h.storeMembers.Take(ctx)
		if err != nil {
			return err
		}
		_, joins := request.(directory.JoinStore)
		addresses, err := h.registerUntilDone(ctx, joins)
		if err != nil {
			return err
		}
		if err := h.control.Put(ctx, MembersRead{Addresses: addresses}); err != nil {
			return err
		}
	}
}

// registerUntilDone registers this host, with a back-off after each failure. If it
// joins the others, it returns their beacon addresses.
func (h *Host) registerUntilDone(ctx context.Context, joins bool) ([]string, error) {
	for wait := registerRetry; ; wait = min(2*wait, maxRegisterRetry) {
		startedAt := time.Now()
		addresses, err := h.registerMember(joins)
		if err == nil {
			h.Metrics.Store("members", "read", time.Since(startedAt))

			return addresses, nil
		}
		h.Metrics.Store("members", "failed", time.Since(startedAt))
		h.Log.Event(eventlog.Warning, "registration_failed", "registering this host in the store failed; retrying after a back-off", eventlog.Text("error", err.Error()))
		pause(ctx, wait)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// runAsks asks other hosts for the hosts that they know.
func (h *Host) runAsks(ctx context.Context) error {
	client := peerrpc.NewClient("", fetchTimeout)
	defer client.Close()
	for {
		ask, err := h.asks.Take(ctx)
		if err != nil {
			return err
		}
		request, answered := schema.MembersRequest{Sender: h.Site.Name, DataCentre: ask.DataCentre}, MembersAnswered{Answered: true}
		if err := peerrpc.Call(ctx, client, ask.Address, peerrpc.MethodMembers, &request, &answered.Answer); err != nil {
			h.Log.Event(eventlog.Warning, "ask_failed", "asking another host for members failed",
				eventlog.Text("address", ask.Address), eventlog.Text("error", err.Error()))
			answered.Answered = false
		}
		if err := h.control.Put(ctx, answered); err != nil {
			return err
		}
	}
}

// registerMember registers this host and returns the beacon addresses of all
// registered hosts if it joins them.
func (h *Host) registerMember(joins bool) ([]string, error) {
	if err := h.Adapter.Register(schema.Member{Name: h.Site.Name, PeerAddress: h.Site.PeerAddress}); err != nil {
		return nil, err
	}
	if !joins {
		return nil, nil
	}
	members, err := h.Adapter.Members()
	if err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.PeerAddress)
	}

	return addresses, nil
}

// runFetches fetches the declared state from other hosts.
func (h *Host) runFetches(ctx context.Context) error {
	client := peerrpc.NewClient("", fetchTimeout)
	defer client.Close()
	for {
		fetch, err := h.fetches.Take(ctx)
		if err != nil {
			return err
		}
		var (
			answer  peerrpc.PackedDeclaredAnswer
			event   declared.Event = declared.FetchFailed{}
			request                = schema.DeclaredRequest{Sender: h.Site.Name, Version: fetch.Version, RegistrationsAt: fetch.RegistrationsAt, TakesChanges: true}
		)
		startedAt := time.Now()
		err = peerrpc.Call(ctx, client, fetch.Address, peerrpc.MethodDeclaredPacked, &request, &answer)
		took := time.Since(startedAt)
		if err == nil {
			event = declared.PeerAnswered{Answer: answer.Body}
		}
		h.noteFetched(fetch, client.Received, took, err)
		if err := h.control.Put(ctx, DeclaredEvent{Event: event}); err != nil {
			return err
		}
	}
}

// noteFetched records a fetch in the metrics, and one that failed or was slow in the log.
func (h *Host) noteFetched(fetch declared.Fetch, bytes int, took time.Duration, err error) {
	transfer := []eventlog.Field{
		eventlog.Text("address", fetch.Address), eventlog.Integer("known_version", fetch.Version),
		eventlog.Integer("bytes", bytes), eventlog.Duration("took", took),
	}
	switch {
	case err != nil:
		h.Metrics.Fetched("failed", bytes, took)
		h.Log.Event(eventlog.Warning, "fetch_failed", "fetching the declared state from another host failed", append(transfer, eventlog.Text("error", err.Error()))...)
	case took >= slowFetch:
		h.Metrics.Fetched("fetched", bytes, took)
		h.Log.Event(eventlog.Info, "fetch_slow", "fetching the declared state from another host took long", transfer...)
	default:
		h.Metrics.Fetched("fetched", bytes, took)
	}
}

// runRequests passes other hosts' requests to the control duty.
func (h *Host) runRequests(ctx context.Context) error {
	for {
		next, err := h.requests.Take(ctx)
		if err != nil {
			return err
		}
		var input ControlInput
		switch request := next.(type) {
		case peerrpc.DeclaredRequest:
			input = DeclaredQuery{Request: request.DeclaredRequest, Reply: request.Reply}
		case peerrpc.MembersRequest:
			input = MembersQuery{Request: request.MembersRequest, Reply: request.Reply}
		case peerrpc.DigestRequest, peerrpc.ConfigurationRequest, peerrpc.RoomRequest:
			continue // requests between hosts of the other command
		}
		if h.control.Offer(input) != nil {
			h.Metrics.Dropped("peer_requests")
		}
	}
}
