// Package jsonhttp exchanges typed messages as JSON over HTTP between operators,
// hosts and the platform. It provides a client, handlers and token authorisation
// and does not interpret the messages. Change this package to change how they are
// encoded.
package jsonhttp

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// MaxAnswerBytes is the largest body in bytes of a response.
	MaxAnswerBytes = 8 << 20
	// maxConnections is the largest number of connections of a client.
	maxConnections = 64
	// bearer is the prefix of the token in the Authorization header field.
	bearer = "Bearer "
)

// StatusError reports a response that does not contain the expected message.
type StatusError struct {
	// Path is the path of the request.
	Path string
	// Status is the HTTP status.
	Status int
	// Body is the body of the response.
	Body []byte
}

// Error returns the error message with the path, the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Path, e.Status, strings.TrimSpace(string(e.Body)))
}

// Client sends typed messages to one address. It never retries.
type Client struct {
	// Address is the ip:port of the server.
	Address string
	// Token is sent as a bearer token with each request unless it is empty.
	Token string
	// Timeout is the maximum time for one request and its response.
	Timeout time.Duration
	// ExtendTimeout lets a response that proceeds take longer than Timeout, which then
	// limits the time until its first byte and the time without any byte after that, see
	// tcp.Progress.
	ExtendTimeout bool

	connections *backendhttp.Connections
	closing     context.Context //nolint:containedctx // ends the requests in progress
	close       context.CancelFunc
}

// NewClient returns a client for the address that opens connections on demand.
func NewClient(address, token string, timeout time.Duration) *Client {
	client := &Client{Address: address, Token: token, Timeout: timeout, connections: backendhttp.NewConnections(maxConnections)}
	client.closing, client.close = context.WithCancel(context.Background())

	return client
}

// Close closes all connections. Requests in progress and later ones fail.
func (c *Client) Close() {
	c.close()
	c.connections.Close()
}

// Closed reports whether Close was called.
func (c *Client) Closed() bool {
	return c.closing.Err() != nil
}

// Get requests a path and decodes the response as a message.
func Get[Out any](client *Client, path string) (Out, error) {
	var out Out
	raw, err := client.Exchange(http.MethodGet, path, nil)
	if err != nil {
		return out, err
	}

	return out, eris.Wrapf(json.Unmarshal(raw, &out), "decoding the response of %s", path)
}

// Post sends a message to a path and decodes the response as a message.
func Post[In, Out any](client *Client, path string, in In) (Out, error) {
	var out Out
	body, err := json.Marshal(in)
	if err != nil {
		return out, eris.Wrapf(err, "encoding the request of %s", path)
	}
	raw, err := client.Exchange(http.MethodPost, path, body)
	if err != nil {
		return out, err
	}

	return out, eris.Wrapf(json.Unmarshal(raw, &out), "decoding the response of %s", path)
}

// Header is a header field of a request.
type Header struct {
	// Name is the field name.
	Name string
	// Value is the field value.
	Value string
}

// Response is a complete HTTP response.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Headers are the header fields in the order received.
	Headers []Header
	// Body is the complete body.
	Body []byte
	// Received is the number of bytes that were received, also of a response that broke
	// off.
	Received int
	// BegunAt is when the first of them arrived. What the response states held then.
	BegunAt time.Time
}

// Header returns the value of the first header field with this name in any case of
// letters, or an empty string.
func (r Response) Header(name string) string {
	for _, header := range r.Headers {
		if strings.EqualFold(header.Name, name) {
			return header.Value
		}
	}

	return ""
}

// Exchange sends a request and returns the body of a response with status 200.
// For any other status it returns a *StatusError.
func (c *Client) Exchange(method, path string, body []byte, headers ...Header) ([]byte, error) {
	response, err := c.Do(method, path, body, headers...)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, &StatusError{Path: path, Status: response.Status, Body: response.Body}
	}

	return response.Body, nil
}

// Do sends a request and returns the response regardless of its status. The path
// must be percent-encoded and may have a query. After an error, only Received and
// BegunAt are set.
func (c *Client) Do(method, path string, body []byte, headers ...Header) (Response, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(path)
	request.Header.SetHost(c.Address)
	if c.Token != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, bearer+c.Token)
	}
	for _, header := range headers {
		request.Header.Set(header.Name, header.Value)
	}
	request.SetBodyRaw(body)
	copied, err := c.exchange(request, response)
	if err != nil {
		return copied, eris.Wrapf(err, "%s %s%s", method, c.Address, path)
	}
	copied.Status, copied.Body = response.StatusCode(), response.Body()
	for name, value := range response.Header.All() {
		copied.Headers = append(copied.Headers, Header{Name: string(name), Value: string(value)})
	}

	return copied, nil
}

// exchange sends a request and reads the whole response within the timeout. It returns
// what is known of a response that broke off.
func (c *Client) exchange(request *fasthttp.Request, response *fasthttp.Response) (Response, error) {
	connection, err := c.connections.Acquire(c.Address)
	if err != nil {
		return Response{}, err
	}
	defer c.connections.Release(connection)
	progress := tcp.NewProgress(time.Now(), c.Timeout)
	if err := connection.Open(c.closing, progress.Deadline); err != nil {
		return Response{}, err
	}
	if c.ExtendTimeout {
		connection.Extend(progress)
	}
	defer backendhttp.AbortOnCancel(c.closing, connection)()
	accept := func(*fasthttp.Response) bool { return true }
	err = connection.ExchangeWhole(request, response, backendhttp.LimitBody(MaxAnswerBytes), accept)
	if err == nil && response.ConnectionClose() {
		connection.Close()
	}

	return Response{Received: connection.Received(), BegunAt: connection.BegunAt()}, err
}

// Handle returns a handler that decodes a message, rejecting unknown fields, and
// responds with the message that serve returns.
func Handle[In, Out any](serve func(in In) (Out, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		var in In
		decoder := json.NewDecoder(strings.NewReader(string(c.Body())))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&in); err != nil {
			return fiber.NewError(http.StatusBadRequest, err.Error())
		}
		out, err := serve(in)
		if err != nil {
			return err
		}

		return c.JSON(out)
	}
}

// Authorize returns a handler that accepts only requests with the token, and all
// requests if the token is empty.
func Authorize(token string) fiber.Handler {
	expected := []byte(bearer + token)

	return func(c fiber.Ctx) error {
		given := c.Request().Header.Peek(fasthttp.HeaderAuthorization)
		if token != "" && subtle.ConstantTimeCompare(given, expected) != 1 {
			return fiber.NewError(http.StatusUnauthorized, "the token is missing or wrong")
		}

		return c.Next()
	}
}
