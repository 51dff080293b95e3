package cmd

import (
	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/operatorhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

const stopHelp = `Stops an entry host as planned: the host leaves the results of ask, forwards
calls that still arrive, finishes calls in flight and exits.

Example:
  baobabdrum stop --host-address 127.0.0.1:8082`

// Stop starts a planned stop of an entry host.
type Stop struct {
	schema.ClientFlags

	output Output
}

// Execute requests the stop and prints the host's state and remaining wait.
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
