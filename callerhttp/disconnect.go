package callerhttp

import (
	"net"
	"time"

	"github.com/baobabdrum/baobabdrum/tcp"
)

// disconnectPollInterval is the time between checks for a caller's disconnection.
const disconnectPollInterval = 25 * time.Millisecond

// disconnected reports whether the caller has closed the connection. A caller that
// has only shut down its sending side counts as disconnected.
func disconnected(conn net.Conn) bool {
	return tcp.Peek(conn) == tcp.Closed
}
