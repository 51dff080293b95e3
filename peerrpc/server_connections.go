package peerrpc

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/sourcegraph/conc"
)

// serving holds the connections that other hosts opened.
type serving struct {
	server *rpc.Server
	token  string
	open   sync.Map // net.Conn to struct{}
	duties conc.WaitGroup
}

// newServing returns a set without connections.
func newServing(server *rpc.Server, token string) *serving {
	return &serving{server: server, token: token}
}

// add serves a connection until it ends.
func (s *serving) add(conn net.Conn) {
	s.open.Store(conn, struct{}{})
	s.duties.Go(func() {
		defer s.open.Delete(conn)
		s.server.ServeCodec(newCodec(conn, s.token))
	})
}

// close ends all connections and waits for them.
func (s *serving) close() {
	s.open.Range(func(conn, _ any) bool {
		_ = conn.(net.Conn).Close() // serving ends whether or not closing fails

		return true
	})
	s.duties.Wait()
}
