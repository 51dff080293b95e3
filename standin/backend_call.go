package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

// HeaderEcho carries back the header field by which a caller recognises the
// answer to its own request.
const HeaderEcho = "Echo"

// HeaderOrder carries an order to the backend server.
const HeaderOrder = "Order"

const (
	// answerSize is the size in bytes of an answer that is not large.
	answerSize = 64
	// packPath precedes the size in bytes of a large answer.
	packPath = "/pack/"
	// checkInterval is the time between checks of a call's connection.
	checkInterval = 10 * time.Millisecond
)

// call runs a call.
func (b *Backend) call(c fiber.Ctx) error {
	arrived := time.Now()
	run := schema.Run{Order: orderOf(c), Path: strings.Clone(c.Path())}
	admitted, err := queryServer(b, func(s *Server, now time.Time) admission { return s.Admit(now, run) })
	if err != nil {
		return err
	}
	if admitted.restarting {
		return c.Drop()
	}
	c.Set(HeaderEcho, c.Get(HeaderEcho))
	if admitted.shed {
		c.Set(backendhttp.HeaderShed, "1")

		return c.SendStatus(http.StatusServiceUnavailable)
	}
	switch result := b.run(c, admitted, deadline(c, arrived)).(type) {
	case completed:
		return b.answer(c, admitted.fault)
	case expired:
		b.finish(result)

		return c.SendStatus(http.StatusGatewayTimeout)
	case cancelled, failed:
		b.finish(result)
	}

	return c.Drop()
}

// run waits as long as the call takes and returns how it ended.
func (b *Backend) run(c fiber.Ctx, admitted admission, deadline time.Time) callResult {
	ends := time.Now().Add(admitted.duration)
	for now := time.Now(); now.Before(ends); now = time.Now() {
		if !now.Before(deadline) {
			return expired{}
		}
		time.Sleep(min(ends.Sub(now), deadline.Sub(now), checkInterval))
		if closedByRemote(c.RequestCtx().Conn()) {
			return cancelled{}
		}
	}
	broken, err := queryServer(b, func(s *Server, now time.Time) bool { return s.Failed(now, admitted) })
	if broken || err != nil {
		return failed{}
	}

	return completed{}
}

// finish frees the call's slot.
func (b *Backend) finish(result callResult) {
	_ = updateServer(b, func(s *Server, _ time.Time) { s.Finish(result) }) // it fails only while the process stops
}

// answer sends a small body, or a large one for /pack/BYTES, whole or cut. The
// call keeps its slot until the body is sent.
func (b *Backend) answer(c fiber.Ctx, fault schema.BackendFault) error {
	size := answerSize
	if raw, ok := strings.CutPrefix(c.Path(), packPath); ok {
		if parsed, err := strconv.Atoi(raw); err == nil {
			size = parsed
		}
	}
	switch fault.Kind {
	case faultFailFast:
		b.finish(completed{})

		return c.SendStatus(http.StatusInternalServerError)
	case faultCut:
		b.cut(c, size)
	default:
		c.Response().SetBodyStream(&answerBody{left: size, finish: b.finish}, size)
	}

	return nil
}

// cut sends the head and half of the body and closes the connection.
func (b *Backend) cut(c fiber.Ctx, size int) {
	echo := strings.Clone(c.Get(HeaderEcho))
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) {
		defer b.finish(completed{})
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n", size, HeaderEcho, echo)
		_, _ = io.CopyN(conn, &answerBody{left: size}, int64(size/2)) // the answer is cut in any case
	})
}

// orderOf returns the order that a call carries, or nothing.
func orderOf(c fiber.Ctx) string {
	if name := c.Get(HeaderOrder); name != "" {
		return strings.Clone(name)
	}

	return strings.Clone(c.Get(backendhttp.HeaderOrderID))
}

// deadline returns when the call must have ended.
func deadline(c fiber.Ctx, arrived time.Time) time.Time {
	left, err := strconv.Atoi(c.Get(backendhttp.HeaderDeadline))
	if err != nil {
		return arrived.Add(time.Hour)
	}

	return arrived.Add(time.Duration(left) * time.Millisecond)
}

// answerBody is a body of a known pattern.
type answerBody struct {
	left   int
	finish func(result callResult)
}

// Read fills the buffer.
func (p *answerBody) Read(buffer []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	count := min(len(buffer), p.left)
	for i := range buffer[:count] {
		buffer[i] = 'x'
	}
	p.left -= count

	return count, nil
}

// Close ends the call, as cancelled unless the whole body was read.
func (p *answerBody) Close() error {
	if p.left > 0 {
		p.finish(cancelled{})
	} else {
		p.finish(completed{})
	}

	return nil
}
