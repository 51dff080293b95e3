package placement

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// minRetryAfter is the least time after which a refused caller is asked to
	// come back: a round trip and a round of load reports.
	minRetryAfter = 30 * time.Millisecond
	// maxRetryAfter is the longest such time. Callers stop waiting within seconds.
	maxRetryAfter = time.Second
	// retryThroughputShare is the share of the service's throughput that is taken to be left
	// for callers that come back.
	retryThroughputShare = 0.25
	// retryAfterJitter is the share by which that time varies between callers, so that
	// they do not come back together.
	retryAfterJitter = 0.25
)

// service is what a placer knows about one service.
type service struct {
	// Name is unique among the services.
	Name string
	// Rule says how the backend servers may be used.
	Rule schema.ServiceRule

	servers    []*Server
	contention Contention
	queue      []*call
	budget     *budget
	lastCallAt time.Time
	// refusedBacklog is the number of refused calls that the service had no time to serve
	// since, as of refusedBacklogAt.
	refusedBacklog   float64
	refusedBacklogAt time.Time
}

// newService returns a service without backend servers, at a host that began at
// a time.
func newService(name string, agreed Budget, startedAt time.Time) *service {
	return &service{Name: name, budget: newBudget(agreed, startedAt)}
}

// throughput returns the number of calls a second that the usable backend
// servers finish.
func (s *service) throughput(now time.Time, work time.Duration) float64 {
	rate := 0.0
	for _, server := range s.servers {
		if server.usable(now) && !server.Cold(now) {
			rate += float64(server.SlotLimit()) / (server.UsualPace * work.Seconds())
		}
	}

	return rate
}

// retryAfter counts a refused call and returns when its caller may come back. The
// refused calls form a queue that the service works off in order.
func (s *service) retryAfter(now time.Time, work time.Duration, random float64) time.Duration {
	rate := retryThroughputShare * s.throughput(now, work)
	if rate == 0 {
		return maxRetryAfter
	}
	s.refusedBacklog = max(s.refusedBacklog-rate*now.Sub(s.refusedBacklogAt).Seconds(), 0) + 1
	s.refusedBacklogAt = now
	after := time.Duration(s.refusedBacklog / rate * float64(time.Second))
	after = min(max(after, minRetryAfter), maxRetryAfter)

	return time.Duration(float64(after) * (1 + retryAfterJitter*(2*random-1)))
}

// enqueue adds a call to those that wait: the most urgent first, the oldest of
// them first.
func (s *service) enqueue(waiting *call) {
	at, _ := slices.BinarySearchFunc(s.queue, waiting, func(a, b *call) int {
		if a.route.Priority != b.route.Priority {
			return a.route.Priority - b.route.Priority
		}

		return a.arrived.Compare(b.arrived)
	})
	s.queue = slices.Insert(s.queue, at, waiting)
	waiting.queued = true
}

// queuedBefore returns the number of waiting calls that start before a call.
func (s *service) queuedBefore(c *call) int {
	count := 0
	for _, other := range s.queue {
		if other != c && (other.route.Priority < c.route.Priority || other.route.Priority == c.route.Priority && !other.arrived.After(c.arrived)) {
			count++
		}
	}

	return count
}

// dequeue removes a call from those that wait.
func (s *service) dequeue(waiting *call) {
	if waiting.queued {
		s.queue = slices.DeleteFunc(s.queue, func(other *call) bool { return other == waiting })
		waiting.queued = false
	}
}
