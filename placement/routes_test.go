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

// Guards against calls that are refused as unknown because routes overlap: one is
// unreadable, or has the host and the prefix of another.
func TestOverlappingRoutes(t *testing.T) {
	route := func(name, prefix string, targets ...schema.RouteTarget) schema.Route {
		return schema.Route{Name: name, HostName: "a.example", Prefix: prefix, Targets: targets, MaxAttempts: 1, TargetMs: 400, TimeoutMs: 1000}
	}
	known := schema.RouteTarget{Service: "stock", Weight: 1}
	tests := map[string]struct {
		routes []schema.Route
		path   string
		sent   bool
		none   bool
	}{
		"prefix of all paths":             {routes: []schema.Route{route("r", "/", known)}, path: "/", sent: true},
		"prefix of all paths, two":        {routes: []schema.Route{route("r", "/", known)}, path: "//x/../y", sent: true},
		"longer one first":                {routes: []schema.Route{route("r", "/"), route("s", "/x/", known)}, path: "/x/", sent: true},
		"longer one last":                 {routes: []schema.Route{route("s", "/x/", known), route("t", "/")}, path: "/x/", sent: true},
		"unreadable, longer":              {routes: []schema.Route{route("r", "/", known), route("s", "/x/")}, path: "/x/"},
		"unreadable, no slash":            {routes: []schema.Route{route("r", "/x")}, path: "/xy"},
		"same prefix":                     {routes: []schema.Route{route("r", "/x/", known), route("s", "/x/", known)}, path: "/x/", sent: true},
		"same prefix, unreadable second":  {routes: []schema.Route{route("r", "/x/", known), route("s", "/x/")}, path: "/x/", sent: true},
		"same prefix, unreadable first":   {routes: []schema.Route{route("r", "/x/"), route("s", "/x/", known)}, path: "/x/"},
		"no path":                         {routes: []schema.Route{route("r", "/", known)}, path: "", none: true},
		"path without the slash":          {routes: []schema.Route{route("r", "/x/", known)}, path: "/x", none: true},
		"path in another spelling":        {routes: []schema.Route{route("r", "/x/", known)}, path: "/X/", none: true},
		"path of the server as a whole":   {routes: []schema.Route{route("r", "/", known)}, path: "*", none: true},
		"unreadable route of other paths": {routes: []schema.Route{route("r", "/y/")}, path: "/x/", none: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			declared := declaration(schema.Route{}, registration("a"))
			declared.Declaration.Routes = test.routes
			placer := newPlacer(declared)
			placer.Step(confirmed, currentUntil(confirmed, begin.Add(time.Minute)))
			actions := placer.Step(confirmed, placement.CallArrived{Call: 1, HostName: "a.example", Path: test.path, Wait: time.Second})
			_, sent := firstOf[placement.Send](actions)
			assert.Equal(t, sent, test.sent)
			finish, finished := firstOf[placement.Finish](actions)
			assert.Equal(t, finished, !test.sent)
			_, none := finish.Outcome.(placement.NoRoute)
			assert.Equal(t, none, test.none)
		})
	}
}
