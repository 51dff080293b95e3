package edge

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/tcp"
)

// Guards against a process that stays after its planned stop until the probes in
// flight time out, and reads requests meanwhile that nobody answers.
func TestProbesEndWithTheHost(t *testing.T) {
	listener, err := tcp.Listen(t.Context(), "127.0.0.1:0") // nobody accepts
	assert.NilError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	duty := &prober{connections: backendhttp.NewConnections(1)}
	began := time.Now()
	ended := duty.probe(ctx, placement.Probe{Server: "a", Address: listener.Addr().String(), Path: "/", Connections: 1, Timeout: 2 * time.Second})
	assert.Assert(t, !ended.Answered)
	assert.Assert(t, time.Since(began) < time.Second, "the probe took %s", time.Since(began))
}
