package caller_test

import (
	"cmp"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/caller"
)

// bookStart is the start of the books' clocks in these tests.
var bookStart = time.UnixMilli(1_765_000_000_000)

// orderAt returns an order id of incarnation A with the time of issue relative
// to bookStart.
func orderAt(offset time.Duration) caller.OrderID {
	id := ulid.ULID{15: 1}
	_ = id.SetTime(ulid.Timestamp(bookStart.Add(offset))) // the time is within the range

	return caller.OrderID{Incarnation: incarnationA, ULID: id}
}

func request(call caller.CallID, attempt int, id caller.OrderID) caller.OrderRequest {
	deadline := bookStart.Add(time.Hour)

	return caller.OrderRequest{Call: caller.Call{ID: call, Deadline: deadline}, Order: id, Attempt: attempt}
}

func TestOrderBook(t *testing.T) {
	id := orderAt(0)
	other := orderAt(time.Second)
	arrive := func(call caller.CallID, attempt int, id caller.OrderID) caller.OrderEvent {
		return caller.OrderArrived{OrderRequest: request(call, attempt, id), Run: 100 + call}
	}
	shed := caller.NotRun{Reason: caller.ReasonShed}
	cut := caller.Unknown{Reason: caller.ReasonCut}
	answerNotKept := caller.Answered{Reason: caller.ReasonAnswerNotKept}
	changed := request(2, 0, id)
	changed.Fingerprint[0] = 1
	foreign := id
	foreign.Incarnation = incarnationB

	for name, test := range map[string]struct {
		capacity int
		after    time.Duration
		events   []caller.OrderEvent
		want     map[caller.CallID]caller.Outcome
		runs     int
	}{
		"a repeat waits for the first run": {
			events: []caller.OrderEvent{arrive(1, 0, id), arrive(2, 0, id), caller.RunEnded{Run: 101, Outcome: caller.Answered{}}},
			want:   map[caller.CallID]caller.Outcome{1: caller.Answered{}, 2: caller.Answered{}},
			runs:   1,
		},
		"a repeat receives the kept answer": {
			events: []caller.OrderEvent{arrive(1, 0, id), caller.RunEnded{Run: 101, Outcome: caller.Answered{}, Size: 64 << 10}, arrive(2, 1, id)},
			want:   map[caller.CallID]caller.Outcome{1: caller.Answered{}, 2: caller.Answered{}},
			runs:   1,
		},
		"an answer too large to keep is not repeated": {
			events: []caller.OrderEvent{arrive(1, 0, id), caller.RunEnded{Run: 101, Outcome: caller.Answered{}, Size: 64<<10 + 1}, arrive(2, 0, id)},
			want:   map[caller.CallID]caller.Outcome{1: caller.Answered{}, 2: answerNotKept},
			runs:   1,
		},
		"a streamed answer is delivered to one request": {
			events: []caller.OrderEvent{arrive(1, 0, id), arrive(2, 0, id), caller.RunAnswering{Run: 101}, caller.RunEnded{Run: 101, Outcome: caller.Answered{}}, arrive(3, 0, id)},
			want:   map[caller.CallID]caller.Outcome{1: nil, 2: answerNotKept, 3: answerNotKept},
			runs:   1,
		},
		"an unknown order is never sent again": {
			events: []caller.OrderEvent{arrive(1, 0, id), caller.RunSent{Run: 101}, caller.RunEnded{Run: 101, Outcome: cut}, arrive(2, 9, id)},
			want:   map[caller.CallID]caller.Outcome{1: cut, 2: cut},
			runs:   1,
		},
		"a refused attempt never runs": {
			events: []caller.OrderEvent{arrive(1, 0, id), caller.RunEnded{Run: 101, Outcome: shed}, arrive(2, 0, id)},
			want:   map[caller.CallID]caller.Outcome{1: shed, 2: shed},
			runs:   1,
		},
		"a later attempt runs a refused order": {
			events: []caller.OrderEvent{arrive(1, 0, id), caller.RunEnded{Run: 101, Outcome: shed}, arrive(2, 1, id), caller.RunEnded{Run: 102, Outcome: caller.Answered{}}},
			want:   map[caller.CallID]caller.Outcome{1: shed, 2: caller.Answered{}},
			runs:   2,
		},
		"no attempt that ended as not_run runs later": {
			events: []caller.OrderEvent{arrive(1, 0, id), arrive(2, 5, id), caller.RunEnded{Run: 101, Outcome: shed}, arrive(3, 5, id)},
			want:   map[caller.CallID]caller.Outcome{1: shed, 2: shed, 3: shed},
			runs:   1,
		},
		"a declined order does not run": {
			events: []caller.OrderEvent{caller.OrderDeclined{OrderRequest: request(1, 0, id), Outcome: shed}, arrive(2, 0, id)},
			want:   map[caller.CallID]caller.Outcome{1: shed, 2: shed},
		},
		"a request with other content under the same id": {
			events: []caller.OrderEvent{arrive(1, 0, id), caller.OrderArrived{OrderRequest: changed, Run: 102}, caller.RunEnded{Run: 101, Outcome: caller.Answered{}}},
			want:   map[caller.CallID]caller.Outcome{1: caller.Answered{}, 2: caller.NotRun{Reason: caller.ReasonOrderMismatch}},
			runs:   1,
		},
		"an order of another incarnation": {
			events: []caller.OrderEvent{arrive(1, 0, foreign)},
			want:   map[caller.CallID]caller.Outcome{1: caller.Unknown{Reason: caller.ReasonIncarnationGone}},
		},
		"an expired id": {
			after:  time.Minute,
			events: []caller.OrderEvent{arrive(1, 0, id)},
			want:   map[caller.CallID]caller.Outcome{1: caller.Unknown{Reason: caller.ReasonExpired}},
		},
		"an id issued beyond the clock skew": {
			events: []caller.OrderEvent{arrive(1, 0, orderAt(61*time.Second))},
			want:   map[caller.CallID]caller.Outcome{1: caller.NotRun{Reason: caller.ReasonInvalid}},
		},
		"an id issued too far in the future to be recorded": {
			events: []caller.OrderEvent{arrive(1, 0, orderAt(3*time.Minute))},
			want:   map[caller.CallID]caller.Outcome{1: caller.Unknown{Reason: caller.ReasonInvalid}},
		},
		"a full book refuses new orders and keeps recorded ones": {
			capacity: 1,
			events:   []caller.OrderEvent{arrive(1, 0, id), arrive(2, 0, other), caller.RunEnded{Run: 101, Outcome: caller.Answered{}}, arrive(3, 0, id), arrive(4, 1, other)},
			want: map[caller.CallID]caller.Outcome{
				1: caller.Answered{}, 2: caller.NotRun{Reason: caller.ReasonOverloaded}, 3: caller.Answered{}, 4: caller.NotRun{Reason: caller.ReasonOverloaded},
			},
			runs: 1,
		},
		"a full book and an id issued ahead of its clock": {
			capacity: 1,
			events:   []caller.OrderEvent{arrive(1, 0, id), arrive(2, 0, orderAt(2*time.Second))},
			want:     map[caller.CallID]caller.Outcome{2: caller.Unknown{Reason: caller.ReasonOverloaded}},
			runs:     1,
		},
		"a run continues after its caller disconnected": {
			events: []caller.OrderEvent{arrive(1, 0, id), caller.OrderLeft{Call: 1}, caller.RunEnded{Run: 101, Outcome: caller.Answered{}}, arrive(2, 0, id)},
			want:   map[caller.CallID]caller.Outcome{1: caller.Unknown{Reason: caller.ReasonCancelled}, 2: caller.Answered{}},
			runs:   1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			book := caller.NewOrderBook(incarnationA, time.Minute, cmp.Or(test.capacity, 10), bookStart)
			outcomes, runs := map[caller.CallID]caller.Outcome{}, 0
			for _, event := range test.events {
				for _, action := range book.Step(bookStart.Add(test.after), event) {
					switch action := action.(type) {
					case caller.StartRun:
						runs++
						assert.Assert(t, !action.Call.Idempotent)
					case caller.BeginAnswer:
						outcomes[action.Call] = nil
					case caller.EndRequest:
						_, twice := outcomes[action.Call]
						assert.Assert(t, !twice, "request %d ended twice", action.Call)
						outcomes[action.Call] = action.Outcome
					case caller.Violation:
						t.Fatal(action)
					case caller.CancelRun, caller.KeepAnswer, caller.ForgetOrder:
					}
				}
			}
			assert.DeepEqual(t, outcomes, test.want)
			assert.Equal(t, runs, test.runs)
		})
	}
}

func TestOrderBookEvictsOnlyExpiredOrders(t *testing.T) {
	book := caller.NewOrderBook(incarnationA, time.Minute, 10, bookStart)
	arrived := caller.OrderArrived{OrderRequest: request(1, 0, orderAt(0)), Run: 101}
	book.Step(bookStart, arrived)
	book.Step(bookStart.Add(2*time.Minute), caller.OrdersTicked{})
	assert.Equal(t, book.Dump().Remembered, 1, "a running order was evicted")
	book.Step(bookStart.Add(2*time.Minute), caller.RunEnded{Run: 101, Outcome: caller.Answered{}})
	book.Step(bookStart.Add(2*time.Minute), caller.OrdersTicked{})
	assert.Equal(t, book.Dump().Remembered, 0)
	state, outcome := book.State(bookStart.Add(2*time.Minute), orderAt(0))
	assert.Equal(t, state, caller.OrderUnknown)
	assert.Equal(t, outcome, caller.Unknown{Reason: caller.ReasonExpired})
}

func TestOrderRefusedByAFullBookNeverRuns(t *testing.T) {
	book := caller.NewOrderBook(incarnationA, time.Minute, 1, bookStart)
	late := orderAt(30 * time.Second)
	book.Step(bookStart, caller.OrderArrived{OrderRequest: request(1, 0, orderAt(0)), Run: 101})
	book.Step(bookStart, caller.RunEnded{Run: 101, Outcome: caller.Answered{}})
	for _, after := range []time.Duration{30 * time.Second, 70 * time.Second} {
		actions := book.Step(bookStart.Add(after), caller.OrderArrived{OrderRequest: request(2, 0, late), Run: 102})
		assert.DeepEqual(t, actions[len(actions)-1], caller.EndRequest{
			Call: 2, Order: late, Outcome: caller.NotRun{Reason: caller.ReasonOverloaded},
		})
	}
}

func TestRequestsEndAtTheirOwnDeadlines(t *testing.T) {
	book := caller.NewOrderBook(incarnationA, time.Minute, 10, bookStart)
	for call, deadline := range map[caller.CallID]time.Duration{1: 3 * time.Second, 2: time.Second, 3: 2 * time.Second} {
		arrived := caller.OrderArrived{OrderRequest: request(call, 0, orderAt(0)), Run: 100 + call}
		arrived.Call.Deadline = bookStart.Add(deadline)
		book.Step(bookStart, arrived)
	}
	for second, call := range []caller.CallID{0, 2, 3, 1} {
		var want []caller.OrderAction
		if call > 0 {
			want = append(want, caller.EndRequest{Call: call, Order: orderAt(0), Outcome: caller.Unknown{Reason: caller.ReasonDeadline}})
		}
		assert.DeepEqual(t, book.Step(bookStart.Add(time.Duration(second)*time.Second), caller.OrdersTicked{}), want)
	}
	assert.Assert(t, book.Busy(), "the run ended with its requests")
}
