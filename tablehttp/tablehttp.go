// Package tablehttp is the HTTP client for the platform's table service, object
// store and host list. It contains the encoding of these requests; the decisions
// are in package table.
package tablehttp

import (
	"time"

	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Paths of the platform's HTTP API.
const (
	// PathRows is the prefix of a row's path; the key follows.
	PathRows = "/rows/"
	// PathTransaction accepts a schema.Transaction.
	PathTransaction = "/transaction"
	// PathVersions is the prefix for reading a row without its value; the key
	// follows.
	PathVersions = "/versions/"
	// PathObjects is the prefix of an object's path; the key follows.
	PathObjects = "/objects/"
	// PathHosts returns a schema.HostList.
	PathHosts = "/hosts"
)

// Client accesses the platform's table, object store and host list.
type Client struct {
	client *jsonhttp.Client
}

// New returns a client with a timeout for each request. The response may take longer as
// long as it proceeds, because a row may hold a large configuration.
func New(address string, timeout time.Duration) *Client {
	client := jsonhttp.NewClient(address, "", timeout)
	client.ExtendTimeout = true

	return &Client{client: client}
}

// Read returns a row. Version 0 means that it does not exist.
func (c *Client) Read(key string) (schema.Row, error) {
	return jsonhttp.Get[schema.Row](c.client, PathRows+key)
}

// ReadVersion returns a row without its value.
func (c *Client) ReadVersion(key string) (schema.Row, error) {
	return jsonhttp.Get[schema.Row](c.client, PathVersions+key)
}

// ReadObject returns the snapshot with the key from the object store.
func (c *Client) ReadObject(key string) (schema.Snapshot, error) {
	return jsonhttp.Get[schema.Snapshot](c.client, PathObjects+key)
}

// WriteObject replaces the snapshot with the key in the object store.
func (c *Client) WriteObject(key string, snapshot schema.Snapshot) error {
	_, err := jsonhttp.Post[schema.Snapshot, schema.Snapshot](c.client, PathObjects+key, snapshot)

	return err
}

// Write commits the transaction if each row still has the expected version. After
// an error the transaction may or may not have been committed.
func (c *Client) Write(transaction schema.Transaction) (schema.TransactionResult, error) {
	return jsonhttp.Post[schema.Transaction, schema.TransactionResult](c.client, PathTransaction, transaction)
}

// ReadHosts returns the platform's list of hosts, which may lag behind.
func (c *Client) ReadHosts() (schema.HostList, error) {
	return jsonhttp.Get[schema.HostList](c.client, PathHosts)
}
