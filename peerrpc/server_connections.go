package peerrpc

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/sourcegraph/conc"
)

// serverConnections tracks the open connections of other hosts, so that they
// can be closed at shutdown.
type serverConnections struct {
	server *rpc.Server
	token  string
	limit  int
	// answered is told of each answer, unless it is nil.
	answered AnswerObserver
	open     sync.Map // net.Conn to struct{}
	duties   conc.WaitGroup
}

// newServerConnections returns an empty set of connections.
func newServerConnections(server *rpc.Server, token string, limit int, answered AnswerObserver) *serverConnections {
	return &serverConnections{server: server, token: token, limit: limit, answered: answered}
}

// add starts serving a connection on a goroutine of its own.
func (s *serverConnections) add(conn net.Conn) {
	s.open.Store(conn, struct{}{})
	s.duties.Go(func() {
		defer s.open.Delete(conn)
		served := newCodec(conn, s.token, s.limit)
		served.answered = s.answered
		s.server.ServeCodec(served)
	})
}

// close closes all connections and waits until none is served.
func (s *serverConnections) close() {
	s.open.Range(func(conn, _ any) bool {
		_ = conn.(net.Conn).Close() // serving ends whether or not Close fails

		return true
	})
	s.duties.Wait()
}
