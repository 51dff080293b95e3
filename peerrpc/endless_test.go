package peerrpc_test

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// endlessBytes is the largest number of bytes that a side may send of one message,
	// those in the buffers of the kernel included.
	endlessBytes = 24 << 20
	// endlessHeap is the largest growth of the heap in bytes, both sides included.
	endlessHeap = 48 << 20
)

// message returns what write writes.
func message(write func(out *msgp.Writer) error) []byte {
	var encoded bytes.Buffer
	out := msgp.NewWriter(&encoded)
	if err := write(out); err != nil {
		panic(err)
	}
	if err := out.Flush(); err != nil {
		panic(err)
	}

	return encoded.Bytes()
}

// head returns the beginning of a request or an answer, which bodies follow.
func head(method, failure string) []byte {
	return message(func(out *msgp.Writer) error {
		return errorsOf(out.WriteString(method), out.WriteUint64(0), out.WriteString(failure))
	})
}

func errorsOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}

	return nil
}

// endlessMessage is a message without end: a first part, and one that repeats.
type endlessMessage struct{ first, repeated []byte }

// send sends it until the other side closes the connection, for 4 s at most, and
// returns how many bytes it sent.
func (m endlessMessage) send(conn net.Conn) (sent int) {
	_ = conn.SetWriteDeadline(time.Now().Add(4 * time.Second)) // fails only on a closed connection
	block := bytes.Repeat(m.repeated, 1+(64<<10)/len(m.repeated))
	sent, err := conn.Write(m.first)
	for err == nil {
		var count int
		count, err = conn.Write(block)
		sent += count
	}

	return sent
}

// largestHeap returns the growth of the heap in bytes while run runs.
func largestHeap(run func()) uint64 {
	var before, stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var largest atomic.Uint64
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			runtime.ReadMemStats(&stats)
			largest.Store(max(largest.Load(), stats.HeapAlloc))
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	run()
	close(done)
	watch.Wait()

	return max(largest.Load(), before.HeapAlloc) - before.HeapAlloc
}

// tuple returns the header of a tuple.
func tuple(fields uint32) []byte {
	return message(func(out *msgp.Writer) error { return out.WriteArrayHeader(fields) })
}

// Guards against a host that keeps or reads without end what another one sends as a
// single message.
func TestRequestsWithoutEnd(t *testing.T) {
	opening := message(func(out *msgp.Writer) error { return out.WriteString(token) })
	digest := bytes.Join([][]byte{opening, requestHead(peerrpc.MethodExchange), tuple(7), {0}}, nil)
	tests := map[string]endlessMessage{
		"token":                       {first: []byte("\xdb\xff\xff\xff\xff"), repeated: []byte("x")},
		"method":                      {first: append(bytes.Clone(opening), "\xdb\xff\xff\xff\xff"...), repeated: []byte("x")},
		"list of records":             {first: append(bytes.Clone(digest), "\xdd\x00\x0f\xff\xff"...), repeated: []byte("\x92\x01\x01")},
		"list that is only announced": {first: append(bytes.Clone(digest), "\xdd\x00\x0f\xff\xff"...), repeated: []byte("\xc1")},
		"nested lists":                {first: digest, repeated: []byte("\x91")},
		"binary of an unknown method": {first: append(append(bytes.Clone(opening), requestHead("Odd")...), "\xc6\xff\xff\xff\xff"...), repeated: []byte("x")},
		"list of an unknown method":   {first: append(append(bytes.Clone(opening), requestHead("Odd")...), "\xdd\xff\xff\xff\xff"...), repeated: []byte("\x01")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := startServer(t)
			sent := 0
			grown := largestHeap(func() {
				conn, err := net.Dial("tcp", address)
				assert.NilError(t, err)
				defer conn.Close()
				sent = test.send(conn)
			})
			assert.Assert(t, sent < endlessBytes, "the host read %d bytes of one message", sent)
			assert.Assert(t, grown < endlessHeap, "the heap grew by %d bytes", grown)
			client := peerrpc.NewClient(token, timeout)
			defer client.Close()
			var answer schema.MembersAnswer
			assert.NilError(t, peerrpc.Call(context.Background(), client, address, peerrpc.MethodMembers, &schema.MembersRequest{Sender: "a"}, &answer))
		})
	}
}

// requestHead returns the part of a request between the token and its body.
func requestHead(method string) []byte {
	return head("Peer."+method, "")
}

// answerWithoutEnd starts a host that sends a message to the first connection, and
// returns its address. The channel receives how many bytes it sent.
func answerWithoutEnd(t *testing.T, message endlessMessage) (address string, sent <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() }) // no one else connects
	count := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			count <- 0

			return
		}
		defer conn.Close()
		count <- message.send(conn)
	}()

	return listener.Addr().String(), count
}

// Guards against a host that reads without end what another one sends on a connection
// without a request.
func TestAnswersWithoutARequestEndTheConnection(t *testing.T) {
	answer := append(head("Peer."+peerrpc.MethodMembers, ""), message((&schema.MembersAnswer{Known: 1}).EncodeMsg)...)
	address, sent := answerWithoutEnd(t, endlessMessage{first: answer, repeated: answer})
	client := peerrpc.NewClient(token, timeout)
	defer client.Close()
	var members schema.MembersAnswer
	assert.NilError(t, peerrpc.Call(context.Background(), client, address, peerrpc.MethodMembers, &schema.MembersRequest{}, &members))
	assert.Equal(t, members.Known, 1)
	assert.Assert(t, <-sent < endlessBytes, "the host read on without a request")
}

// Guards against a host that keeps what another one answers without end.
func TestAnswersOfPeersWithoutEnd(t *testing.T) {
	hosts := append(head("Peer."+peerrpc.MethodMembers, ""), "\x81\xa5hosts\xdd\x00\x0f\xff\xff"...)
	tests := map[string]endlessMessage{
		"method":  {first: []byte("\xdb\xff\xff\xff\xff"), repeated: []byte("x")},
		"failure": {first: append(head("Peer."+peerrpc.MethodMembers, strings.Repeat("x", 60_000)), "\xdb\xff\xff\xff\xff"...), repeated: []byte("x")},
		"list of hosts": {first: hosts, repeated: message(func(out *msgp.Writer) error {
			host := schema.KnownHost{PeerAddress: strings.Repeat("x", 1000)}

			return host.EncodeMsg(out)
		})},
		"list that is only announced": {first: hosts, repeated: []byte("\xc1")},
		"answers to nothing":          {first: nil, repeated: append(head("Peer."+peerrpc.MethodMembers, ""), "\xc0"...)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, sent := answerWithoutEnd(t, test)
			client := peerrpc.NewClient(token, timeout)
			defer client.Close()
			grown := largestHeap(func() {
				var answer schema.MembersAnswer
				err := peerrpc.Call(context.Background(), client, address, peerrpc.MethodMembers, &schema.MembersRequest{}, &answer)
				assert.Assert(t, err != nil)
				client.Close()
			})
			assert.Assert(t, grown < endlessHeap, "the heap grew by %d bytes", grown)
			assert.Assert(t, <-sent < endlessBytes, "the host read too much of one answer")
		})
	}
}
