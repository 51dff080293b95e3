package callerhttp

import (
	"net"
	"time"

	"github.com/baobabdrum/baobabdrum/tcp"
)

// goneInterval is the time between checks whether a caller is still connected.
const goneInterval = 25 * time.Millisecond

// gone reports whether the caller has closed the connection. A caller that only
// shuts down its sending side counts as gone.
func gone(conn net.Conn) bool {
	return tcp.Peek(conn) == tcp.Closed
}
