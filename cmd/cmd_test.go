package cmd_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/baobabdrum/baobabdrum/cmd"
)

// commandResult is the exit code and output of a command.
type commandResult struct {
	code     int
	results  string
	messages string
}

// run executes a command line and captures its output.
func run(args ...string) commandResult {
	var results, messages bytes.Buffer
	code := cmd.Run(args, &results, &messages)

	return commandResult{code: code, results: results.String(), messages: messages.String()}
}

// entryHost serves the handler as an entry host and returns its address.
func entryHost(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	return server.Listener.Addr().String()
}

func TestRunRejectsInvalidArguments(t *testing.T) {
	tests := map[string]struct {
		args []string
		want string
	}{
		"unknown flag":        {args: []string{"dump", "--hostaddress", "127.0.0.1:1"}, want: "unknown flag `hostaddress'"},
		"unknown command":     {args: []string{"hosts"}, want: "Unknown command `hosts'"},
		"no command":          {want: "Please specify one command"},
		"missing argument":    {args: []string{"ask"}, want: "the required argument `SERVICE` was not provided"},
		"unknown subcommand":  {args: []string{"sheet", "aply"}, want: "Unknown command `aply'"},
		"missing subcommand":  {args: []string{"sheet"}, want: "Please specify one command of"},
		"too many arguments":  {args: []string{"ask", "catalogue", "orders"}, want: `arguments: 1 invalid`},
		"address with a name": {args: []string{"ask", "--host-address", "localhost:80", "catalogue"}, want: `host-address="localhost:80"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := run(test.args...)
			assert.Equal(t, got.code, cmd.ExitInvalid, got.messages)
			assert.Assert(t, cmp.Contains(got.messages, test.want))
		})
	}
}

func TestHelpHasExamplesAndExitCodes(t *testing.T) {
	for name, args := range map[string][]string{
		"host": {"host"}, "sheet": {"sheet"}, "data centre": {"data-centre"}, "stop": {"stop"}, "ask": {"ask"},
		"call": {"call"}, "order": {"order"}, "dump": {"dump"}, "version": {"version"},
	} {
		t.Run(name, func(t *testing.T) {
			got := run(append(args, "--help")...)
			assert.Equal(t, got.code, cmd.ExitDone, got.messages)
			assert.Assert(t, cmp.Contains(got.results, "Exit codes: 0 done"))
			assert.Assert(t, cmp.Contains(got.results, "Example"))
			assert.Assert(t, cmp.Contains(got.results, "\nbaobabdrum "+args[0]))
		})
	}
	assert.Assert(t, strings.Contains(run("--help").results, "Available commands"))
}
