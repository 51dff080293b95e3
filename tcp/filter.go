package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// flagsOffset is the offset in bytes of the flags in a TCP header.
	flagsOffset = 13
	// flagSYN and flagACK are flags of a TCP header.
	flagSYN, flagACK = 0x02, 0x10
	// acceptAll is the number of bytes of a packet that a filter keeps.
	acceptAll = 0xffffffff
)

// dropNewConnections has the kernel drop the first packet of new connections to a
// listening socket. Handshakes in progress still complete. The remote side sends its
// first packet again after a second.
func dropNewConnections(raw syscall.RawConn) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 0, Jf: 1, K: flagSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]} //nolint:gosec // the filter is short
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})

	return errors.Join(err, failure)
}

// Listen listens on an address. Multipath TCP is off, because its sockets support no
// filters.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(ctx, "tcp4", address)

	return listener, eris.Wrapf(err, "listening on %s", address)
}
