package callerhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/callerhttp"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
)

// stoppingFront is a front that is stopped under load.
type stoppingFront struct {
	address  string
	answered atomic.Int64
	// cut counts requests that were sent and got no answer.
	cut atomic.Int64
}

// answerCalls answers each call after a time until the context ends.
func answerCalls(ctx context.Context, inputs *ring.Ring[dispatch.Input], work time.Duration) {
	for {
		input, err := inputs.Take(ctx)
		if err != nil {
			return
		}
		if call, ok := input.(dispatch.Call); ok {
			time.AfterFunc(work, func() {
				_ = call.Reply.Offer(dispatch.Finished{Outcome: caller.Answered{}, Answer: &dispatch.Answer{Status: http.StatusOK, Body: []byte("hinge"), Length: 5}})
			})
		}
	}
}

// callUntilClosed opens a connection and sends requests on it: one, or as many as it
// may until an answer closes it. It returns false when no connection is accepted.
func (s *stoppingFront) callUntilClosed(keep bool) bool {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, "GET /call/orders/x HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
			s.cut.Add(1)

			return true
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			s.cut.Add(1)

			return true
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			s.cut.Add(1)

			return true
		}
		s.answered.Add(1)
		if !keep || response.Close {
			return true
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a planned stop that cuts off requests which the front has just
// accepted, or sends callers with kept connections away without telling them.
func TestAPlannedStopUnderLoadAnswersEveryRequest(t *testing.T) {
	const callers = 40
	inputs := ring.New[dispatch.Input]("dispatch", 1024)
	listener := listen(t)
	ctx, closeFront := context.WithCancel(t.Context())
	answering, endAnswers := context.WithCancel(t.Context())
	front := callerhttp.New(inputs, 5*time.Second, 1<<20)
	s := &stoppingFront{address: listener.Addr().String()}
	var running, calling sync.WaitGroup
	running.Go(func() { assert.Check(t, front.Run(ctx, listener)) })
	running.Go(func() { answerCalls(answering, inputs, 5*time.Millisecond) })
	for i := range callers {
		calling.Go(func() {
			for s.callUntilClosed(i%2 == 0) {
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	front.Leave()
	time.Sleep(200 * time.Millisecond)
	closeFront()
	calling.Wait()
	endAnswers()
	running.Wait()
	t.Logf("%d requests answered, %d cut off", s.answered.Load(), s.cut.Load())
	assert.Assert(t, s.answered.Load() > callers)
	assert.Equal(t, s.cut.Load(), int64(0), "requests were cut off without an answer")
}
