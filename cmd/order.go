package cmd

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

const orderHelp = `Places an order that runs at most once and prints the body of the answer.
Without --order-id or --order-number it asks for an id first. The id is printed
before the order is sent: repeat the command with it and a higher --attempt
after an unknown or not_run outcome.

Examples:
  baobabdrum order --host-address 127.0.0.1:8080 --body '{"hinges":40}' orders /place
  baobabdrum order --host-address 127.0.0.1:8080 --order-number rose-belle-17 orders /place`

// Order places an order that runs at most once.
type Order struct {
	schema.ClientFlags

	// Method is the HTTP method.
	Method string `long:"method" default:"POST" description:"HTTP method"`
	// Body is sent with the order.
	Body string `long:"body" description:"body of the request"`
	// OrderID identifies an earlier order to repeat.
	OrderID string `long:"order-id" description:"id of the order; asked for if neither it nor a number is given"`
	// OrderNumber is the caller's own number for the order.
	OrderNumber string `long:"order-number" description:"own number of the order, 1 to 128 printable characters"`
	// Attempt is the number of earlier requests for this order, or -1 if unknown.
	Attempt int `long:"attempt" default:"-1" description:"number of requests sent for this order before; -1 for not known"`
	// Args are the service and the path.
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
		Path    string `positional-arg-name:"PATH" default:"/"`
	} `positional-args:"true"`

	output Output
}

// Execute requests an order id if neither id nor number is given, and places the
// order.
func (c *Order) Execute([]string) error {
	host, err := client(c.ClientFlags)
	if err != nil {
		return err
	}
	if c.OrderID == "" && c.OrderNumber == "" {
		if host, err = c.ask(host); err != nil {
			return err
		}
	}
	path, err := target("/order/", c.Args.Service, c.Args.Path)
	if err != nil {
		return err
	}
	response, err := host.Do(c.Method, path, []byte(c.Body), c.headers(host.Timeout)...)
	if err != nil {
		return &OutcomeError{Code: ExitUnknown, Message: "unknown: the order may have run: " + err.Error()}
	}

	return c.show(path, response)
}

// ask requests an order id and returns a client of the first listed host, which
// may run the order.
func (c *Order) ask(host *jsonhttp.Client) (*jsonhttp.Client, error) {
	answer, err := jsonhttp.Get[schema.AskAnswer](host, "/ask/"+c.Args.Service)
	if err != nil {
		return nil, err
	}
	c.OrderID, c.Attempt = answer.OrderID, 0
	fmt.Fprintf(c.output.Messages, "order_id=%s\n", c.OrderID)
	if len(answer.Addresses) > 0 {
		host = jsonhttp.NewClient(answer.Addresses[0], host.Token, host.Timeout)
	}

	return host, nil
}

// show prints the answer, or returns an error if there is none. A response without
// an outcome counts as unknown.
func (c *Order) show(path string, response jsonhttp.Response) error {
	reason := response.Header(backendhttp.HeaderReason)
	switch response.Header(backendhttp.HeaderOutcome) {
	case backendhttp.OutcomeAnswered:
		if reason == string(caller.ReasonAnswerNotKept) {
			fmt.Fprintln(c.output.Messages, "answered: the order ran; its answer is no longer stored")

			return nil
		}

		return c.answered(response)
	case backendhttp.OutcomeNotRun:
		return &jsonhttp.StatusError{Path: path, Status: response.Status, Body: response.Body}
	default:
		return &OutcomeError{Code: ExitUnknown, Message: "unknown: " + reason + ": the order may have run"}
	}
}

// answered prints a backend server's answer and returns an error for a status of
// 400 or more.
func (c *Order) answered(response jsonhttp.Response) error {
	if _, err := c.output.Results.Write(response.Body); err != nil {
		return err
	}
	if response.Status < http.StatusBadRequest {
		return nil
	}

	return &OutcomeError{Code: ExitFailed, Message: fmt.Sprintf("answered: the order ran; status %d", response.Status)}
}

// headers returns the header fields for the deadline, the order and the attempt.
func (c *Order) headers(timeout time.Duration) []jsonhttp.Header {
	headers := []jsonhttp.Header{
		{Name: backendhttp.HeaderDeadline, Value: strconv.FormatInt(timeout.Milliseconds(), 10)},
	}
	if c.Attempt >= 0 {
		headers = append(headers, jsonhttp.Header{Name: backendhttp.HeaderOrderAttempt, Value: strconv.Itoa(c.Attempt)})
	}
	for name, value := range map[string]string{
		backendhttp.HeaderOrderID: c.OrderID, backendhttp.HeaderOrderNumber: c.OrderNumber,
	} {
		if value != "" {
			headers = append(headers, jsonhttp.Header{Name: name, Value: value})
		}
	}

	return headers
}
