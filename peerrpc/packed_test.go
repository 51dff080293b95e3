package peerrpc_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/klauspost/compress/s2"
	"github.com/tinylib/msgp/msgp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/schema"
)

// declarationOf returns a declaration with a number of routes.
func declarationOf(routes int) schema.Declaration {
	declaration := schema.Declaration{Version: 3}
	for i, name := range manyIDs(routes) {
		declaration.Routes = append(declaration.Routes, schema.Route{
			Name: name, HostName: "shop.example", Prefix: fmt.Sprintf("/%s/", name[12:]), TimeoutMs: 1200, TargetMs: 300 + i%2, MaxAttempts: 2,
			Targets: []schema.RouteTarget{{Service: "stock", Weight: 1000}},
		})
	}

	return declaration
}

// Guards against large declarations that fill the links of hosts.
func TestLargeAnswersAreCompressed(t *testing.T) {
	tests := map[string]struct {
		routes int
		// smaller is how many times smaller the answer is than its encoding.
		smaller int
	}{
		"empty":        {smaller: 1},
		"few routes":   {routes: 10, smaller: 1},
		"many routes":  {routes: 2800, smaller: 4},
		"a megabyte":   {routes: 6000, smaller: 4},
		"some packets": {routes: 60, smaller: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			answer := peerrpc.PackedDeclaredAnswer{Body: schema.DeclaredAnswer{Declaration: declarationOf(test.routes), DeclaredVersion: 3}}
			encoded, err := answer.Body.MarshalMsg(nil)
			assert.NilError(t, err)
			var wire bytes.Buffer
			assert.NilError(t, msgp.Encode(&wire, &answer))
			assert.Assert(t, wire.Len()*test.smaller <= len(encoded), "%d bytes of %d", wire.Len(), len(encoded))
			var decoded peerrpc.PackedDeclaredAnswer
			assert.NilError(t, msgp.Decode(&wire, &decoded))
			assert.Equal(t, len(decoded.Body.Declaration.Routes), test.routes)
			if test.routes > 0 {
				assert.DeepEqual(t, decoded.Body.Declaration.Routes, answer.Body.Declaration.Routes)
			}
		})
	}
}

// Guards against compressed messages that take far more memory than was received, or that
// are taken although they are damaged.
func TestCompressedAnswersAreBounded(t *testing.T) {
	valid, err := (&schema.DeclaredAnswer{Declaration: declarationOf(60)}).MarshalMsg(nil)
	assert.NilError(t, err)
	packed := s2.Encode(nil, valid)
	tests := map[string][]byte{
		"decompresses to too much": msgp.AppendBytes(nil, s2.Encode(nil, []byte(strings.Repeat("x", 9<<20)))),
		"states too large a size":  append([]byte{0xc6, 0x7f, 0xff, 0xff, 0xff}, packed...),
		"no compressed data":       msgp.AppendBytes(nil, []byte(strings.Repeat("x", 100))),
		"empty":                    msgp.AppendBytes(nil, nil),
		"cut":                      msgp.AppendBytes(nil, packed)[:len(packed)/2],
		"cut before compression":   msgp.AppendBytes(nil, s2.Encode(nil, valid[:len(valid)/2])),
		"another type":             msgp.AppendString(nil, "text"),
	}
	for name, wire := range tests {
		t.Run(name, func(t *testing.T) {
			var decoded peerrpc.PackedDeclaredAnswer
			assert.Assert(t, msgp.Decode(bytes.NewReader(wire), &decoded) != nil)
		})
	}
}
