package edge

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
)

const (
	// maxAnswerBytes bounds a whole answer in bytes, so that one answer cannot take
	// the memory of a host.
	maxAnswerBytes = 64 << 20
	// dialTimeoutShare is the share of the time left that opening a connection may take.
	dialTimeoutShare = 0.25
	// maxDialTimeout bounds that time: a lost first packet is sent again only after a
	// second, when another backend server has answered long since.
	maxDialTimeout = 150 * time.Millisecond
	// readGrace is how long after its deadline an attempt is still read; the calls
	// duty gives it up before.
	readGrace = 200 * time.Millisecond
	// maxConnectionsPerServer bounds this host's connections to a backend server: several
	// times its slots, and far fewer than backend servers accept from all hosts.
	maxConnectionsPerServer = 32
	// defaultKeepAlive is how long an idle connection is used again when the backend
	// server does not say how long it keeps it.
	defaultKeepAlive = 8 * time.Second
	// keepAliveMargin is the time before the backend server closes an idle connection
	// from which it is not used any more.
	keepAliveMargin = time.Second
)

// sender is a duty that runs one attempt at a time.
type sender struct {
	adapter     Adapter
	attempts    *ring.Ring[*Attempt]
	reports     *ring.Ring[Input]
	connections *backendhttp.Connections
}

// run takes attempts until the context ends.
func (s *sender) run(ctx context.Context) error {
	for {
		attempt, err := s.attempts.Take(ctx)
		if err != nil {
			return err
		}
		if err := s.reports.Put(ctx, AttemptEnded{Attempt: attempt, Decoded: s.send(attempt)}); err != nil {
			return err
		}
	}
}

// send runs an attempt and returns what came back.
func (s *sender) send(attempt *Attempt) DecodedAnswer {
	if attempt.Context.Err() != nil || !time.Now().Before(attempt.Deadline) {
		return DecodedAnswer{Result: placement.Unsent{Local: true, Cause: context.DeadlineExceeded}}
	}
	s.connections.Declare(attempt.Address, min(attempt.Connections, maxConnectionsPerServer))
	connection, err := s.connections.Acquire(attempt.Address)
	if err != nil {
		return DecodedAnswer{Result: placement.Unsent{Local: true, Cause: err}}
	}
	defer s.connections.Release(connection)
	if err := openConnection(attempt, connection); err != nil {
		return DecodedAnswer{Result: placement.Unsent{Local: attempt.Context.Err() != nil, Cause: err}}
	}
	decoded, reusable := s.exchange(attempt, connection)
	if !reusable {
		connection.Close()
	}

	return decoded
}

// openConnection makes a connection ready.
func openConnection(attempt *Attempt, connection *backendhttp.Connection) error {
	left := time.Until(attempt.Deadline)
	wait := min(max(time.Duration(dialTimeoutShare*float64(left)), time.Millisecond), maxDialTimeout)
	ctx, cancel := context.WithTimeout(attempt.Context, wait)
	defer cancel()

	return connection.Open(ctx, attempt.Deadline.Add(readGrace))
}

// exchange sends the request and receives the answer. It reports whether the
// connection may be used again.
func (s *sender) exchange(attempt *Attempt, connection *backendhttp.Connection) (DecodedAnswer, bool) {
	settle := backendhttp.AbortOnCancel(attempt.Context, connection)
	defer settle()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	s.adapter.EncodeSend(request, attempt, time.Now())
	var decoded DecodedAnswer
	err := connection.ExchangeWhole(request, response, maxAnswerBytes, func(response *fasthttp.Response) bool {
		decoded = s.adapter.DecodeAnswer(response, attempt)

		return !decoded.Mismatched
	})
	if err != nil {
		return DecodedAnswer{Result: failureResult(attempt, connection, err)}, false
	}
	keep := defaultKeepAlive
	if decoded.KeepFor > 0 {
		keep = decoded.KeepFor - keepAliveMargin
	}
	connection.KeepUntil(time.Now().Add(keep))

	return decoded, !response.ConnectionClose() && keep > 0
}

// failureResult says how an attempt with an error ended.
func failureResult(attempt *Attempt, connection *backendhttp.Connection, err error) placement.Result {
	cause := eris.Wrapf(err, "sending to %s", attempt.Address)
	switch {
	case connection.Sent() == 0:
		return placement.Unsent{Local: attempt.Context.Err() != nil, Cause: cause}
	case attempt.Context.Err() != nil:
		return placement.Cancelled{}
	default:
		return placement.Cut{Cause: cause}
	}
}

// prober is a duty that runs one probe at a time.
type prober struct {
	adapter     Adapter
	probes      *ring.Ring[placement.Probe]
	reports     *ring.Ring[Input]
	connections *backendhttp.Connections
}

// run takes probes until the context ends.
func (p *prober) run(ctx context.Context) error {
	for {
		probe, err := p.probes.Take(ctx)
		if err != nil {
			return err
		}
		if err := p.reports.Put(ctx, PlacementEvent{Event: p.probe(ctx, probe)}); err != nil {
			return err
		}
	}
}

// probe runs a probe. A backend server whose connections are all in use is not
// blamed for that.
func (p *prober) probe(ctx context.Context, probe placement.Probe) placement.ProbeEnded {
	p.connections.Declare(probe.Address, min(probe.Connections, maxConnectionsPerServer))
	connection, err := p.connections.Acquire(probe.Address)
	if err != nil {
		return placement.ProbeEnded{Server: probe.Server, Answered: true}
	}
	defer p.connections.Release(connection)
	if connection.Open(ctx, time.Now().Add(probe.Timeout)) != nil {
		return placement.ProbeEnded{Server: probe.Server}
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(probe.Path)
	request.Header.SetHost(probe.Address)
	acceptAny := func(*fasthttp.Response) bool { return true }
	if connection.ExchangeWhole(request, response, maxAnswerBytes, acceptAny) != nil {
		connection.Close()

		return placement.ProbeEnded{Server: probe.Server}
	}
	if response.ConnectionClose() {
		connection.Close()
	}
	connection.KeepUntil(time.Now().Add(defaultKeepAlive))

	return p.adapter.DecodeProbe(response, probe.Server)
}
