package callerhttp_test

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/callerhttp"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/ring"
)

const testOrderID = "01JEAAAAAAAAAAAAAAAAAAAAAA-01JEV5XQ8R9W3N4K5M6P7Q8R9S"

// listen returns a listener on a free port of the range for this package's tests.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	for port := 21900; port < 22000; port++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err == nil {
			return listener.(*net.TCPListener)
		}
	}
	t.Fatal("no port is free")

	return nil
}

// serveOrders runs a front end that gives each order the same reply, and returns
// its address and the ring that receives the orders.
func serveOrders(t *testing.T, reply dispatch.Finished) (string, *ring.Ring[dispatch.OrderCall]) {
	t.Helper()
	inputs := ring.New[dispatch.Input]("dispatch", 1)
	seen := ring.New[dispatch.OrderCall]("seen", 1)
	listener := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	duties := group.New(ctx)
	duties.Go("front", func(ctx context.Context) error {
		return callerhttp.New(inputs, time.Second, 1<<20).Run(ctx, listener)
	})
	duties.Go("dispatch", func(ctx context.Context) error {
		for {
			input, err := inputs.Take(ctx)
			if err != nil {
				return err
			}
			if order, ok := input.(dispatch.OrderCall); ok {
				_ = seen.Offer(order)
				_ = order.Reply.Offer(reply)
			}
		}
	})
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, duties.Wait())
	})

	return listener.Addr().String(), seen
}

func TestOrderRequests(t *testing.T) {
	answered := dispatch.Finished{Outcome: caller.Answered{}, Answer: &dispatch.Answer{Status: http.StatusCreated, Body: []byte("done"), Length: 4}}

	for name, test := range map[string]struct {
		method  string
		headers map[string]string
		reply   dispatch.Finished
		status  int
		outcome string
		reason  string
		first   bool
		attempt int
	}{
		"answered": {
			headers: map[string]string{backendhttp.HeaderOrderID: testOrderID}, reply: answered,
			status: http.StatusCreated, outcome: "answered",
		},
		"answered, stated to be the first attempt": {
			headers: map[string]string{backendhttp.HeaderOrderID: testOrderID, backendhttp.HeaderOrderAttempt: "0"}, reply: answered,
			status: http.StatusCreated, outcome: "answered", first: true,
		},
		"answered, later attempt with an order number": {
			headers: map[string]string{backendhttp.HeaderOrderNumber: "rose belle/17", backendhttp.HeaderOrderAttempt: "3"}, reply: answered,
			status: http.StatusCreated, outcome: "answered", attempt: 3,
		},
		"answered before, response not kept": {
			headers: map[string]string{backendhttp.HeaderOrderID: testOrderID},
			reply:   dispatch.Finished{Outcome: caller.Answered{Reason: caller.ReasonAnswerNotKept}},
			status:  http.StatusGone, outcome: "answered", reason: "answer_not_kept",
		},
		"unknown": {
			headers: map[string]string{backendhttp.HeaderOrderID: testOrderID},
			reply:   dispatch.Finished{Outcome: caller.Unknown{Reason: caller.ReasonExpired}},
			status:  http.StatusBadGateway, outcome: "unknown", reason: "expired",
		},
		"neither id nor number": {
			status: http.StatusBadRequest, outcome: "not_run", reason: "invalid",
		},
		"malformed id": {
			headers: map[string]string{backendhttp.HeaderOrderID: testOrderID[1:]},
			status:  http.StatusBadRequest, outcome: "not_run", reason: "invalid",
		},
		"malformed deadline of an order that may have run": {
			headers: map[string]string{backendhttp.HeaderOrderID: testOrderID, backendhttp.HeaderDeadline: "soon"},
			status:  http.StatusBadRequest, outcome: "unknown", reason: "invalid",
		},
		"number too long": {
			headers: map[string]string{backendhttp.HeaderOrderNumber: strings.Repeat("9", 129)},
			status:  http.StatusBadRequest, outcome: "not_run", reason: "invalid",
		},
		"number with a control character": {
			headers: map[string]string{backendhttp.HeaderOrderNumber: "a\tb"},
			status:  http.StatusBadRequest, outcome: "not_run", reason: "invalid",
		},
		"safe method": {
			method: http.MethodGet, headers: map[string]string{backendhttp.HeaderOrderID: testOrderID},
			status: http.StatusMethodNotAllowed, outcome: "not_run", reason: "invalid",
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, seen := serveOrders(t, test.reply)
			request, err := http.NewRequest(cmp.Or(test.method, http.MethodPost), "http://"+address+"/order/orders/place?n=1", nil)
			assert.NilError(t, err)
			for header, value := range test.headers {
				request.Header.Set(header, value)
			}
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Do(request)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, response.Header.Get(callerhttp.HeaderOutcome), test.outcome)
			assert.Equal(t, response.Header.Get(callerhttp.HeaderReason), test.reason)
			if order, ok := seen.Poll(); ok {
				assert.Equal(t, order.Order.First, test.first)
				assert.Equal(t, order.Order.Attempt, test.attempt)
				assert.Equal(t, order.Number, test.headers[backendhttp.HeaderOrderNumber])
				assert.Equal(t, order.Request.Target, "/place?n=1")
			} else {
				assert.Equal(t, test.status/100, 4)
			}
		})
	}
}

func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	for name, path := range map[string]string{"call": "/call/orders/", "order": "/order/orders/"} {
		t.Run(name, func(t *testing.T) {
			inputs := ring.New[dispatch.Input]("dispatch", 1)
			listener := listen(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var serving conc.WaitGroup
			serving.Go(func() { _ = callerhttp.New(inputs, 5*time.Second, 1<<20).Run(ctx, listener) })
			var replying conc.WaitGroup
			replying.Go(func() { answerLate(inputs, cancel) })
			request, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+path, nil)
			assert.NilError(t, err)
			request.Header.Set(backendhttp.HeaderOrderID, testOrderID)
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Do(request)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.Header.Get(callerhttp.HeaderOutcome), "answered")
			replying.Wait()
			serving.Wait()
		})
	}
}

// answerLate replies to one request 200 ms after the front starts to shut down.
func answerLate(inputs *ring.Ring[dispatch.Input], stop func()) {
	input, err := inputs.Take(context.Background())
	stop()
	time.Sleep(200 * time.Millisecond)
	answer := dispatch.Finished{Outcome: caller.Answered{}, Answer: &dispatch.Answer{Status: http.StatusOK}}
	if call, ok := input.(dispatch.Call); ok && err == nil {
		_ = call.Reply.Offer(answer)
	}
	if order, ok := input.(dispatch.OrderCall); ok && err == nil {
		_ = order.Reply.Offer(answer)
	}
}
