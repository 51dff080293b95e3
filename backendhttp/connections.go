package backendhttp

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/baobabdrum/baobabdrum/ring"
)

// LimitError reports that all connections to an address are in use.
type LimitError struct {
	// Address is the ip:port of the remote side.
	Address string
	// Limit is the maximum number of connections to the address.
	Limit int
}

// Error returns the error message with the address and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("all %d connections to %s are in use", e.Limit, e.Address)
}

// Connections is a set of connection pools, one for each address. It is the only
// structure that senders share besides their rings: it maps each address to two
// rings of connections. A duty owns a connection from Acquire to Release.
type Connections struct {
	// Limit is the maximum number of connections to each address without a limit of
	// its own.
	Limit int

	pools sync.Map // address to *addressPool
}

// addressPool is the pool of connections to one address. Each connection is in
// idle if it is open, in closed if it is not, or in use by a duty.
type addressPool struct {
	limit   int
	idle    *ring.Ring[*Connection]
	closed  *ring.Ring[*Connection]
	retired atomic.Bool
}

// newAddressPool returns a pool whose connections are all closed.
func newAddressPool(address string, limit int) *addressPool {
	pool := &addressPool{
		limit:  limit,
		idle:   ring.New[*Connection]("idle connections", limit),
		closed: ring.New[*Connection]("connections", limit),
	}
	for range limit {
		connection := NewConnection(address)
		connection.pool = pool
		_ = pool.closed.Offer(connection) // the ring has room for all connections
	}

	return pool
}

// release returns a connection to the pool.
func (p *addressPool) release(connection *Connection) {
	if connection.conn == nil {
		_ = p.closed.Offer(connection) // the ring has room for all connections

		return
	}
	_ = p.idle.Offer(connection) // the ring has room for all connections
	if p.retired.Load() {
		p.closeIdle()
	}
}

// retire closes the idle connections now and the others when they are released.
func (p *addressPool) retire() {
	p.retired.Store(true)
	p.closeIdle()
}

// check closes the idle connections that are no longer usable.
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

func (p *addressPool) closeIdle() {
	for connection, ok := p.idle.Poll(); ok; connection, ok = p.idle.Poll() {
		connection.Close()
		_ = p.closed.Offer(connection) // the ring has room for all connections
	}
}

// NewConnections returns an empty set. Addresses without a call of Declare have
// at most limit connections each.
func NewConnections(limit int) *Connections {
	return &Connections{Limit: limit}
}

// Declare sets the maximum number of connections to an address. If the limit
// changes, the existing connections are closed, those in use when they are
// released.
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

// Acquire returns a connection, preferably an open one, or a *LimitError.
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

// Release returns a connection to its pool.
func (*Connections) Release(connection *Connection) {
	connection.pool.release(connection)
}

// acquireClosed returns a connection that is not open, and whether there is one.
func (c *Connections) acquireClosed(address string) (*Connection, bool) {
	return c.pool(address).closed.Poll()
}

// Open returns the number of connections to an address that are open or in use.
func (c *Connections) Open(address string) int {
	found := c.pool(address)

	return found.limit - found.closed.Depth()
}

// Check closes the idle connections to all addresses that are no longer usable.
func (c *Connections) Check() {
	c.pools.Range(func(_, found any) bool {
		found.(*addressPool).check()

		return true
	})
}

// pool returns the pool for an address and creates it if necessary.
func (c *Connections) pool(address string) *addressPool {
	if found, ok := c.pools.Load(address); ok {
		return found.(*addressPool)
	}
	made, _ := c.pools.LoadOrStore(address, newAddressPool(address, c.Limit))

	return made.(*addressPool)
}
