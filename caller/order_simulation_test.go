package caller_test

import (
	"flag"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	simulatedHosts    = 3
	simulatedSteps    = 300
	simulatedLifetime = 20 * time.Second
	simulatedCapacity = 2
)

// TestMain fixes the seed and the number of the randomised runs unless flags
// override them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if given := flag.Lookup(name); given.Value.String() == given.DefValue {
			_ = given.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// trackedOrder is an order from the perspective of its caller and the backend
// servers.
type trackedOrder struct {
	id              caller.OrderID
	guaranteedFirst bool
	sent            int
	ran             int
	ranByAttempt    int
	refused         int
}

// process is an incarnation of a host.
type process struct {
	slot          int
	book          *caller.OrderBook
	router        *caller.Router
	skew          time.Duration
	dead          bool
	frozen        bool
	outcomeCounts map[caller.CallID]int
	replies       map[caller.CallID]func(outcome caller.Outcome)
}

// transit is a request in transit to a host's address.
type transit struct {
	slot    int
	order   *trackedOrder
	request caller.OrderRequest
	reply   func(outcome caller.Outcome)
}

// activeRun is a run in transit to a backend server.
type activeRun struct {
	at      *process
	order   *trackedOrder
	id      caller.CallID
	attempt int
}

// simulation delivers, drops, duplicates and delays requests between hosts that
// freeze and restart.
type simulation struct {
	t         *rapid.T
	now       time.Time
	random    *rand.ChaCha8
	hosts     [simulatedHosts]*process
	all       []*process
	orders    []*trackedOrder
	transits  []transit
	runs      []activeRun
	responses []func()
	lastCall  caller.CallID
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: bookStart, random: rand.NewChaCha8([32]byte{7})}
	for slot := range s.hosts {
		s.restart(slot)
	}
	s.updateMembership()

	return s
}

func (s *simulation) restart(slot int) {
	if old := s.hosts[slot]; old != nil {
		old.dead = true
	}
	s.now = s.now.Add(time.Millisecond)
	incarnation := ulid.MustNew(ulid.Timestamp(s.now), s.random).String()
	skew := time.Duration(rapid.IntRange(-2000, 2000).Draw(s.t, "skew_ms")) * time.Millisecond
	started := &process{
		slot: slot, skew: skew, outcomeCounts: map[caller.CallID]int{}, replies: map[caller.CallID]func(caller.Outcome){},
		book:   caller.NewOrderBook(incarnation, simulatedLifetime, simulatedCapacity, s.now.Add(skew)),
		router: caller.NewRouter("", time.Second),
	}
	started.router.Incarnation = incarnation
	s.hosts[slot] = started
	s.all = append(s.all, started)
}

// updateMembership passes the live incarnations to one host or to all hosts.
func (s *simulation) updateMembership() {
	live := make([]schema.Host, 0, simulatedHosts)
	for _, host := range s.hosts {
		live = append(live, schema.Host{Incarnation: host.book.Incarnation, CallerAddress: strconv.Itoa(host.slot)})
	}
	only := rapid.IntRange(-simulatedHosts, simulatedHosts-1).Draw(s.t, "updated_host")
	for _, host := range s.hosts {
		if only < 0 || only == host.slot {
			host.router.Step(s.now, caller.HostsChanged{Hosts: live})
		}
	}
}

func (s *simulation) issueOrder() {
	incarnationHost := s.hosts[rapid.IntRange(0, simulatedHosts-1).Draw(s.t, "incarnation_host")]
	issuer := s.hosts[rapid.IntRange(0, simulatedHosts-1).Draw(s.t, "issuer")]
	id, err := caller.NewOrderID(incarnationHost.book.Incarnation, s.now.Add(issuer.skew), s.random)
	assert.NilError(s.t, err)
	s.orders = append(s.orders, &trackedOrder{id: id, refused: -1})
}

// send sends or repeats an order of a caller.
func (s *simulation) send() {
	if len(s.orders) == 0 {
		return
	}
	order := s.orders[rapid.IntRange(max(0, len(s.orders)-8), len(s.orders)-1).Draw(s.t, "order")]
	lowest := 0
	if order.guaranteedFirst {
		lowest = 1
	}
	attempt := rapid.IntRange(lowest, max(lowest, order.sent)).Draw(s.t, "attempt")
	order.guaranteedFirst = order.guaranteedFirst || order.sent == 0 && rapid.Bool().Draw(s.t, "guarantee_first")
	s.lastCall++
	request := caller.OrderRequest{
		Call:  caller.Call{ID: s.lastCall, Deadline: s.now.Add(10 * time.Second)},
		Order: order.id, Attempt: attempt, First: order.guaranteedFirst && order.sent == 0,
	}
	order.sent++
	slot := rapid.IntRange(0, simulatedHosts-1).Draw(s.t, "to")
	s.transits = append(s.transits, transit{slot: slot, order: order, request: request, reply: func(outcome caller.Outcome) {
		if request.First && order.sent > 1 {
			return // the caller abandoned this request before it sent another
		}
		s.checkOutcome(order, attempt, outcome)
	}})
}

// checkOutcome checks the outcome that a caller receives.
func (s *simulation) checkOutcome(order *trackedOrder, attempt int, outcome caller.Outcome) {
	switch outcome.(type) {
	case caller.Answered:
		assert.Equal(s.t, order.ran, 1, "order %s was answered and must have run once", order.id)
	case caller.NotRun:
		order.refused = max(order.refused, attempt)
		assert.Assert(s.t, order.ran == 0 || order.ranByAttempt > attempt, "order %s ran by attempt %d but attempt %d ended as not_run", order.id, order.ranByAttempt, attempt)
	case caller.Unknown:
	}
}

func (s *simulation) deliver() {
	if len(s.transits) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.transits)-1).Draw(s.t, "transit")
	message := s.transits[at]
	host := s.hosts[message.slot]
	if host.frozen {
		return
	}
	if message.request.First || rapid.IntRange(0, 3).Draw(s.t, "duplicate") > 0 {
		s.transits = append(s.transits[:at], s.transits[at+1:]...)
	}
	if message.request.Call.Hops > 0 || rapid.IntRange(0, 9).Draw(s.t, "drop") > 0 {
		s.arrive(host, message)
	}
}

// arrive processes a request as the dispatch duty does.
func (s *simulation) arrive(host *process, message transit) {
	s.lastCall++
	message.request.Call.ID = s.lastCall
	host.replies[s.lastCall] = message.reply
	switch route := host.router.RouteOrder(message.request.Order, message.request.Call.Hops).(type) {
	case caller.OrderHere:
		s.lastCall++
		s.book(host, caller.OrderArrived{OrderRequest: message.request, Run: s.lastCall}, message.order, message.request.Attempt)
	case caller.OrderElsewhere:
		slot, err := strconv.Atoi(route.Address)
		assert.NilError(s.t, err)
		s.forward(host, message, slot)
	case caller.OrderUnreachable:
		s.end(host, message.request.Call.ID, message.request.Undelivered(route.Reason))
	}
}

func (s *simulation) forward(host *process, message transit, slot int) {
	call := message.request.Call.ID
	if rapid.IntRange(0, 5).Draw(s.t, "unsent") == 0 {
		s.end(host, call, message.request.Undelivered(caller.ReasonUnreachable))

		return
	}
	forwarded := message
	forwarded.slot = slot
	forwarded.request.Call.Hops++
	forwarded.reply = func(outcome caller.Outcome) {
		s.responses = append(s.responses, func() { s.end(host, call, outcome) })
	}
	s.transits = append(s.transits, forwarded)
}

// end ends a request at a host unless it has ended or the host has died.
func (s *simulation) end(host *process, call caller.CallID, outcome caller.Outcome) {
	if reply, ok := host.replies[call]; ok && !host.dead {
		delete(host.replies, call)
		reply(outcome)
	}
}

// book passes an event to a host's book and executes the resulting actions.
func (s *simulation) book(host *process, event caller.OrderEvent, order *trackedOrder, attempt int) {
	for _, action := range host.book.Step(s.now.Add(host.skew), event) {
		switch action := action.(type) {
		case caller.StartRun:
			s.runs = append(s.runs, activeRun{at: host, order: order, id: action.Call.ID, attempt: attempt})
		case caller.EndRequest:
			host.outcomeCounts[action.Call]++
			assert.Equal(s.t, host.outcomeCounts[action.Call], 1, "a request must have one outcome")
			s.end(host, action.Call, action.Outcome)
		case caller.Violation:
			s.t.Fatalf("%s: %s", action.Invariant, action.Detail)
		case caller.CancelRun, caller.BeginAnswer, caller.KeepAnswer, caller.ForgetOrder:
		}
	}
}

// runEnd is the result of a run at a backend server.
type runEnd struct {
	ran     bool
	outcome caller.Outcome
}

// runEnds are the possible results of a run.
var runEnds = map[string]runEnd{
	"ran and answered":         {true, caller.Answered{}},
	"ran and was cut":          {true, caller.Unknown{Reason: caller.ReasonCut}},
	"did not run and was cut":  {false, caller.Unknown{Reason: caller.ReasonCut}},
	"did not run and was shed": {false, caller.NotRun{Reason: caller.ReasonShed}},
}

// endRun ends a run, which may have run at the backend server or not. The host
// that started the run may have died.
func (s *simulation) endRun() {
	if len(s.runs) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.runs)-1).Draw(s.t, "run")
	ended := s.runs[at]
	if ended.at.frozen {
		return
	}
	s.runs = append(s.runs[:at], s.runs[at+1:]...)
	end := runEnds[rapid.SampledFrom(slices.Sorted(maps.Keys(runEnds))).Draw(s.t, "end")]
	if end.ran {
		ended.order.ran++
		ended.order.ranByAttempt = ended.attempt
		assert.Equal(s.t, ended.order.ran, 1, "order %s ran twice", ended.order.id)
		assert.Assert(s.t, ended.attempt > ended.order.refused, "order %s ran by attempt %d after attempt %d ended as not_run", ended.order.id, ended.attempt, ended.order.refused)
	}
	if !ended.at.dead {
		s.book(ended.at, caller.RunEnded{Run: ended.id, Outcome: end.outcome}, ended.order, ended.attempt)
	}
}

func (s *simulation) respond() {
	if len(s.responses) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.responses)-1).Draw(s.t, "response")
	response := s.responses[at]
	s.responses = append(s.responses[:at], s.responses[at+1:]...)
	if rapid.IntRange(0, 9).Draw(s.t, "drop") > 0 {
		response()
	}
}

func (s *simulation) advance() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(s.t, "ms")) * time.Millisecond)
	for _, host := range s.hosts {
		if !host.frozen {
			s.book(host, caller.OrdersTicked{}, nil, 0)
		}
	}
}

func (s *simulation) toggleFreeze() {
	host := s.hosts[rapid.IntRange(0, simulatedHosts-1).Draw(s.t, "host")]
	host.frozen = !host.frozen
}

func TestOrdersRunAtMostOnce(t *testing.T) {
	var ran, refused, sent int
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		actions := []func(){
			s.issueOrder, s.send, s.send, s.send, s.deliver, s.deliver, s.deliver, s.deliver, s.endRun, s.endRun, s.respond, s.respond,
			s.advance, s.toggleFreeze, s.updateMembership, s.updateMembership, s.updateMembership,
			func() { s.restart(rapid.IntRange(0, simulatedHosts-1).Draw(t, "host")) },
		}
		weights := rapid.IntRange(0, 20*len(actions)-1)
		for range simulatedSteps {
			drawn := weights.Draw(t, "action")
			if drawn%len(actions) == len(actions)-1 && drawn > len(actions) {
				continue // restarts are rarer than other actions
			}
			actions[drawn%len(actions)]()
		}
		for len(s.runs) > 0 {
			s.runs[0].at.frozen = false
			s.endRun()
		}
		for _, host := range s.all {
			for call, count := range host.outcomeCounts {
				assert.Equal(t, count, 1, "request %d", call)
			}
		}
		for _, order := range s.orders {
			ran += order.ran
			sent += order.sent
			if order.refused >= 0 {
				refused++
			}
		}
	})
	t.Logf("ran %d orders, refused %d, sent %d requests", ran, refused, sent)
	assert.Assert(t, ran > 0 && refused > 0)
}
