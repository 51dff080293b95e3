package cmd

import (
	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/operatorhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

const dumpHelp = `Shows the state of an entry host as JSON.

Example:
  baobabdrum dump --host-address 127.0.0.1:8082`

// Dump shows the state of an entry host.
type Dump struct {
	schema.ClientFlags

	output Output
}

// Execute requests the state and prints it.
func (c *Dump) Execute([]string) error {
	host, err := client(c.ClientFlags)
	if err != nil {
		return err
	}
	dump, err := jsonhttp.Get[schema.Dump](host, operatorhttp.PathDump)
	if err != nil {
		return err
	}

	return c.output.print(dump)
}
