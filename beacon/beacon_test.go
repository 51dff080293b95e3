package beacon_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

func TestReceiveRejectsMalformedDatagrams(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	address := conn.LocalAddr().String()
	assert.NilError(t, conn.Close())
	socket, err := beacon.Listen(address)
	assert.NilError(t, err)

	ctx, cancel := context.WithCancel(context.Background())
	heard, malformed := make(chan schema.Beacon, 1), make(chan error, 1)
	ended := make(chan error, 2)
	datagrams := ring.New[beacon.Datagram]("beacons", 1)
	go func() {
		ended <- socket.Receive(ctx, func(b schema.Beacon) { heard <- b }, func(err error) { malformed <- err })
	}()
	go func() { ended <- socket.Send(ctx, datagrams, func(error) {}) }()

	sender, err := net.Dial("udp4", address)
	assert.NilError(t, err)
	_, err = sender.Write([]byte("no beacon"))
	assert.NilError(t, err)
	select {
	case err := <-malformed:
		assert.Assert(t, err != nil)
	case <-time.After(2 * time.Second):
		t.Fatal("the malformed datagram was not reported within 2 s")
	}

	sent := validBeacon()
	assert.NilError(t, datagrams.Offer(beacon.Datagram{Beacon: sent, Addresses: []string{"no address", address}}))
	select {
	case got := <-heard:
		assert.DeepEqual(t, got, sent)
	case <-time.After(2 * time.Second):
		t.Fatal("the beacon was not received within 2 s")
	}
	cancel()
	for range 2 {
		assert.Assert(t, <-ended != nil)
	}
}
