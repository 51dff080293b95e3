package placement

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// minRetryAfter is the shortest retry delay given to a refused caller: a
	// round trip and a round of load reports.
	minRetryAfter = 30 * time.Millisecond
	// maxRetryAfter is the longest retry delay. Callers give up within seconds.
	maxRetryAfter = time.Second
	// retryThroughputShare is the share of the service's throughput that is
	// assumed to be available to refused callers that retry.
	retryThroughputShare = 0.25
	// retryAfterJitter is the relative jitter of the retry delay, which keeps
	// refused callers from retrying at the same time.
	retryAfterJitter = 0.25
)

// service is the state of one service at this host.
type service struct {
	// Name is unique among the services.
	Name string
	// Rule is the declared rule for the backend servers of the service.
	Rule schema.ServiceRule

	servers    []*Server
	contention Contention
	// rollout is nil unless an order was in force for the service.
	rollout    *serviceRollout
	queue      []*call
	budget     *budget
	lastCallAt time.Time
	// counted is the last result of usage, or nil.
	counted *usage
	// refusedBacklog is the number of refused calls that the service has not
	// had the capacity to serve since they were refused, as of
	// refusedBacklogAt.
	refusedBacklog   float64
	refusedBacklogAt time.Time
}

// newService returns a service without backend servers. The budget starts at
// startedAt, when the host started.
func newService(name string, agreed Budget, startedAt time.Time) *service {
	return &service{Name: name, budget: newBudget(agreed, startedAt)}
}

// throughput returns the number of calls a second that the usable, warm backend
// servers finish, for calls of the given work.
func (s *service) throughput(now time.Time, work time.Duration, evacuated map[string]bool) float64 {
	return s.usage(now, evacuated).workPerSecond / work.Seconds()
}

// retryAfter records a refused call and returns when its caller may retry. The
// delay is computed as if refused calls formed a queue that the service works
// off in order.
func (s *service) retryAfter(now time.Time, work time.Duration, evacuated map[string]bool, random float64) time.Duration {
	rate := retryThroughputShare * s.throughput(now, work, evacuated)
	if rate == 0 {
		return maxRetryAfter
	}
	s.refusedBacklog = max(s.refusedBacklog-rate*now.Sub(s.refusedBacklogAt).Seconds(), 0) + 1
	s.refusedBacklogAt = now
	after := time.Duration(s.refusedBacklog / rate * float64(time.Second))
	after = min(max(after, minRetryAfter), maxRetryAfter)

	return time.Duration(float64(after) * (1 + retryAfterJitter*(2*random-1)))
}

// enqueue inserts a call into the queue, which is ordered by rank and then
// by arrival.
func (s *service) enqueue(waiting *call) {
	at, _ := slices.BinarySearchFunc(s.queue, waiting, func(a, b *call) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}

		return a.arrived.Compare(b.arrived)
	})
	s.queue = slices.Insert(s.queue, at, waiting)
	waiting.queued = true
}

// queuedBefore returns the number of queued calls that are sent before the
// given call.
func (s *service) queuedBefore(c *call) int {
	count := 0
	for _, other := range s.queue {
		if other != c && (other.rank < c.rank || other.rank == c.rank && !other.arrived.After(c.arrived)) {
			count++
		}
	}

	return count
}

// dequeue removes a call from the queue, if it is queued.
func (s *service) dequeue(waiting *call) {
	if waiting.queued {
		s.queue = slices.DeleteFunc(s.queue, func(other *call) bool { return other == waiting })
		waiting.queued = false
	}
}
