package cmd

import (
	"strings"

	"github.com/baobabdrum/baobabdrum/schema"
)

const callHelp = `Calls a service through an entry host and prints the body of the answer.

Example:
  baobabdrum call --host-address 127.0.0.1:8080 catalogue /stock/hinge-40`

// Call calls a service.
type Call struct {
	schema.ClientFlags

	// Method is the HTTP method.
	Method string `long:"method" default:"GET" description:"HTTP method"`
	// Body is sent with the call.
	Body string `long:"body" description:"body of the request"`
	// Args are the service and the path.
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
		Path    string `positional-arg-name:"PATH" default:"/"`
	} `positional-args:"true"`

	output Output
}

// Execute calls a host.
func (c *Call) Execute([]string) error {
	host, err := client(c.ClientFlags)
	if err != nil {
		return err
	}
	path := "/call/" + c.Args.Service + "/" + strings.TrimPrefix(c.Args.Path, "/")
	body, err := host.Exchange(c.Method, path, []byte(c.Body))
	if err != nil {
		return err
	}
	_, err = c.output.Results.Write(body)

	return err
}
