package cmd

import (
	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/operatorhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

const dataCentreHelp = `Takes a data centre out of service or back in.

Examples:
  baobabdrum data-centre --host-address 127.0.0.1:8082 mu-north out
  baobabdrum data-centre --host-address 127.0.0.1:8082 mu-north in`

// DataCentre takes a data centre out of service or back in.
type DataCentre struct {
	schema.ClientFlags

	// Args are the data centre and its state.
	Args struct {
		Name  string `positional-arg-name:"NAME" required:"true"`
		State string `positional-arg-name:"out|in" required:"true"`
	} `positional-args:"true"`

	output Output
}

// Execute requests the change and prints its result.
func (c *DataCentre) Execute([]string) error {
	host, err := client(c.ClientFlags)
	if err != nil {
		return err
	}
	change := schema.DataCentre{Name: c.Args.Name, State: schema.DataCentreState(c.Args.State)}
	result, err := jsonhttp.Post[schema.DataCentre, schema.ChangeResult](host, operatorhttp.PathDataCentre, change)
	if err != nil {
		return err
	}

	return c.output.print(result)
}
