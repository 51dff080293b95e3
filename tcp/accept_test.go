package tcp_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/tcp"
)

// failingListener fails with an error until tries is 0.
type failingListener struct {
	net.Listener
	err   error
	tries int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.tries == 0 {
		near, _ := net.Pipe()

		return near, nil
	}
	l.tries--

	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.err)}
}

func (*failingListener) Close() error { return nil }

func TestLastingListener(t *testing.T) {
	tests := map[string]struct {
		err     error
		survive bool
	}{
		"no descriptor in the process": {err: syscall.EMFILE, survive: true},
		"no descriptor on the machine": {err: syscall.ENFILE, survive: true},
		"connection aborted":           {err: syscall.ECONNABORTED, survive: true},
		"no buffer space":              {err: syscall.ENOBUFS, survive: true},
		"no memory":                    {err: syscall.ENOMEM, survive: true},
		"network down":                 {err: syscall.ENETDOWN, survive: true},
		"not a socket":                 {err: syscall.ENOTSOCK},
		"closed":                       {err: net.ErrClosed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const tries = 3
			failures := 0
			listener := tcp.NewLastingListener(&failingListener{err: test.err, tries: tries}, func(err error) {
				assert.Check(t, errors.Is(err, test.err))
				failures++
			})
			began := time.Now()
			conn, err := listener.Accept()
			if !test.survive {
				assert.ErrorIs(t, err, test.err)

				return
			}
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
			assert.Equal(t, failures, tries)
			assert.Assert(t, time.Since(began) >= 35*time.Millisecond, "tried again without a pause")
		})
	}
}

// TestLastingListenerCloses checks that Close ends an Accept that waits after errors.
func TestLastingListenerCloses(t *testing.T) {
	const endless = -1
	listener := tcp.NewLastingListener(&failingListener{err: syscall.EMFILE, tries: endless}, func(error) {})
	time.AfterFunc(20*time.Millisecond, func() { _ = listener.Close() })
	_, err := listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
