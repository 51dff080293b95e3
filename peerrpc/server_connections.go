package peerrpc

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/sourcegraph/conc"
)

// serverConnections holds the connections that other hosts opened.
type serverConnections struct {
	server *rpc.Server
	token  string
	open   sync.Map // net.Conn to struct{}
	duties conc.WaitGroup
}

// newServerConnections returns a set without connections.
func newServerConnections(server *rpc.Server, token string) *serverConnections {
	return &serverConnections{server: server, token: token}
}

// add serves a connection until it ends.
func (s *serverConnections) add(conn net.Conn) {
	s.open.Store(conn, struct{}{})
	s.duties.Go(func() {
		defer s.open.Delete(conn)
		s.server.ServeCodec(newCodec(conn, s.token))
	})
}

// close ends all connections and waits for them.
func (s *serverConnections) close() {
	s.open.Range(func(conn, _ any) bool {
		_ = conn.(net.Conn).Close() // serving ends whether or not closing fails

		return true
	})
	s.duties.Wait()
}
