package caller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/schema"
)

func TestRouteOrder(t *testing.T) {
	const incarnationC = "01JECCCCCCCCCCCCCCCCCCCCCC"
	router := caller.NewRouter("a", time.Second)
	router.Incarnation = incarnationA
	router.Step(bookStart, caller.HostsChanged{
		Hosts:   []schema.Host{{Incarnation: incarnationB, CallerAddress: "127.0.0.1:2"}},
		Leaving: []schema.Host{{Incarnation: incarnationC, CallerAddress: "127.0.0.1:3"}},
	})

	for name, test := range map[string]struct {
		incarnation string
		hops        int
		want        caller.OrderRoute
	}{
		"this host's incarnation":                 {incarnation: incarnationA, want: caller.OrderHere{}},
		"this host's incarnation after many hops": {incarnation: incarnationA, hops: 3, want: caller.OrderHere{}},
		"a live host's incarnation":               {incarnation: incarnationB, want: caller.OrderElsewhere{Address: "127.0.0.1:2"}},
		"a leaving host's incarnation":            {incarnation: incarnationC, hops: 1, want: caller.OrderElsewhere{Address: "127.0.0.1:3"}},
		"too many hops":                           {incarnation: incarnationB, hops: 2, want: caller.OrderUnreachable{Reason: caller.ReasonMisdirected}},
		"a dead host's incarnation":               {incarnation: "01JEDDDDDDDDDDDDDDDDDDDDDD", want: caller.OrderUnreachable{Reason: caller.ReasonIncarnationGone}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, router.RouteOrder(caller.OrderID{Incarnation: test.incarnation}, test.hops), test.want)
		})
	}
}
