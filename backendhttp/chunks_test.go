package backendhttp_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nId: wanted\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against the loss of a proper response in chunks.
func TestProperChunksAreAccepted(t *testing.T) {
	tests := map[string]struct{ raw, body string }{
		"one":                   {raw: "4\r\nbody\r\n0\r\n\r\n", body: "body"},
		"none":                  {raw: "0\r\n\r\n"},
		"several":               {raw: "1\r\nb\r\n2\r\nod\r\n1\r\ny\r\n0\r\n\r\n", body: "body"},
		"capital digits":        {raw: "A\r\n0123456789\r\n0\r\n\r\n", body: "0123456789"},
		"zeros before the size": {raw: "0004\r\nbody\r\n000\r\n\r\n", body: "body"},
		"extension":             {raw: "4;a=b\r\nbody\r\n0;c\r\n\r\n", body: "body"},
		"extension in quotes":   {raw: "4;a=\"b c\"\r\nbody\r\n0\r\n\r\n", body: "body"},
		"blank behind the size": {raw: "4 \r\nbody\r\n0\r\n\r\n", body: "body"},
		"line ends as content":  {raw: "8\r\n\r\n\r\n\r\n\r\n\r\n0\r\n\r\n", body: "\r\n\r\n\r\n\r\n"},
		"last chunk as content": {raw: "5\r\n0\r\n\r\n\r\n0\r\n\r\n", body: "0\r\n\r\n"},
		"trailers":              {raw: "4\r\nbody\r\n0\r\nX-Sum: 1\r\nx-more:2\r\n\r\n", body: "body"},
		"long trailer":          {raw: "4\r\nbody\r\n0\r\nX-Sum: " + strings.Repeat("x", 15_000) + "\r\n\r\n", body: "body"},
		"chunks of a byte":      {raw: strings.Repeat("1\r\nx\r\n", 20_000) + "0\r\n\r\n", body: strings.Repeat("x", 20_000)},
		"large chunk":           {raw: "ea60\r\n" + strings.Repeat("x", 60_000) + "\r\n0\r\n\r\n", body: strings.Repeat("x", 60_000)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bodies, errs := exchangeAll(t, []string{chunkedHead + test.raw})
			assert.NilError(t, errs[0])
			assert.Assert(t, bodies[0] == test.body, "%d bytes", len(bodies[0]))
		})
	}
}

// Guards against chunks whose end is read at another byte than the backend server meant.
func TestMalformedChunksAreRejected(t *testing.T) {
	tests := map[string]string{
		"no size":                       "\r\nbody\r\n0\r\n\r\n",
		"size with a sign":              "+4\r\nbody\r\n0\r\n\r\n",
		"size with a prefix":            "0x4\r\nbody\r\n0\r\n\r\n",
		"blank before the size":         " 4\r\nbody\r\n0\r\n\r\n",
		"blank in the size":             "4 4\r\nbody\r\n0\r\n\r\n",
		"size beyond integers":          "10000000000000004\r\nbody\r\n0\r\n\r\n",
		"size too small":                "3\r\nbody\r\n0\r\n\r\n",
		"size too large":                "5\r\nbody\r\n0\r\n\r\n",
		"line feed behind the size":     "4\nbody\r\n0\r\n\r\n",
		"line feed behind the chunk":    "4\r\nbody\n0\r\n\r\n",
		"line feed in an extension":     "4;a\nb\r\nbody\r\n0\r\n\r\n",
		"line feeds at the end":         "4\r\nbody\r\n0\n\n",
		"line feed at the end":          "4\r\nbody\r\n0\r\n\n",
		"line feed behind a trailer":    "4\r\nbody\r\n0\r\nX-Sum: 1\nX-More: 2\r\n\r\n",
		"line without a colon":          "4\r\nbody\r\n0\r\nX-Sum\r\n\r\n",
		"length among the trailers":     "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n",
		"control byte in the trailers":  "4\r\nbody\r\n0\r\nX-Sum: \x01\r\n\r\n",
		"trailers beyond the buffer":    "4\r\nbody\r\n0\r\nX-Sum: " + strings.Repeat("x", 20_000) + "\r\n\r\n",
		"response instead of a trailer": "4\r\nbody\r\n0\r\nHTTP/1.1 200 OK\r\nId: wanted\r\n\r\n",
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			bodies, errs := exchangeAll(t, []string{chunkedHead + raw})
			assert.Assert(t, errs[0] != nil, "taken as %q", bodies[0])
		})
	}
}
