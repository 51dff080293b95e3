package peerrpc_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	token   = "0123456789abcdef"
	timeout = 500 * time.Millisecond
)

// maxRequestBytes is the largest size in bytes of a request to the servers of these
// tests.
const maxRequestBytes = 64 << 10

// startServer starts a server that answers requests, except for the
// configuration, until the test ends, and returns its address.
func startServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	requests := ring.New[peerrpc.Request]("requests", 16)
	duties := group.New(ctx)
	duties.Go("front", func(ctx context.Context) error {
		return (&peerrpc.Server{Token: token, Receiver: peerrpc.NewPeer(requests), MaxRequestBytes: maxRequestBytes}).Serve(ctx, listener)
	})
	duties.Go("peers", func(ctx context.Context) error {
		for {
			request, err := requests.Take(ctx)
			if err != nil {
				return err
			}
			switch request := request.(type) {
			case peerrpc.DigestRequest:
				_ = request.Reply.Offer(schema.Digest{ConfigurationVersion: request.Digest.ConfigurationVersion + 1})
			case peerrpc.RoomRequest:
				_ = request.Reply.Offer(schema.Room{Free: len(request.Cell.Service)})
			case peerrpc.DeclaredRequest:
				_ = request.Reply.Offer(schema.DeclaredAnswer{OrdersAt: schema.StoreVersion{Version: len(request.Sender)}, Gone: manyIDs(request.Version)})
			case peerrpc.MembersRequest:
				_ = request.Reply.Offer(schema.MembersAnswer{Known: len(request.Sender)})
			case peerrpc.ConfigurationRequest:
				// Left without a reply, so that calls time out.
			}
		}
	})
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, duties.Wait())
	})

	return listener.Addr().String()
}

// manyIDs returns different texts of 20 bytes.
func manyIDs(count int) []string {
	ids := make([]string, 0, count)
	for i := range count {
		ids = append(ids, fmt.Sprintf("%020x", xxhash.Sum64String(strconv.Itoa(i))))
	}

	return ids
}

func TestExchange(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	tests := map[string]struct {
		token  string
		method string
		fails  bool
	}{
		"correct token":  {token: token, method: peerrpc.MethodExchange},
		"wrong token":    {token: "fedcba9876543210", method: peerrpc.MethodExchange, fails: true},
		"missing token":  {method: peerrpc.MethodExchange, fails: true},
		"unknown method": {token: token, method: "Unknown", fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := startServer(t)
			client := peerrpc.NewClient(test.token, timeout)
			defer client.Close()
			for version := range 3 {
				var heard schema.Digest
				err := peerrpc.Call(context.Background(), client, address, test.method,
					&schema.Digest{ConfigurationVersion: version}, &heard)
				assert.Equal(t, err != nil, test.fails)
				if !test.fails {
					assert.Equal(t, heard.ConfigurationVersion, version+1)
				}
			}
		})
	}
}

// TestCallEndsInTime guards against a call that hangs because the server
// accepts the request and never replies.
func TestCallEndsInTime(t *testing.T) {
	address := startServer(t)
	client := peerrpc.NewClient(token, timeout)
	defer client.Close()
	began := time.Now()
	var read schema.Configuration
	err := peerrpc.Call(context.Background(), client, address, peerrpc.MethodConfiguration, &schema.ConfigurationRequest{}, &read)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 10*timeout)
}

// Guards against a stopping host that waits for the answer of another one, until it is
// killed.
func TestCallEndsWithItsContext(t *testing.T) {
	address := startServer(t)
	const longTimeout = 10 * time.Second
	client := peerrpc.NewClient(token, longTimeout)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	var read schema.Configuration
	err := peerrpc.Call(ctx, client, address, peerrpc.MethodConfiguration, &schema.ConfigurationRequest{}, &read)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond, "the call ended after %s", time.Since(began))
}

// startBoundedServer starts a server with a bounded set of connections, which it closes
// when they have been idle. It answers requests for members until the test ends.
func startBoundedServer(t *testing.T, bound int, idle time.Duration) (string, *tcp.ConnectionSet) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	requests := ring.New[peerrpc.Request]("requests", 16)
	timeouts := tcp.ConnectionTimeouts{Header: time.Second, Idle: idle}
	events := tcp.IgnoreConnections()
	set := tcp.NewConnectionSet(bound, func() tcp.ConnectionTimeouts { return timeouts }, events, nil)
	ctx, cancel := context.WithCancel(context.Background())
	duties := group.New(ctx)
	duties.Go("front", func(ctx context.Context) error {
		server := &peerrpc.Server{Token: token, Receiver: peerrpc.NewPeer(requests), MaxRequestBytes: maxRequestBytes}

		return server.Serve(ctx, tcp.NewBoundedListener(tcp.NewLingeringListener(listener.(*net.TCPListener)), set))
	})
	duties.Go("peers", func(ctx context.Context) error {
		for {
			request, err := requests.Take(ctx)
			if err != nil {
				return err
			}
			_ = request.(peerrpc.MembersRequest).Reply.Offer(schema.MembersAnswer{Known: 1})
		}
	})
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, duties.Wait())
	})

	return listener.Addr().String(), set
}

// askMembers asks a server for its members.
func askMembers(t *testing.T, client *peerrpc.Client, address string) {
	t.Helper()
	var answer schema.MembersAnswer
	assert.NilError(t, peerrpc.Call(t.Context(), client, address, peerrpc.MethodMembers, &schema.MembersRequest{}, &answer))
	assert.Equal(t, answer.Known, 1)
}

// Guards against a call that fails because the other host has closed a connection that
// was idle.
func TestCallOnAClosedConnectionIsRepeated(t *testing.T) {
	address, _ := startBoundedServer(t, 2, 50*time.Millisecond)
	client := peerrpc.NewClient(token, timeout)
	defer client.Close()
	for _, idle := range []time.Duration{0, 0, 200 * time.Millisecond, 0, 200 * time.Millisecond} {
		time.Sleep(idle)
		askMembers(t, client, address)
	}
}

// Guards against a host whose descriptors other hosts use up: clients that keep their
// connections, and strangers that send nothing.
func TestConnectionsAreBounded(t *testing.T) {
	const bound = 4
	address, set := startBoundedServer(t, bound, time.Minute)
	for range 3 * bound {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		client := peerrpc.NewClient(token, timeout)
		defer client.Close()
		askMembers(t, client, address)
		assert.Assert(t, set.Open() <= bound, "%d connections are open", set.Open())
	}
}

func FuzzDigest(f *testing.F) {
	for _, digest := range []schema.Digest{
		{},
		{Sender: schema.Host{Name: "mu-north-1", State: schema.HostStateLive}, ConfigurationVersion: 3},
		{Hosts: []schema.Host{{Name: "a"}, {Name: "b"}}, Heartbeats: []schema.Heartbeat{{HostHash: 1 << 31, Counter: 9}}},
		{Overrides: []schema.Override{{DataCentre: "mu-north", State: schema.DataCentreStateOut}}},
	} {
		raw, err := digest.MarshalMsg(nil)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Add([]byte{0x97, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var digest schema.Digest
		if digest.DecodeMsg(msgp.NewReader(bytes.NewReader(raw))) != nil {
			return
		}
		encoded, err := digest.MarshalMsg(nil)
		assert.NilError(t, err)
		var again schema.Digest
		_, err = again.UnmarshalMsg(encoded)
		assert.NilError(t, err)
		reencoded, err := again.MarshalMsg(nil)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(encoded, reencoded))
	})
}

func FuzzConnection(f *testing.F) {
	f.Add([]byte("\xb00123456789abcdef\xadPeer.Exchange\x01\xa0\xc0"))
	f.Add([]byte("\xb00123456789abcdef\xdb\xff\xff\xff\xff"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		duties := group.New(ctx)
		requests := ring.New[peerrpc.Request]("requests", 1)
		duties.Go("front", func(ctx context.Context) error {
			return (&peerrpc.Server{Token: token, Receiver: peerrpc.NewPeer(requests), MaxRequestBytes: maxRequestBytes}).Serve(ctx, listener)
		})
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, _ = conn.Write(raw) // the server may close first
		_ = conn.Close()
		cancel()
		assert.NilError(t, duties.Wait())
	})
}
