// Package tablehttp speaks to the platform's table service, object store and
// host list. It decides nothing. Change this package to change the encoding
// towards the platform.
package tablehttp

import (
	"time"

	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Paths of the platform's service.
const (
	// PathRows precedes the key of a row.
	PathRows = "/rows/"
	// PathTransaction accepts a schema.Transaction.
	PathTransaction = "/transaction"
	// PathVersions precedes the key of a row that is returned without its value.
	PathVersions = "/versions/"
	// PathObjects precedes the key of an object.
	PathObjects = "/objects/"
	// PathHosts returns a schema.HostList.
	PathHosts = "/hosts"
)

// Client reads and writes the platform's table.
type Client struct {
	client *jsonhttp.Client
}

// New returns a client that waits at most the timeout for each reply.
func New(address string, timeout time.Duration) *Client {
	return &Client{client: jsonhttp.NewClient(address, "", timeout)}
}

// Read returns a row; version 0 means that it does not exist.
func (c *Client) Read(key string) (schema.Row, error) {
	return jsonhttp.Get[schema.Row](c.client, PathRows+key)
}

// ReadVersion returns a row without its value.
func (c *Client) ReadVersion(key string) (schema.Row, error) {
	return jsonhttp.Get[schema.Row](c.client, PathVersions+key)
}

// ReadObject returns the snapshot in the object store.
func (c *Client) ReadObject(key string) (schema.Snapshot, error) {
	return jsonhttp.Get[schema.Snapshot](c.client, PathObjects+key)
}

// WriteObject replaces the snapshot in the object store.
func (c *Client) WriteObject(key string, snapshot schema.Snapshot) error {
	_, err := jsonhttp.Post[schema.Snapshot, schema.Snapshot](c.client, PathObjects+key, snapshot)

	return err
}

// Write commits the transaction if each row still has its stated version. After
// an error the transaction may have been committed or not.
func (c *Client) Write(transaction schema.Transaction) (schema.TransactionResult, error) {
	return jsonhttp.Post[schema.Transaction, schema.TransactionResult](c.client, PathTransaction, transaction)
}

// ReadHosts returns the platform's lagging list of hosts.
func (c *Client) ReadHosts() (schema.HostList, error) {
	return jsonhttp.Get[schema.HostList](c.client, PathHosts)
}
