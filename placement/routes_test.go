package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against calls that match no route because their host name, or the declared one,
// has other letter case or the dot of the root.
func TestHostNamesMatchInEachSpelling(t *testing.T) {
	tests := map[string]struct {
		declared string
		called   string
		matches  bool
	}{
		"same":                  {declared: "a.example", called: "a.example", matches: true},
		"call in upper case":    {declared: "a.example", called: "A.Example", matches: true},
		"call with a dot":       {declared: "a.example", called: "a.example.", matches: true},
		"declared in upper":     {declared: "A.EXAMPLE", called: "a.example", matches: true},
		"declared with a dot":   {declared: "a.example.", called: "a.example", matches: true},
		"two dots":              {declared: "a.example", called: "a.example.."},
		"a longer name":         {declared: "a.example", called: "a.example.com"},
		"only a dot":            {declared: "a.example", called: "."},
		"no name":               {declared: "a.example", called: ""},
		"name ends in the name": {declared: "a.example", called: "b.a.example"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			declared := declaration(schema.Route{}, registration("a"))
			declared.Declaration.Routes[0].HostName = test.declared
			placer := newPlacer(declared)
			_, sent := firstOf[placement.Send](placer.Step(begin, placement.CallArrived{Call: 1, HostName: test.called, Path: "/x/", Wait: time.Second}))
			assert.Equal(t, sent, test.matches)
		})
	}
}
