package cmd

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

const callHelp = `Calls a service through an entry host and prints the body of the answer. The
outcome, and the reason if there is no answer, are printed to standard error.
An answer with a status of 400 or more ends with exit code 1.

Examples:
  baobabdrum call --host-address 127.0.0.1:8080 catalogue /stock/hinge-40
  baobabdrum call --host-address 127.0.0.1:8080 catalogue '/stock/rose belle?size=40'
  baobabdrum call --host-address 127.0.0.1:8080 --method PUT --body '{"note":1}' workshop /note`

// Call calls a service through an entry host.
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

// Execute sends the call and prints the answer.
func (c *Call) Execute([]string) error {
	host, err := client(c.ClientFlags)
	if err != nil {
		return err
	}
	path, err := target("/call/", c.Args.Service, c.Args.Path)
	if err != nil {
		return err
	}
	deadline := jsonhttp.Header{
		Name: backendhttp.HeaderDeadline, Value: strconv.FormatInt(max(host.Timeout.Milliseconds(), 1), 10),
	}
	response, err := host.Do(c.Method, path, []byte(c.Body), deadline)
	if err != nil {
		return transportError(err)
	}

	return c.show(path, response)
}

// show prints the answer, or returns an error if there is none.
func (c *Call) show(path string, response jsonhttp.Response) error {
	outcome := response.Header(backendhttp.HeaderOutcome)
	if outcome != "answered" {
		return &jsonhttp.StatusError{Path: path, Status: response.Status, Body: response.Body}
	}
	if _, err := c.output.Results.Write(response.Body); err != nil {
		return err
	}
	fmt.Fprintf(c.output.Messages, "%s: status %d\n", outcome, response.Status)
	if response.Status >= http.StatusBadRequest {
		return &OutcomeError{Code: ExitFailed, Message: fmt.Sprintf("the answer has status %d", response.Status)}
	}

	return nil
}

// transportError returns the error of a call without a response. The call may
// have run unless no connection could be opened.
func transportError(err error) error {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return &OutcomeError{Code: ExitNotRun, Message: "not_run: unreachable: " + err.Error()}
	}

	return &OutcomeError{Code: ExitUnknown, Message: "unknown: the call may have run: " + err.Error()}
}
