package main

import (
	"net"
	"sync/atomic"
	"time"
)

// proxy forwards connections to an address. While it is cut, it forwards nothing
// and closes nothing, as a partition does.
type proxy struct {
	address string
	cut     atomic.Bool
}

func newProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn, target)
		}
	}()

	return p, nil
}

func (p *proxy) forward(conn net.Conn, target string) {
	p.wait()
	other, err := net.Dial("tcp4", target)
	if err != nil {
		_ = conn.Close()

		return
	}
	go p.copy(conn, other)
	p.copy(other, conn)
}

// wait returns when the link is not cut.
func (p *proxy) wait() {
	for p.cut.Load() {
		time.Sleep(time.Millisecond)
	}
}

func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		p.wait()
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
