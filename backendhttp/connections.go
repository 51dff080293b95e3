package backendhttp

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/baobabdrum/baobabdrum/ring"
)

// LimitError reports that every connection to an address is in use.
type LimitError struct {
	// Address is the ip:port.
	Address string
	// Limit is the number of connections.
	Limit int
}

// Error names the address and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("all %d connections to %s are in use", e.Limit, e.Address)
}

// Connections holds a bounded number of connections to each address. It is the
// one structure that senders share beside their rings: a lookup from address to
// two rings, whose items one duty owns from Acquire to Release.
type Connections struct {
	// Limit bounds the connections to each address that has no limit of its own.
	Limit int

	pools sync.Map // address to *addressPool
}

// addressPool is the connections to one address. Each connection is in idle if it is
// open, in places if it is not, or taken by a duty.
type addressPool struct {
	limit   int
	idle    *ring.Ring[*Connection]
	closed  *ring.Ring[*Connection]
	retired atomic.Bool
}

// newAddressPool returns a pool that has opened none of its connections.
func newAddressPool(address string, limit int) *addressPool {
	pool := &addressPool{
		limit:  limit,
		idle:   ring.New[*Connection]("idle connections", limit),
		closed: ring.New[*Connection]("connections", limit),
	}
	for range limit {
		connection := NewConnection(address)
		connection.pool = pool
		_ = pool.closed.Offer(connection) // it has room for all connections
	}

	return pool
}

// release makes a connection available again.
func (p *addressPool) release(connection *Connection) {
	if connection.conn == nil {
		_ = p.closed.Offer(connection) // it has room for all connections

		return
	}
	_ = p.idle.Offer(connection) // it has room for all connections
	if p.retired.Load() {
		p.closeIdle()
	}
}

// retire closes the idle connections, and the others once they are released.
func (p *addressPool) retire() {
	p.retired.Store(true)
	p.closeIdle()
}

// check closes the idle connections that can't be used any more.
func (p *addressPool) check() {
	for range p.idle.Depth() {
		connection, ok := p.idle.Poll()
		if !ok {
			return
		}
		connection.Check()
		p.release(connection)
	}
}

// closeIdle closes the idle connections.
func (p *addressPool) closeIdle() {
	for connection, ok := p.idle.Poll(); ok; connection, ok = p.idle.Poll() {
		connection.Close()
		_ = p.closed.Offer(connection) // it has room for all connections
	}
}

// NewConnections returns a set that opens at most limit connections to each
// address that is not declared.
func NewConnections(limit int) *Connections {
	return &Connections{Limit: limit}
}

// Declare bounds the connections to an address. When the bound changes, the
// connections in use under the old one are closed as they are released.
func (c *Connections) Declare(address string, limit int) {
	if c.pool(address).limit == limit {
		return
	}
	if old, ok := c.pools.Swap(address, newAddressPool(address, limit)); ok {
		old.(*addressPool).retire()
	}
}

// Forget closes the idle connections to an address. Those in use are closed
// when they are released.
func (c *Connections) Forget(address string) {
	if old, ok := c.pools.LoadAndDelete(address); ok {
		old.(*addressPool).retire()
	}
}

// Close closes all idle connections. Those in use are closed when they are
// released.
func (c *Connections) Close() {
	c.pools.Range(func(address, _ any) bool {
		c.Forget(address.(string))

		return true
	})
}

// Acquire returns a connection, an open one if there is any, or a *LimitError.
func (c *Connections) Acquire(address string) (*Connection, error) {
	from := c.pool(address)
	if connection, ok := from.idle.Poll(); ok {
		return connection, nil
	}
	if connection, ok := from.closed.Poll(); ok {
		return connection, nil
	}

	return nil, &LimitError{Address: address, Limit: from.limit}
}

// Release makes the connection available again.
func (*Connections) Release(connection *Connection) {
	connection.pool.release(connection)
}

// acquireClosed returns a connection that is not open, if one is left.
func (c *Connections) acquireClosed(address string) (*Connection, bool) {
	return c.pool(address).closed.Poll()
}

// Open returns the number of connections to an address that are open or in use.
func (c *Connections) Open(address string) int {
	found := c.pool(address)

	return found.limit - found.closed.Depth()
}

// Check closes the idle connections that can't be used any more.
func (c *Connections) Check() {
	c.pools.Range(func(_, found any) bool {
		found.(*addressPool).check()

		return true
	})
}

// pool returns the connections to an address.
func (c *Connections) pool(address string) *addressPool {
	if found, ok := c.pools.Load(address); ok {
		return found.(*addressPool)
	}
	made, _ := c.pools.LoadOrStore(address, newAddressPool(address, c.Limit))

	return made.(*addressPool)
}
