package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
)

const (
	ownIncarnation   = "01JEAAAAAAAAAAAAAAAAAAAAAA"
	otherIncarnation = "01JEBBBBBBBBBBBBBBBBBBBBBB"
)

// newOrderDuty returns a duty that runs orders of ownIncarnation and has a route
// to a leaving host with otherIncarnation.
func newOrderDuty(t *testing.T) *dispatch.Duty {
	t.Helper()
	duty := newDuty()
	duty.Router.Incarnation = ownIncarnation
	book := caller.NewOrderBook(ownIncarnation, time.Hour, 100, startTime)
	duty.Orders = dispatch.NewOrders(book, ring.New[dispatch.Claim]("claims", 1), rand.NewChaCha8([32]byte{1}))
	duty.Step(startTime, dispatch.Route{Routes: duty.Router.Routes.WithConfiguration(declare(1, schema.DataCentreStateIn, schema.DataCentreStateOut))})
	live := []schema.Host{{Name: "host-1", DataCentre: "north", Incarnation: ownIncarnation, CallerAddress: "127.0.0.1:1"}}
	leaving := []schema.Host{{Name: "host-2", DataCentre: "north", Incarnation: otherIncarnation, CallerAddress: "127.0.0.1:2"}}
	duty.Step(startTime, dispatch.Route{Routes: duty.Router.Routes.WithHosts(live, leaving)})

	return duty
}

// order steps the duty with a request for an order and returns its call id and
// reply ring.
func order(duty *dispatch.Duty, id caller.OrderID, number string, first bool) (caller.CallID, *ring.Ring[dispatch.Reply]) {
	reply := ring.New[dispatch.Reply]("reply", 1)
	call := caller.Call{ID: dispatch.NextCall(), Service: "catalogue", Deadline: startTime.Add(time.Minute)}
	duty.Step(startTime, dispatch.OrderCall{
		Order: caller.OrderRequest{Call: call, Order: id, First: first}, Number: number,
		Request: &dispatch.Request{Method: "POST", Target: "/"}, Reply: reply,
	})

	return call.ID, reply
}

// issueOrderID returns an order id that belongs to the incarnation.
func issueOrderID(t *testing.T, incarnation string) caller.OrderID {
	t.Helper()
	id, err := caller.NewOrderID(incarnation, startTime, rand.NewChaCha8([32]byte{2}))
	assert.NilError(t, err)

	return id
}

// outcomeOf returns the outcome of the reply in the ring, or nil if there is none.
func outcomeOf(reply *ring.Ring[dispatch.Reply]) caller.Outcome {
	received, _ := reply.Poll()
	finished, _ := received.(dispatch.Finished)

	return finished.Outcome
}

func TestForwardedOrders(t *testing.T) {
	for name, test := range map[string]struct {
		first  bool
		result backend.Result
		answer *dispatch.Answer
		want   caller.Outcome
	}{
		"answered": {
			result: backend.Whole{}, answer: &dispatch.Answer{Outcome: caller.Answered{}}, want: caller.Answered{},
		},
		"not run: the other host's response is passed on": {
			result: backend.Whole{}, answer: &dispatch.Answer{Outcome: caller.NotRun{}}, want: caller.Answered{},
		},
		"no outcome stated": {
			result: backend.Whole{}, answer: &dispatch.Answer{}, want: caller.Unknown{Reason: caller.ReasonCut},
		},
		"nothing sent, but an earlier request may have run": {
			result: backend.Unsent{}, want: caller.Unknown{Reason: caller.ReasonUnreachable},
		},
		"nothing sent, first request": {
			first: true, result: backend.Unsent{}, want: caller.NotRun{Reason: caller.ReasonUnreachable},
		},
		"response truncated, first request": {
			first: true, result: backend.Cut{}, want: caller.Unknown{Reason: caller.ReasonCut},
		},
		"timed out, first request": {
			first: true, result: backend.TimedOut{}, want: caller.Unknown{Reason: caller.ReasonDeadline},
		},
	} {
		t.Run(name, func(t *testing.T) {
			duty := newOrderDuty(t)
			id := issueOrderID(t, otherIncarnation)
			_, reply := order(duty, id, "", test.first)
			attempt, ok := duty.Attempts.Poll()
			assert.Assert(t, ok)
			assert.Equal(t, attempt.Address, "127.0.0.1:2")
			assert.Equal(t, attempt.OrderID, id.String())
			assert.Equal(t, attempt.Hops, 1)
			duty.Step(startTime, dispatch.Ended{Attempt: attempt, Result: test.result, Answer: test.answer})
			assert.DeepEqual(t, outcomeOf(reply), test.want)
		})
	}
}

func TestLargeAnswerOfAnOrder(t *testing.T) {
	duty := newOrderDuty(t)
	id := issueOrderID(t, ownIncarnation)
	first, reply := order(duty, id, "", false)
	_, repeat := order(duty, id, "", false)
	attempt, _ := duty.Attempts.Poll()
	assert.Equal(t, attempt.OrderID, "", "a run carries no order id")
	duty.Step(startTime, dispatch.Answering{Attempt: attempt, Answer: &dispatch.Answer{Length: 1 << 20}})
	begun, _ := reply.Poll()
	_, ok := begun.(dispatch.AnswerBegun)
	assert.Assert(t, ok)
	assert.Assert(t, outcomeOf(repeat) == nil)
	duty.Step(startTime, dispatch.Cancel{Call: first})
	assert.ErrorContains(t, attempt.Context.Err(), "canceled")
	duty.Step(startTime, dispatch.Ended{Attempt: attempt, Result: backend.Cancelled{}})
	assert.DeepEqual(t, outcomeOf(repeat), caller.Unknown{Reason: caller.ReasonCancelled})
}

func TestRunContinuesAfterItsCallerDisconnects(t *testing.T) {
	duty := newOrderDuty(t)
	id := issueOrderID(t, ownIncarnation)
	first, _ := order(duty, id, "", false)
	attempt, _ := duty.Attempts.Poll()
	duty.Step(startTime, dispatch.Cancel{Call: first})
	assert.NilError(t, attempt.Context.Err())
	duty.Step(startTime, dispatch.Ended{Attempt: attempt, Result: backend.Whole{}, Answer: &dispatch.Answer{Body: []byte("done")}})
	_, repeat := order(duty, id, "", false)
	received, _ := repeat.Poll()
	finished, _ := received.(dispatch.Finished)
	assert.Equal(t, string(finished.Answer.Body), "done")
	_, again := duty.Attempts.Poll()
	assert.Assert(t, !again, "the order ran twice")
}

func TestClaimedOrders(t *testing.T) {
	other := issueOrderID(t, otherIncarnation)
	held := func(claim dispatch.Claim) table.ClaimResult { return table.ClaimHeld{By: claim.Token} }
	taken := func(dispatch.Claim) table.ClaimResult { return table.ClaimHeld{By: other.String()} }
	malformed := func(dispatch.Claim) table.ClaimResult { return table.ClaimHeld{By: "1"} }
	unsettled := func(dispatch.Claim) table.ClaimResult { return table.ClaimUnsettled{} }

	for name, test := range map[string]struct {
		first   bool
		result  func(claim dispatch.Claim) table.ClaimResult
		address string
		want    caller.Outcome
	}{
		"held by this request":            {result: held, address: "127.0.0.1:10"},
		"held by another host's request":  {result: taken, address: "127.0.0.1:2"},
		"held by a malformed order id":    {result: malformed, want: caller.Unknown{Reason: caller.ReasonInvalid}},
		"unsettled for a later request":   {result: unsettled, want: caller.Unknown{Reason: caller.ReasonPlatformUnavailable}},
		"unsettled for the first request": {first: true, result: unsettled, want: caller.NotRun{Reason: caller.ReasonPlatformUnavailable}},
	} {
		t.Run(name, func(t *testing.T) {
			duty := newOrderDuty(t)
			_, reply := order(duty, caller.OrderID{}, "17", test.first)
			claim, ok := duty.Orders.Claims.Poll()
			assert.Assert(t, ok)
			duty.Step(startTime, dispatch.Claimed{Claim: claim, Result: test.result(claim)})
			assert.DeepEqual(t, outcomeOf(reply), test.want)
			attempt, started := duty.Attempts.Poll()
			assert.Equal(t, started, test.address != "")
			if started {
				assert.Equal(t, attempt.Address, test.address)
			}
			if refused, ok := test.want.(caller.NotRun); ok {
				id, err := caller.ParseOrderID(claim.Token)
				assert.NilError(t, err)
				_, late := order(duty, id, "", false)
				assert.DeepEqual(t, outcomeOf(late), refused)
			}
		})
	}
}
