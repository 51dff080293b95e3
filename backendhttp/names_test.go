package backendhttp_test

import (
	"bufio"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
)

// fieldPlaces are complete responses by the place of a field in them, which FIELD stands
// for.
var fieldPlaces = map[string]string{
	"head":           "HTTP/1.1 200 OK\r\nId: wanted\r\nFIELD\r\nContent-Length: 4\r\n\r\nbody",
	"first of head":  "HTTP/1.1 200 OK\r\nFIELD\r\nId: wanted\r\nContent-Length: 4\r\n\r\nbody",
	"last of head":   "HTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 4\r\nFIELD\r\n\r\nbody",
	"head of chunks": "HTTP/1.1 200 OK\r\nId: wanted\r\nTransfer-Encoding: chunked\r\nFIELD\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"interim":        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nFIELD\r\n\r\nHTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 4\r\n\r\nbody",
	"only interim":   "HTTP/1.1 100 Continue\r\nFIELD\r\n\r\nHTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 4\r\n\r\nbody",
	"trailers":       "HTTP/1.1 200 OK\r\nId: wanted\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\nFIELD\r\n\r\n",
	"only trailer":   "HTTP/1.1 200 OK\r\nId: wanted\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nFIELD\r\n\r\n",
	"no length":      "HTTP/1.1 200 OK\r\nId: wanted\r\nFIELD\r\n\r\nbody",
	"no content":     "HTTP/1.1 204 No Content\r\nId: wanted\r\nFIELD\r\n\r\n",
	"foreign before": "HTTP/1.1 200 OK\r\nId: other\r\nFIELD\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 4\r\n\r\nbody",
}

// malformedBytes are blanks, control bytes and other bytes that a name cannot have.
const malformedBytes = " \t\x00\x01\b\n\v\f\r\x1b\x1f\x7f(\"\x80\xff"

// malformedNames returns names in which malformed bytes stand before, in and behind the
// proper name.
func malformedNames(name string) []string {
	names := make([]string, 0, 4+3*len(malformedBytes))
	names = append(names, "", "\t "+name, name+" \t", name[:2]+"  "+name[2:])
	for _, part := range []byte(malformedBytes) {
		odd := string([]byte{part})
		names = append(names, odd+name, name[:2]+odd+name[2:], name+odd)
	}

	return names
}

// exchangeAll sends a request on a connection of its own for each of the responses, and
// returns the accepted bodies and the errors.
func exchangeAll(t *testing.T, raws []string) (bodies []string, errs []error) {
	t.Helper()
	handlers := make([]connHandler, 0, len(raws))
	for _, raw := range raws {
		handlers = append(handlers, func(conn *net.TCPConn, requests *bufio.Reader) {
			receive(requests)
			writeRaw(conn, raw)
			_ = conn.Close()
		})
	}
	address := listen(t, handlers...)
	for range raws {
		connection := backendhttp.NewConnection(address)
		assert.NilError(t, connection.Open(t.Context(), time.Now().Add(time.Second)))
		body, err := exchangeCut(connection, http.MethodGet, "/")
		connection.Close()
		bodies, errs = append(bodies, body), append(errs, err)
	}

	return bodies, errs
}

// Guards against a response in which the name of a field holds a blank or a control byte,
// and whose body or fields are then others than the backend server sent.
func TestResponsesWithMalformedNamesAreRejected(t *testing.T) {
	for place, raw := range fieldPlaces {
		for _, field := range []string{"X-Odd: 1", "Id: wanted", "Content-Length: 4", "Transfer-Encoding: chunked", "Connection: close"} {
			t.Run(place+", "+field, func(t *testing.T) {
				t.Parallel()
				proper, value, _ := strings.Cut(field, ":")
				names := malformedNames(proper)
				raws := make([]string, 0, len(names))
				for _, name := range names {
					raws = append(raws, strings.Replace(raw, "FIELD", name+":"+value, 1))
				}
				bodies, errs := exchangeAll(t, raws)
				for i, err := range errs {
					assert.Check(t, err != nil, "name %q, taken as %q", names[i], bodies[i])
				}
			})
		}
	}
}

// Guards against the loss of a proper response.
func TestResponsesWithProperFieldsAreAccepted(t *testing.T) {
	fields := map[string]string{
		"characters of names":   "X!#$%&'*+-.^_`|~09az: 1",
		"lower case":            "x-odd: 1",
		"one character":         "x: 1",
		"no blank before value": "X-Odd:1",
		"blanks around value":   "X-Odd: \t 1 \t",
		"no value":              "X-Odd:",
		"blank value":           "X-Odd: ",
		"colons in value":       "X-Odd: a: b c:",
		"tab in value":          "X-Odd: a\tb",
		"value beyond ASCII":    "X-Odd: caf\xe9 \xc3\xa9",
		"long":                  "X-Odd: " + strings.Repeat("x", 12_000),
		"several":               "X-Odd: 1\r\nx-odd: 2\r\nX-More: 3",
		"folded value":          "X-Odd: a\r\n b\r\n\tc",
	}
	for name, field := range fields {
		t.Run(name, func(t *testing.T) {
			places := slices.Sorted(maps.Keys(fieldPlaces))
			raws := make([]string, 0, len(places))
			for _, place := range places {
				raws = append(raws, strings.Replace(fieldPlaces[place], "FIELD", field, 1))
			}
			bodies, errs := exchangeAll(t, raws)
			for i, place := range places {
				assert.Check(t, errs[i], place)
				assert.Check(t, bodies[i] == "body" || place == "no content", place)
			}
		})
	}
}
