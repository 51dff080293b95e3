package cmd

import (
	"net/url"

	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

const askHelp = `Asks an entry host which hosts to use for a service.

Example:
  baobabdrum ask --host-address 127.0.0.1:8080 catalogue`

// Ask asks an entry host which hosts to use for a service.
type Ask struct {
	schema.ClientFlags

	// Args names the service.
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
	} `positional-args:"true"`

	output Output
}

// Execute requests the addresses and prints the response.
func (c *Ask) Execute([]string) error {
	host, err := client(c.ClientFlags)
	if err != nil {
		return err
	}
	answer, err := jsonhttp.Get[schema.AskAnswer](host, "/ask/"+url.PathEscape(c.Args.Service))
	if err != nil {
		return err
	}

	return c.output.print(answer)
}
