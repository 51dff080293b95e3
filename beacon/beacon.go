// Package beacon carries beacons between entry hosts as datagrams with
// MessagePack. A beacon that is lost is followed by a newer one, so nothing is
// sent again. It decides nothing. Change this package to change how beacons
// are encoded.
package beacon

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// maxDatagramBytes bounds a datagram in bytes.
const maxDatagramBytes = 60 << 10

// Datagram is a beacon for some hosts.
type Datagram struct {
	// Beacon is the beacon.
	Beacon schema.Beacon
	// Addresses are ip:port of the receivers.
	Addresses []string
}

// Socket sends and receives beacons.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket at an ip:port.
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

// Close closes the socket.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// Receive passes received beacons on until the context ends. Datagrams that
// are no beacons are given to malformed.
func (s *Socket) Receive(ctx context.Context, handle func(schema.Beacon), malformed func(error)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // receiving ends whether or not this fails
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return eris.Wrap(err, "receiving beacons")
		case err != nil:
			malformed(err)

			continue
		}
		heard, err := Decode(buffer[:count])
		if err != nil {
			malformed(err)

			continue
		}
		handle(heard)
	}
}

// Send sends beacons until the context ends. A beacon that cannot be sent is
// given to failed.
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
