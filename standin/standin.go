// Package standin implements stand-ins for the processes around baobabdrum: the
// platform, backend servers and callers. A test injects faults into the
// platform and backend servers through their control addresses. The product
// does not import this package.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Exit codes of all stand-ins.
const (
	exitFailed  = 1
	exitInvalid = 2
)

// Main parses the flags, validates the settings and runs the stand-in until it
// ends or the process receives SIGINT or SIGTERM.
func Main[Flags, Settings any](check func(f Flags) (Settings, []schema.Fault), run func(ctx context.Context, s Settings) error) {
	var raw Flags
	parser := flags.NewParser(&raw, flags.Default)
	if _, err := parser.Parse(); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitInvalid)
	}
	settings, faults := check(raw)
	if len(faults) > 0 {
		_, _ = os.Stderr.WriteString((&schema.InvalidError{Input: "settings", Faults: faults}).Error() + "\n")
		os.Exit(exitInvalid)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx, settings)
	cancel()
	if err != nil {
		_, _ = os.Stderr.WriteString(eris.ToString(err, false) + "\n")
		os.Exit(exitFailed)
	}
}

// shutdownTimeout is how long a shutdown waits for in-flight calls.
const shutdownTimeout = time.Second

// newApp returns an HTTP application that sends errors as plain text.
func newApp() *fiber.App {
	return fiber.New(fiber.Config{AppName: "standin", BodyLimit: 64 << 20})
}

// serve adds a duty for each application, keyed by its listen address.
func serve(duties *group.Group, apps map[string]*fiber.App) error {
	for address, app := range apps {
		unlimited := func(listener net.Listener) net.Listener { return listener }
		if err := serveLimited(duties, address, app, unlimited); err != nil {
			return err
		}
	}

	return nil
}

// serveLimited adds a duty that serves an application on the listener that
// limit wraps around the TCP listener.
func serveLimited(duties *group.Group, address string, app *fiber.App, limit func(inner net.Listener) net.Listener) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", address)
	}
	duties.Go("front "+address, func(ctx context.Context) error {
		return app.Listener(limit(listener), fiber.ListenConfig{
			DisableStartupMessage: true, GracefulContext: ctx, ShutdownTimeout: shutdownTimeout,
		})
	})

	return nil
}

// respond sends a message as JSON.
func respond(c fiber.Ctx, status int, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encoding a response")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)

	return c.Status(status).Send(body)
}

// decodeBody decodes the JSON request body. Its errors carry status 400.
func decodeBody[In any](c fiber.Ctx) (In, error) {
	var in In
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return in, fiber.NewError(http.StatusBadRequest, err.Error())
	}

	return in, nil
}
