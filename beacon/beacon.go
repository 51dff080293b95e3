// Package beacon sends and receives the entry hosts' beacons as MessagePack over
// UDP. It rejects datagrams with invalid fields and makes no other decision. Lost
// beacons are not retransmitted, because a newer one follows. Change this package
// to change how beacons are encoded.
package beacon

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// maxDatagramBytes is the maximum size of a received datagram in bytes.
const maxDatagramBytes = 60 << 10

// receiveRetryDelay is the time after a failure to receive until the next try, so that a
// failure that lasts does not keep the processor busy.
const receiveRetryDelay = 20 * time.Millisecond

// Datagram is a beacon with its receivers.
type Datagram struct {
	// Beacon is the beacon to encode and send.
	Beacon schema.Beacon
	// Addresses are the ip:port of the receivers.
	Addresses []string
}

// Socket is a UDP socket that sends and receives beacons.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket at an ip:port of IPv4.
func Listen(address string) (*Socket, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "resolving %s", address)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, eris.Wrapf(err, "listening for beacons on %s", address)
	}

	return &Socket{conn: conn}, nil
}

// Close closes the socket, which ends Receive.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// Receive passes received beacons to handle until the context ends. Datagrams that
// are not valid beacons, and failures to receive, are reported to failed.
func (s *Socket) Receive(ctx context.Context, handle func(schema.Beacon), failed func(error)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // Receive ends even if closing fails
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return eris.Wrap(err, "receiving beacons")
		case err != nil:
			failed(err)
			select {
			case <-ctx.Done():
			case <-time.After(receiveRetryDelay):
			}

			continue
		}
		received, err := Decode(buffer[:count])
		if err != nil {
			failed(err)

			continue
		}
		handle(received)
	}
}

// Send sends the beacons from a ring until the context ends. Errors of encoding and
// sending are reported to failed.
func (s *Socket) Send(ctx context.Context, datagrams *ring.Ring[Datagram], failed func(error)) error {
	var buffer []byte
	for {
		next, err := datagrams.Take(ctx)
		if err != nil {
			return err
		}
		buffer, err = next.Beacon.MarshalMsg(buffer[:0])
		if err != nil {
			failed(err)

			continue
		}
		for _, address := range next.Addresses {
			to, err := netip.ParseAddrPort(address)
			if err == nil {
				_, err = s.conn.WriteToUDPAddrPort(buffer, to)
			}
			if err != nil && ctx.Err() == nil {
				failed(err)
			}
		}
	}
}
