package callerhttp

import (
	"net"
	"time"

	"github.com/baobabdrum/baobabdrum/tcp"
)

// disconnectPollInterval is the time between checks whether a caller is still connected.
const disconnectPollInterval = 25 * time.Millisecond

// disconnected reports whether the caller has closed the connection. A caller that only
// shuts down its sending side counts as gone.
func disconnected(conn net.Conn) bool {
	return tcp.Peek(conn) == tcp.Closed
}
