package cmd_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/baobabdrum/baobabdrum/cmd"
)

func TestCallEncodesThePath(t *testing.T) {
	tests := map[string]struct {
		path string
		want string
	}{
		"none":            {want: "/call/catalogue/"},
		"plain":           {path: "/stock/hinge-40", want: "/call/catalogue/stock/hinge-40"},
		"without a slash": {path: "stock", want: "/call/catalogue/stock"},
		"space":           {path: "/rose belle", want: "/call/catalogue/rose%20belle"},
		"query":           {path: "/stock?size=40&side=left", want: "/call/catalogue/stock?size=40&side=left"},
		"space in query":  {path: "/stock?name=rose belle", want: "/call/catalogue/stock?name=rose%20belle"},
		"encoded":         {path: "/what%3F/a%2Fb", want: "/call/catalogue/what%3F/a%2Fb"},
		"dots":            {path: "/a/../b", want: "/call/catalogue/a/../b"},
		"double slash":    {path: "/a//b", want: "/call/catalogue/a//b"},
		"letters":         {path: "/forgé", want: "/call/catalogue/forg%C3%A9"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got string
			host := entryHost(t, func(w http.ResponseWriter, r *http.Request) {
				got = r.RequestURI
				w.Header().Set("Baobabdrum-Outcome", "answered")
			})
			args := []string{"call", "--host-address", host, "catalogue"}
			if test.path != "" {
				args = append(args, test.path)
			}
			assert.Equal(t, run(args...).code, cmd.ExitDone)
			assert.Equal(t, got, test.want)
		})
	}
}

func TestCallPrintsOutcomeAndReason(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	tests := map[string]struct {
		address string
		outcome string
		status  int
		body    string
		hang    bool
		path    string
		code    int
		results string
		want    string
	}{
		"answered":       {outcome: "answered", status: 200, body: "stock", code: cmd.ExitDone, results: "stock", want: "answered: status 200"},
		"answered 404":   {outcome: "answered", status: 404, body: "none", code: cmd.ExitFailed, results: "none", want: "answered: status 404"},
		"not run":        {outcome: "not_run", status: 503, body: `{"outcome":"not_run","reason":"shed","detail":"busy"}`, code: cmd.ExitNotRun, want: "not_run: shed: busy"},
		"unknown":        {outcome: "unknown", status: 502, body: `{"outcome":"unknown","reason":"cut","detail":"ended"}`, code: cmd.ExitUnknown, want: "unknown: cut: ended"},
		"no such host":   {address: closed.Addr().String(), code: cmd.ExitNotRun, want: "not_run: unreachable"},
		"no response":    {hang: true, code: cmd.ExitUnknown, want: "unknown: the call may have run"},
		"malformed path": {path: "/%zz", code: cmd.ExitInvalid, want: `PATH="/%zz"`},
		"not a host":     {status: 200, body: "hello", code: cmd.ExitFailed, want: "status 200: hello"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.address == "" {
				test.address = entryHost(t, func(w http.ResponseWriter, r *http.Request) {
					if test.hang {
						panic(http.ErrAbortHandler)
					}
					assert.Check(t, r.Header.Get("Baobabdrum-Deadline-Ms") != "")
					w.Header().Set("Baobabdrum-Outcome", test.outcome)
					w.WriteHeader(test.status)
					_, _ = io.WriteString(w, test.body)
				})
			}
			got := run("call", "--host-address", test.address, "--timeout", "2s", "catalogue", test.path)
			assert.Equal(t, got.code, test.code, got.messages)
			assert.Equal(t, got.results, test.results)
			assert.Assert(t, cmp.Contains(got.messages, test.want))
		})
	}
}
