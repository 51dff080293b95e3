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

// HeaderEcho is the header field that the server copies from the request to the
// answer, so that a caller can detect an answer to another request.
const HeaderEcho = "Echo"

// HeaderOrder is the request header field with the name of an order.
const HeaderOrder = "Order"

const (
	// answerSize is the size in bytes of a small answer.
	answerSize = 64
	// packPath is the path prefix of large answers; the size in bytes follows.
	packPath = "/pack/"
	// checkInterval is the time between checks whether the caller has closed
	// the connection of a running call.
	checkInterval = 10 * time.Millisecond
)

// call handles a call: it asks for admission, waits for the service time and
// sends the answer.
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

// run waits for the service time of the call and returns its result.
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

// finish frees the slot of the call and counts its result.
func (b *Backend) finish(result callResult) {
	_ = updateServer(b, func(s *Server, _ time.Time) { s.Finish(result) }) // fails only during shutdown
}

// answer sends a small body, or one of the given size for /pack/BYTES. A cut
// fault truncates the body. The call keeps its slot until the body is sent.
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

// cut sends the header and half of the body and closes the connection.
func (b *Backend) cut(c fiber.Ctx, size int) {
	echo := strings.Clone(c.Get(HeaderEcho))
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) {
		defer b.finish(completed{})
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n", size, HeaderEcho, echo)
		_, _ = io.CopyN(conn, &answerBody{left: size}, int64(size/2)) // the answer is truncated in any case
	})
}

// orderOf returns the order name or else the order id of a call, or "" if it is
// not an order.
func orderOf(c fiber.Ctx) string {
	if name := c.Get(HeaderOrder); name != "" {
		return strings.Clone(name)
	}

	return strings.Clone(c.Get(backendhttp.HeaderOrderID))
}

// deadline returns the deadline of a call. A call without a valid deadline
// header gets one hour.
func deadline(c fiber.Ctx, arrived time.Time) time.Time {
	left, err := strconv.Atoi(c.Get(backendhttp.HeaderDeadline))
	if err != nil {
		return arrived.Add(time.Hour)
	}

	return arrived.Add(time.Duration(left) * time.Millisecond)
}

// answerBody generates an answer body of the letter x and counts the call as
// finished when it is closed.
type answerBody struct {
	left   int
	finish func(result callResult)
}

// Read fills the buffer with as many of the remaining bytes as fit.
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

// Close finishes the call: as completed if the whole body was read, else as
// cancelled.
func (p *answerBody) Close() error {
	if p.left > 0 {
		p.finish(cancelled{})
	} else {
		p.finish(completed{})
	}

	return nil
}
