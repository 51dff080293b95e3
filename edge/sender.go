package edge

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/memory"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
)

const (
	// maxProbeAnswerBytes is the largest body in bytes of an answer to a probe,
	// which says all that is needed in its head.
	maxProbeAnswerBytes = 64 << 10
	// dialTimeoutShare is the share of the remaining time that opening a
	// connection may take.
	dialTimeoutShare = 0.25
	// maxDialTimeout limits the time to open a connection. TCP resends a lost
	// first packet only after a second; by then another backend server has long
	// answered.
	maxDialTimeout = 150 * time.Millisecond
	// maxSenderWait is how long an attempt may wait for a sender. After that, the call
	// is placed again, because its backend server may be leaving by now.
	maxSenderWait = 250 * time.Millisecond
	// readGrace is how long after its deadline an attempt may still read. The
	// calls duty cancels the attempt before that.
	readGrace = 200 * time.Millisecond
	// maxConnectionsPerServer is the largest number of connections from this host
	// to a backend server: several times its slots, and far fewer than a backend
	// server accepts from all hosts.
	maxConnectionsPerServer = 32
	// defaultKeepAlive is how long an idle connection is reused if the backend
	// server does not say how long it keeps it open.
	defaultKeepAlive = 8 * time.Second
	// keepAliveMargin is how long before the backend server closes an idle
	// connection the host stops reusing it.
	keepAliveMargin = time.Second
)

// sender is a duty that runs one attempt at a time.
type sender struct {
	adapter     Adapter
	attempts    *ring.Ring[*Attempt]
	reports     *ring.Ring[Input]
	connections *backendhttp.Connections
	budget      *memory.Budget
}

// run runs attempts until the context ends.
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

// send runs an attempt and returns its result.
func (s *sender) send(attempt *Attempt) DecodedAnswer {
	if attempt.Context.Err() != nil || !time.Now().Before(attempt.Deadline) {
		return DecodedAnswer{Result: placement.Unsent{Local: true, Cause: context.DeadlineExceeded}}
	}
	if time.Since(attempt.offeredAt) > maxSenderWait {
		return DecodedAnswer{Result: placement.Unsent{Local: true, Cause: errSendersBusy}}
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
	if time.Since(attempt.offeredAt) > maxSenderWait+maxDialTimeout { // the process was held up meanwhile
		return DecodedAnswer{Result: placement.Unsent{Local: true, Cause: errSendersBusy}}
	}
	decoded, reusable := s.exchange(attempt, connection)
	if !reusable {
		connection.Close()
	}

	return decoded
}

// openConnection opens the connection within a share of the remaining time and
// sets the deadline of the exchange.
func openConnection(attempt *Attempt, connection *backendhttp.Connection) error {
	left := time.Until(attempt.Deadline)
	wait := min(max(time.Duration(dialTimeoutShare*float64(left)), time.Millisecond), maxDialTimeout)
	ctx, cancel := context.WithTimeout(attempt.Context, wait)
	defer cancel()

	return connection.OpenFor(ctx, attempt.Deadline.Add(readGrace), attempt.Request.ID)
}

// exchange sends the request and reads the answer. It also reports whether the
// connection can be reused.
func (s *sender) exchange(attempt *Attempt, connection *backendhttp.Connection) (DecodedAnswer, bool) {
	settle := backendhttp.AbortOnCancel(attempt.Context, connection)
	defer settle()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	s.adapter.EncodeSend(request, attempt, time.Now())
	attempt.memory = s.budget.Reserve(memory.Answers)
	read := func(body io.Reader, length int) ([]byte, error) {
		attempt.memory.Release() // of an answer to another request

		return memory.ReadAll(body, length, attempt.memory.Grow)
	}
	var decoded DecodedAnswer
	err := connection.ExchangeWhole(request, response, read, func(response *fasthttp.Response) bool {
		decoded = s.adapter.DecodeAnswer(response, attempt)

		// On a reused connection, an answer that names no request may be a late copy of
		// an earlier one.
		foreign := decoded.Mismatched || decoded.Unidentified && connection.Reused()

		return !foreign
	})
	if err != nil {
		attempt.memory.Release()

		return DecodedAnswer{Result: failureResult(attempt, connection, err)}, false
	}
	if decoded.Answer == nil {
		attempt.memory.Release()
	}
	if decoded.Notice.Leaving {
		s.connections.Forget(attempt.Address)
	}
	keep := defaultKeepAlive
	if decoded.KeepFor > 0 {
		keep = decoded.KeepFor - keepAliveMargin
	}
	connection.KeepUntil(time.Now().Add(keep))

	return decoded, !response.ConnectionClose() && keep > 0 && !decoded.Unidentified && !decoded.Notice.Leaving
}

// failureResult returns the result of an attempt that failed with an error. An
// attempt of which no byte was sent cannot have run.
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

// run runs probes until the context ends.
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

// probe runs a probe. If all connections to the backend server are in use, the
// probe does not count as a failure.
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
	settle := backendhttp.AbortOnCancel(ctx, connection)
	defer settle()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(probe.Path)
	request.Header.SetHost(probe.Address)
	if connection.ExchangeWhole(request, response, backendhttp.LimitBody(maxProbeAnswerBytes), p.adapter.AnswersProbe) != nil {
		return placement.ProbeEnded{Server: probe.Server}
	}
	if response.ConnectionClose() {
		connection.Close()
	}
	connection.KeepUntil(time.Now().Add(defaultKeepAlive))

	return p.adapter.DecodeProbe(response, probe.Server)
}
