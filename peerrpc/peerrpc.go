// Package peerrpc is the transport between entry hosts: net/rpc with
// MessagePack over TCP, authenticated by a shared token. The server forwards
// each request to a duty over a ring and returns the duty's reply. Package peer
// makes the membership decisions. Change this package to change the encoding
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
	// serveTimeout limits the wait for a duty's reply to a request.
	serveTimeout = time.Second
	// serviceName is the net/rpc service name of the methods.
	serviceName = "Peer"
)

// Request is a request from another host, to be answered by a duty.
//
//sumtype:decl
type Request interface{ request() }

// DigestRequest carries another host's digest and asks for this host's.
type DigestRequest struct {
	// Digest is the other host's digest.
	Digest schema.Digest
	// Reply receives this host's digest; it must have free capacity.
	Reply *ring.Ring[schema.Digest]
}

// ConfigurationRequest asks for the configuration in force.
type ConfigurationRequest struct {
	// Reply receives the configuration; it must have free capacity.
	Reply *ring.Ring[schema.Configuration]
}

// RoomRequest asks how many calls a cell accepts from another cell.
type RoomRequest struct {
	// Cell identifies the cell by service and data centre.
	Cell schema.RoomRequest
	// Reply receives the number of calls; it must have free capacity.
	Reply *ring.Ring[schema.Room]
}

// DeclaredRequest asks for the declarations that this host has and the sender
// lacks.
type DeclaredRequest struct {
	schema.DeclaredRequest
	// Reply receives the declarations; it must have free capacity.
	Reply *ring.Ring[schema.DeclaredAnswer]
}

// PackedDeclaredAnswer is the answer of MethodDeclaredPacked.
type PackedDeclaredAnswer = Packed[schema.DeclaredAnswer, *schema.DeclaredAnswer]

// MembersRequest asks for the entry hosts that this host knows.
type MembersRequest struct {
	schema.MembersRequest
	// Reply receives the hosts; it must have free capacity.
	Reply *ring.Ring[schema.MembersAnswer]
}

func (MembersRequest) request()       {}
func (DeclaredRequest) request()      {}
func (DigestRequest) request()        {}
func (ConfigurationRequest) request() {}
func (RoomRequest) request()          {}

// Receiver holds the net/rpc methods of one kind of host.
//
//sumtype:decl
type Receiver interface{ receiver() }

// EdgePeer holds the net/rpc methods that other entry hosts of a deployment platform
// call.
type EdgePeer struct {
	requests *ring.Ring[Request]
}

// NewEdgePeer returns methods that pass requests to the duty of the ring.
func NewEdgePeer(requests *ring.Ring[Request]) *EdgePeer {
	return &EdgePeer{requests: requests}
}

func (*EdgePeer) receiver() {}

// Peer holds the net/rpc methods that other hosts call.
type Peer struct {
	*EdgePeer
}

// NewPeer returns methods that pass requests to the duty of the ring.
func NewPeer(requests *ring.Ring[Request]) *Peer {
	return &Peer{EdgePeer: NewEdgePeer(requests)}
}

// Exchange takes another host's digest and returns this host's.
func (p *Peer) Exchange(digest *schema.Digest, out *schema.Digest) error {
	reply := ring.New[schema.Digest]("digest", 1)

	return forward(p.requests, DigestRequest{Digest: *digest, Reply: reply}, reply, out)
}

// Configuration returns the configuration in force.
func (p *Peer) Configuration(_ *schema.ConfigurationRequest, out *schema.Configuration) error {
	reply := ring.New[schema.Configuration]("configuration", 1)

	return forward(p.requests, ConfigurationRequest{Reply: reply}, reply, out)
}

// Room returns how many calls a cell of this host accepts from another cell.
func (p *Peer) Room(cell *schema.RoomRequest, out *schema.Room) error {
	reply := ring.New[schema.Room]("room", 1)

	return forward(p.requests, RoomRequest{Cell: *cell, Reply: reply}, reply, out)
}

// Declared returns the declarations that this host has and the sender lacks.
func (p *EdgePeer) Declared(request *schema.DeclaredRequest, out *schema.DeclaredAnswer) error {
	reply := ring.New[schema.DeclaredAnswer]("declared", 1)

	return forward(p.requests, DeclaredRequest{DeclaredRequest: *request, Reply: reply}, reply, out)
}

// DeclaredPacked is Declared with an answer that is compressed if it is large.
func (p *EdgePeer) DeclaredPacked(request *schema.DeclaredRequest, out *PackedDeclaredAnswer) error {
	return p.Declared(request, &out.Body)
}

// Members returns the entry hosts that this host knows.
func (p *EdgePeer) Members(request *schema.MembersRequest, out *schema.MembersAnswer) error {
	reply := ring.New[schema.MembersAnswer]("members", 1)

	return forward(p.requests, MembersRequest{MembersRequest: *request, Reply: reply}, reply, out)
}

// forward offers a request to a duty and waits up to serveTimeout for the
// reply.
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

// Server passes the requests of other hosts to a duty.
type Server struct {
	// Token is the shared secret with which connections begin.
	Token string
	// MaxRequestBytes is the largest size in bytes of a request.
	MaxRequestBytes int
	// Receiver holds the methods that other hosts may call.
	Receiver Receiver
	// Answered is told of each answer, unless it is nil.
	Answered AnswerObserver
}

// Serve accepts and serves other hosts' connections until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, s.Receiver); err != nil {
		return eris.Wrap(err, "registering the peer methods")
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // Accept returns whether or not this fails
	defer stop()
	connections := newServerConnections(server, s.Token, s.MaxRequestBytes, s.Answered)
	defer connections.close()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return eris.Wrap(err, "accepting a peer connection")
		}
		connections.add(conn)
	}
}

// Methods that hosts call on each other.
const (
	// MethodExchange exchanges digests.
	MethodExchange = "Exchange"
	// MethodConfiguration returns the configuration in force.
	MethodConfiguration = "Configuration"
	// MethodRoom returns how many calls a cell accepts from another cell.
	MethodRoom = "Room"
	// MethodMembers returns the entry hosts that the receiver knows.
	MethodMembers = "Members"
	// MethodDeclared returns the declarations that the sender lacks. Hosts of earlier
	// releases call it.
	MethodDeclared = "Declared"
	// MethodDeclaredPacked is MethodDeclared with a PackedDeclaredAnswer.
	MethodDeclaredPacked = "DeclaredPacked"
)
