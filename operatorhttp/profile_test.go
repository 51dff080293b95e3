package operatorhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/operatorhttp"
)

// TestProfileNeedsTokenAndValidDuration guards against profiles that are taken
// without a token or for longer than the limit.
func TestProfileNeedsTokenAndValidDuration(t *testing.T) {
	const token = "a-token-of-operators"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	duties := group.New(ctx)
	duties.Go("operator front", func(ctx context.Context) error {
		return operatorhttp.New(nil, nil, nil, token).Run(ctx, listener.(*net.TCPListener))
	})
	t.Cleanup(func() {
		stop()
		assert.Check(t, duties.Wait())
	})
	tests := map[string]struct {
		query  string
		token  string
		status int
	}{
		"valid request":         {query: "?seconds=1", token: token, status: http.StatusOK},
		"missing token":         {query: "?seconds=1", status: http.StatusUnauthorized},
		"wrong token":           {query: "?seconds=1", token: "another", status: http.StatusUnauthorized},
		"duration too short":    {query: "?seconds=0", token: token, status: http.StatusBadRequest},
		"duration too long":     {query: "?seconds=61", token: token, status: http.StatusBadRequest},
		"duration not a number": {query: "?seconds=1s", token: token, status: http.StatusBadRequest},
		"token in the query":    {query: "?seconds=1&token=" + token, status: http.StatusUnauthorized},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+operatorhttp.PathProfile+test.query, nil)
			assert.NilError(t, err)
			if test.token != "" {
				request.Header.Set("Authorization", "Bearer "+test.token)
			}
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status, "%s", body)
			if test.status == http.StatusOK {
				assert.Equal(t, string(body[:2]), "\x1f\x8b") // a compressed profile
			}
		})
	}
}
