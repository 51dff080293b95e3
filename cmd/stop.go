package cmd

import (
	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/operatorhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

const stopHelp = `Stops an entry host as planned: it leaves the answers to ask, forwards what
still comes, finishes what is in flight and exits.

Example:
  baobabdrum stop --host-address 127.0.0.1:8082`

// Stop starts a planned stop of a host.
type Stop struct {
	schema.ClientFlags

	output Output
}

// Execute asks the host to stop.
func (c *Stop) Execute([]string) error {
	host, err := client(c.ClientFlags)
	if err != nil {
		return err
	}
	result, err := jsonhttp.Post[struct{}, schema.StopResult](host, operatorhttp.PathStop, struct{}{})
	if err != nil {
		return err
	}

	return c.output.print(result)
}
