// Package peerrpc carries messages between entry hosts by net/rpc with
// MessagePack. It decides nothing. Change this package to change the encoding
// between hosts.
package peerrpc

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// serveTimeout bounds the wait for a duty's reply to another host.
	serveTimeout = time.Second
	// serviceName is the name under which net/rpc finds the methods.
	serviceName = "Peer"
)

// Request is what another host asks.
//
//sumtype:decl
type Request interface{ request() }

// DigestRequest brings another host's digest.
type DigestRequest struct {
	// Digest is the other host's digest.
	Digest schema.Digest
	// Reply receives this host's digest; it must have room.
	Reply *ring.Ring[schema.Digest]
}

// ConfigurationRequest asks for the configuration in force.
type ConfigurationRequest struct {
	// Reply receives the configuration; it must have room.
	Reply *ring.Ring[schema.Configuration]
}

// RoomRequest asks how many calls a cell takes from another cell.
type RoomRequest struct {
	// Cell names the cell.
	Cell schema.RoomRequest
	// Reply receives the number; it must have room.
	Reply *ring.Ring[schema.Room]
}

// DeclaredRequest asks for what the host knows to be declared beyond what the
// sender knows.
type DeclaredRequest struct {
	schema.DeclaredRequest
	// Reply receives it; it must have room.
	Reply *ring.Ring[schema.DeclaredAnswer]
}

func (DeclaredRequest) request()      {}
func (DigestRequest) request()        {}
func (ConfigurationRequest) request() {}
func (RoomRequest) request()          {}

// Peer holds the methods that other hosts call.
type Peer struct {
	requests *ring.Ring[Request]
}

// Exchange trades digests.
func (p *Peer) Exchange(digest *schema.Digest, out *schema.Digest) error {
	reply := ring.New[schema.Digest]("digest", 1)

	return forward(p.requests, DigestRequest{Digest: *digest, Reply: reply}, reply, out)
}

// Configuration returns the configuration in force.
func (p *Peer) Configuration(_ *schema.ConfigurationRequest, out *schema.Configuration) error {
	reply := ring.New[schema.Configuration]("configuration", 1)

	return forward(p.requests, ConfigurationRequest{Reply: reply}, reply, out)
}

// Room returns how many calls a cell of this host takes from another cell.
func (p *Peer) Room(cell *schema.RoomRequest, out *schema.Room) error {
	reply := ring.New[schema.Room]("room", 1)

	return forward(p.requests, RoomRequest{Cell: *cell, Reply: reply}, reply, out)
}

// Declared returns what this host knows to be declared beyond what the sender
// knows.
func (p *Peer) Declared(request *schema.DeclaredRequest, out *schema.DeclaredAnswer) error {
	reply := ring.New[schema.DeclaredAnswer]("declared", 1)

	return forward(p.requests, DeclaredRequest{DeclaredRequest: *request, Reply: reply}, reply, out)
}

// forward offers a request to a duty and waits for its reply.
func forward[Out any](requests *ring.Ring[Request], request Request, reply *ring.Ring[Out], out *Out) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	if err := requests.Offer(request); err != nil {
		return err
	}
	response, err := reply.Take(ctx)
	*out = response

	return err
}

// Serve accepts other hosts' connections until the context ends.
func Serve(ctx context.Context, listener net.Listener, token string, requests *ring.Ring[Request]) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Peer{requests: requests}); err != nil {
		return eris.Wrap(err, "registering the methods for peers")
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // accepting ends whether or not this fails
	defer stop()
	connections := newServerConnections(server, token)
	defer connections.close()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return eris.Wrap(err, "accepting a peer's connection")
		}
		connections.add(conn)
	}
}

// Methods that hosts call on each other.
const (
	// MethodExchange trades digests.
	MethodExchange = "Exchange"
	// MethodConfiguration returns the configuration in force.
	MethodConfiguration = "Configuration"
	// MethodRoom returns how many calls a cell takes from another cell.
	MethodRoom = "Room"
	// MethodDeclared returns what a host knows to be declared.
	MethodDeclared = "Declared"
)
