package backendhttp

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
)

// healthPath is the path of a backend server's health check.
const healthPath = "/health"

// Prober is a duty that sends probes to backend servers, one at a time.
type Prober struct {
	// Probes is the ring that the duty reads from.
	Probes *ring.Ring[dispatch.Probe]
	// Reports is the ring of the dispatch duty.
	Reports *ring.Ring[dispatch.Input]
	// Connections is the set of connections shared with the senders.
	Connections *Connections
}

// Run sends probes until the context ends.
func (p *Prober) Run(ctx context.Context) error {
	for {
		probe, err := p.Probes.Take(ctx)
		if err != nil {
			return err
		}
		report := dispatch.Probed{Address: probe.Address, Healthy: p.healthy(probe)}
		if err := p.Reports.Put(ctx, report); err != nil {
			return err
		}
	}
}

// healthy reports whether the backend server sent a complete response with status
// 200 in time. A backend server whose connections are all in use counts as healthy.
func (p *Prober) healthy(probe dispatch.Probe) bool {
	connection, err := p.Connections.Acquire(probe.Address)
	if err != nil {
		return true
	}
	defer p.Connections.Release(connection)
	if err := connection.Open(context.Background(), time.Now().Add(probe.Timeout)); err != nil {
		return false
	}

	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(healthPath)
	request.Header.SetHost(probe.Address)
	err = connection.Exchange(request, response)
	whole := err == nil
	if stream := connection.Body(); whole && stream != nil {
		_, err = (&body{stream: stream, remaining: response.Header.ContentLength()}).read(maxBufferedBody)
		whole = errors.Is(err, io.EOF)
	}
	if !whole || response.ConnectionClose() {
		connection.Close()
	}

	return whole && response.StatusCode() == fasthttp.StatusOK
}
