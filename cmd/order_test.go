package cmd_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/cmd"
)

const orderID = "01JEAAAAAAAAAAAAAAAAAAAAAA-01JEV5XQ8R9W3N4K5M6P7Q8R9S"

// serveOnce runs an entry host that responds to orders with the outcome. It
// returns the address and a pointer to the header fields of the last order.
func serveOnce(t *testing.T, status int, outcome, reason, body string) (string, *http.Header) {
	t.Helper()
	var received http.Header
	var address string
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ask/orders", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"addresses":["` + address + `"],"order_id":"` + orderID + `"}`))
	})
	mux.HandleFunc("POST /order/orders/place", func(w http.ResponseWriter, r *http.Request) {
		received = r.Header
		w.Header().Set(backendhttp.HeaderOutcome, outcome)
		w.Header().Set(backendhttp.HeaderReason, reason)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
	listener := listen(t)
	address = listener.Addr().String()
	server := &http.Server{Handler: mux} //nolint:gosec // it serves this test alone
	var serving conc.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		assert.NilError(t, server.Shutdown(context.Background()))
		serving.Wait()
	})

	return address, &received
}

// listen listens on a free port of the range for this package's tests.
func listen(t *testing.T) net.Listener {
	t.Helper()
	for port := 21800; port < 21900; port++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err == nil {
			return listener
		}
	}
	t.Fatal("no port is free")

	return nil
}

func TestOrderExitCodes(t *testing.T) {
	for name, test := range map[string]struct {
		status  int
		outcome string
		reason  string
		body    string
		code    int
		results string
	}{
		"answered":                 {status: 200, outcome: "answered", body: "done", results: "done"},
		"created":                  {status: 201, outcome: "answered", body: "made", results: "made"},
		"answered with an error":   {status: 500, outcome: "answered", body: `{"a":1}`, results: `{"a":1}`, code: cmd.ExitFailed},
		"answered before":          {status: 410, outcome: "answered", reason: "answer_not_kept", body: `{"outcome":"answered"}`},
		"not run":                  {status: 503, outcome: "not_run", reason: "shed", body: `{"outcome":"not_run","reason":"shed"}`, code: cmd.ExitNotRun},
		"unknown":                  {status: 502, outcome: "unknown", reason: "cut", body: `{"outcome":"unknown","reason":"cut"}`, code: cmd.ExitUnknown},
		"malformed, may have run":  {status: 400, outcome: "unknown", reason: "invalid", body: `{"outcome":"unknown","reason":"invalid"}`, code: cmd.ExitUnknown},
		"malformed, was not run":   {status: 400, outcome: "not_run", reason: "invalid", body: `{"outcome":"not_run","reason":"invalid"}`, code: cmd.ExitInvalid},
		"no outcome: other server": {status: 404, body: "what?", code: cmd.ExitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			address, received := serveOnce(t, test.status, test.outcome, test.reason, test.body)
			var results, messages bytes.Buffer
			code := cmd.Run([]string{"order", "--host-address", address, "orders", "/place"}, &results, &messages)
			assert.Equal(t, code, test.code, messages.String())
			assert.Equal(t, results.String(), test.results)
			assert.Assert(t, strings.Contains(messages.String(), "order_id="+orderID))
			assert.Equal(t, received.Get(backendhttp.HeaderOrderID), orderID)
			assert.Equal(t, received.Get(backendhttp.HeaderOrderAttempt), "0")
		})
	}
}

func TestOrderRetryHeaders(t *testing.T) {
	for name, test := range map[string]struct {
		arguments []string
		attempt   string
		number    string
	}{
		"an id without attempt": {arguments: []string{"--order-id", orderID}},
		"an id with attempt":    {arguments: []string{"--order-id", orderID, "--attempt", "2"}, attempt: "2"},
		"a number":              {arguments: []string{"--order-number", "17", "--attempt", "0"}, attempt: "0", number: "17"},
	} {
		t.Run(name, func(t *testing.T) {
			address, received := serveOnce(t, http.StatusOK, "answered", "", "")
			var results, messages bytes.Buffer
			arguments := append([]string{"order", "--host-address", address}, test.arguments...)
			assert.Equal(t, cmd.Run(append(arguments, "orders", "/place"), &results, &messages), cmd.ExitDone, messages.String())
			assert.Equal(t, received.Get(backendhttp.HeaderOrderAttempt), test.attempt)
			assert.Equal(t, received.Get(backendhttp.HeaderOrderNumber), test.number)
		})
	}
}
