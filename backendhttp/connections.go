package backendhttp

import (
	"fmt"
	"sync"

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

// Connections holds a bounded number of connections to each address. The map is
// shared by the senders; each connection is used by one of them at a time.
type Connections struct {
	// Limit bounds the connections to each address.
	Limit int

	idle sync.Map // address to *ring.Ring[*Connection]
}

// NewConnections returns a set that opens at most limit connections to each
// address.
func NewConnections(limit int) *Connections {
	return &Connections{Limit: limit}
}

// Acquire returns an idle connection or a *LimitError.
func (c *Connections) Acquire(address string) (*Connection, error) {
	connection, ok := c.ring(address).Poll()
	if !ok {
		return nil, &LimitError{Address: address, Limit: c.Limit}
	}
	if connection == nil {
		return NewConnection(address), nil
	}

	return connection, nil
}

// Release makes the connection available again.
func (c *Connections) Release(address string, connection *Connection) {
	_ = c.ring(address).Offer(connection) // it has room for all connections
}

// ring returns the idle connections to an address.
func (c *Connections) ring(address string) *ring.Ring[*Connection] {
	if idle, ok := c.idle.Load(address); ok {
		return idle.(*ring.Ring[*Connection])
	}
	created := ring.New[*Connection]("connections", c.Limit)
	for range c.Limit {
		_ = created.Offer(nil) // a place for a connection that is made when it is needed
	}
	idle, _ := c.idle.LoadOrStore(address, created)

	return idle.(*ring.Ring[*Connection])
}
