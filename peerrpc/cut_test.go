package peerrpc_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/schema"
)

// maxAnswer is the number of bytes above which an answer in these tests is not cut.
const maxAnswer = 1 << 20

// cuttingProxy passes one connection on to an address and closes it after some bytes
// of the answers.
type cuttingProxy struct {
	address string
	// passed is the number of bytes of the answers that were passed on, and rate how many
	// are in a second, or 0 for no limit.
	passed int64
	rate   int
	copies sync.WaitGroup
}

// startProxy starts a proxy that passes on a number of bytes of the answers.
func startProxy(t *testing.T, address string, bytes int64) *cuttingProxy {
	t.Helper()

	return startSlowProxy(t, address, bytes, 0)
}

// copySlowly copies a number of bytes at a rate in bytes per second and returns how many
// were copied.
func copySlowly(to io.Writer, from io.Reader, bytes int64, rate int) int64 {
	const interval = 20 * time.Millisecond
	var copied int64
	for copied < bytes {
		part, err := io.CopyN(to, from, min(bytes-copied, int64(rate)*int64(interval)/int64(time.Second)))
		copied += part
		if err != nil {
			break
		}
		time.Sleep(interval)
	}

	return copied
}

// startSlowProxy is like startProxy, with a rate in bytes per second unless it is 0.
func startSlowProxy(t *testing.T, address string, bytes int64, rate int) *cuttingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	proxy := &cuttingProxy{address: listener.Addr().String(), rate: rate}
	proxy.copies.Go(func() {
		near, err := listener.Accept()
		_ = listener.Close()
		if err != nil {
			return
		}
		defer near.Close()
		far, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer far.Close()
		proxy.copies.Go(func() {
			_, _ = io.Copy(far, near)
			_ = far.Close()
		})
		if proxy.rate > 0 {
			proxy.passed = copySlowly(near, far, bytes, proxy.rate)
		} else {
			proxy.passed, _ = io.CopyN(near, far, bytes)
		}
	})

	return proxy
}

// callThrough calls a host through a proxy and returns the number of bytes of the
// answer that passed.
func callThrough(t *testing.T, address string, bytes int64) (schema.MembersAnswer, int64, error) {
	t.Helper()
	proxy := startProxy(t, address, bytes)
	client := peerrpc.NewClient(token, timeout)
	var answer schema.MembersAnswer
	err := peerrpc.Call(context.Background(), client, proxy.address, peerrpc.MethodMembers, &schema.MembersRequest{Sender: "host"}, &answer)
	client.Close()
	proxy.copies.Wait()

	return answer, proxy.passed, err
}

// Guards against an answer of another host that broke off at any byte, and that is
// taken for a complete one.
func TestCutAnswersAreNotTaken(t *testing.T) {
	address := startServer(t)
	answer, whole, err := callThrough(t, address, maxAnswer)
	assert.NilError(t, err)
	assert.Equal(t, answer.Known, 4)
	for cut := range whole {
		_, _, err := callThrough(t, address, cut)
		assert.Assert(t, err != nil, "%d bytes of %d were taken", cut, whole)
	}
}
