package edge

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against requests that are rejected for good by the limits of an outdated
// declaration, although the newest one allows them.
func TestOutdatedLimitsDoNotDenyRequests(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\nHost: a.example\r\n"
	requests := map[string]struct {
		text   string
		status int
	}{
		"head":   {text: head + "X-Fill: " + strings.Repeat("x", 1000) + "\r\n\r\n", status: http.StatusRequestHeaderFieldsTooLarge},
		"length": {text: head + "Content-Length: 2001\r\n\r\n" + strings.Repeat("x", 2001), status: http.StatusRequestEntityTooLarge},
		"chunks": {text: head + "Transfer-Encoding: chunked\r\n\r\n7d1\r\n" + strings.Repeat("x", 2001) + "\r\n0\r\n\r\n", status: http.StatusRequestEntityTooLarge},
	}
	now := time.Now()
	tests := map[string]struct {
		currency *placement.CurrencyChanged
		denied   bool
	}{
		"the newest declaration":           {currency: &placement.CurrencyChanged{Current: true, Until: now.Add(time.Hour)}, denied: true},
		"a newer one is announced":         {currency: &placement.CurrencyChanged{Until: now.Add(time.Hour)}},
		"a confirmation from too long ago": {currency: &placement.CurrencyChanged{Current: true, Until: now.Add(-time.Second)}},
		"nobody has confirmed it":          {},
	}
	for name, test := range tests {
		for form, request := range requests {
			t.Run(form+" beyond "+name, func(t *testing.T) {
				t.Parallel()
				front := newTestFront(t, func(front *callerFront) {
					front.limits.apply(schema.CallerLimits{HeaderBytes: 1000, BodyBytes: 2000})
					front.limits.currency.Store(test.currency)
				})
				caller := front.dial(t)
				caller.send(t, request.text)
				response, err := http.ReadResponse(caller.reader, nil)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				want := http.StatusServiceUnavailable
				if test.denied {
					want = request.status
				}
				assert.Equal(t, response.StatusCode, want)
				assert.Assert(t, response.Close, "the connection stays open")
			})
		}
	}
}
