package callerhttp

import (
	"net"
	"syscall"
	"time"
)

// goneInterval is the time between checks whether a caller is still connected.
const goneInterval = 25 * time.Millisecond

// gone reports whether the other side has closed the connection. It reads
// nothing from it. A caller that only shuts down its sending side counts as
// gone.
func gone(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	peek := func(descriptor uintptr) bool {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = count == 0 && err == nil || err == syscall.ECONNRESET

		return true
	}

	return raw.Read(peek) != nil || closed
}
