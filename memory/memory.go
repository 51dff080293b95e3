// Package memory bounds the bytes that a host holds for requests and answers in
// flight. All of them share one budget, whose limit follows from the memory of the
// machine. The budget decides which of them may grow; its users read the bytes.
// Change this package to change what a host gives up when its memory is short.
package memory

import (
	"fmt"
	"io"
	"runtime"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Use is what bytes are held for.
type Use int

// The uses.
const (
	// Requests are bodies of callers' requests. A request that does not fit is
	// rejected before it ran.
	Requests Use = iota
	// Answers are bodies of backend servers' answers. An answer that does not fit is
	// lost work, so answers may take more than requests.
	Answers
)

// Shares of the limit. What an item holds up to the guaranteed size comes from the
// share of its use, which is large enough for maxAnswers answers, so that an answer
// of usual size always finds room. What exceeds it comes from a share for all uses.
const (
	answersShare  = 0.375
	requestsShare = 0.25
	// maxAnswers is the number of answers that are read at once, which is bounded by
	// the number of senders.
	maxAnswers = 256
)

// growthShares is how much one item of each use may take from the common share,
// relative to what is free there. The bound falls while that share fills, so that
// many bodies without end hold each other to a small part of it.
var growthShares = map[Use]float64{Requests: 0.25, Answers: 0.5}

// AdmitsExtra reports whether an item that holds some bytes of the common share may
// take more of them, with the limit of that share and what all items use of it.
func (u Use) AdmitsExtra(limit, used, held, more int) bool {
	free := limit - used

	return more <= free && float64(held+more) <= growthShares[u]*float64(free)
}

// String returns the name of the use for logs and metrics.
func (u Use) String() string {
	if u == Requests {
		return "requests"
	}

	return "answers"
}

// ExhaustedError reports a body that did not fit into the budget.
type ExhaustedError struct {
	// Use is what the bytes were held for.
	Use Use
	// Held is the number of bytes that had been read.
	Held int
	// Used is the number of bytes in use of all bodies.
	Used int
	// Limit is the budget.
	Limit int
}

// Error names the use and the sizes.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no memory for more than %d bytes of one of the %s: %d of %d bytes are in use", e.Held, e.Use, e.Used, e.Limit)
}

// Budget bounds the bytes in flight of a process. Its methods may be called by any
// duty.
type Budget struct {
	// Limit is the number of bytes for all items.
	Limit int
	// Guaranteed is the size up to which an item is not affected by larger ones.
	Guaranteed int

	own   [2]atomic.Int64
	extra atomic.Int64
}

// NewBudget returns an unused budget.
func NewBudget(limit int) *Budget {
	return &Budget{Limit: limit, Guaranteed: int(answersShare * float64(limit) / maxAnswers)}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int {
	return int(b.own[Requests].Load() + b.own[Answers].Load() + b.extra.Load())
}

// split divides the bytes of an item into those of the share of its use and those
// of the common share.
func (b *Budget) split(held int) (own, extra int) {
	own = min(held, b.Guaranteed)

	return own, held - own
}

// take takes bytes for an item and reports whether the budget admits them.
func (b *Budget) take(use Use, held, more int) bool {
	ownLimit := int(answersShare * float64(b.Limit))
	if use == Requests {
		ownLimit = int(requestsShare * float64(b.Limit))
	}
	ownBefore, extraBefore := b.split(held)
	ownAfter, extraAfter := b.split(held + more)
	own, extra := ownAfter-ownBefore, extraAfter-extraBefore
	if !reserve(&b.own[use], own, func(used int) bool { return used+own <= ownLimit }) {
		return false
	}
	extraLimit := int((1 - answersShare - requestsShare) * float64(b.Limit))
	if extra == 0 || reserve(&b.extra, extra, func(used int) bool { return use.AdmitsExtra(extraLimit, used, extraBefore, extra) }) {
		return true
	}
	b.own[use].Add(-int64(own))

	return false
}

// reserve adds bytes to a counter if they are admitted.
func reserve(counter *atomic.Int64, bytes int, admits func(used int) bool) bool {
	for {
		used := counter.Load()
		if !admits(int(used)) {
			return false
		}
		if counter.CompareAndSwap(used, used+int64(bytes)) {
			return true
		}
	}
}

// release returns the bytes of an item.
func (b *Budget) release(use Use, held int64) {
	own, extra := b.split(int(held))
	b.own[use].Add(-int64(own))
	b.extra.Add(-int64(extra))
}

// Reserve returns a reservation that holds no bytes.
func (b *Budget) Reserve(use Use) *Reservation {
	r := &Reservation{budget: b, use: use, held: &atomic.Int64{}}
	// A reservation whose owner is gone, such as that of a reply that nobody takes,
	// returns its bytes with the collection of the body.
	runtime.AddCleanup(r, func(held *atomic.Int64) { b.release(use, held.Swap(0)) }, r.held)

	return r
}

// Reservation is what one item holds of a budget. One duty uses it at a time.
type Reservation struct {
	budget *Budget
	use    Use
	held   *atomic.Int64
}

// Grow takes more bytes, or returns an *ExhaustedError.
func (r *Reservation) Grow(more int) error {
	held := int(r.held.Load())
	if !r.budget.take(r.use, held, more) {
		return &ExhaustedError{Use: r.use, Held: held, Used: r.budget.Used(), Limit: r.budget.Limit}
	}
	r.held.Add(int64(more))

	return nil
}

// Release returns all bytes. It may be called on a nil reservation and more than
// once.
func (r *Reservation) Release() {
	if r != nil {
		r.budget.release(r.use, r.held.Swap(0))
	}
}

// firstStep is the number of bytes that a body takes at first. Each further step is
// as large as what has been read, so that a slow sender holds little.
const firstStep = 8 << 10

// ReadAll reads a body to its end, or to its length if that is not negative. It
// calls grow, such as Reservation.Grow, before it takes more memory. It returns the
// error of grow, io.ErrUnexpectedEOF if the body is shorter than its length, or the
// error of the reader.
func ReadAll(reader io.Reader, length int, grow func(more int) error) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			step := max(len(body), firstStep)
			if length >= 0 {
				step = min(step, length-len(body))
			}
			if length >= 0 && step == 0 {
				return body, nil
			}
			if err := grow(step); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case err == io.EOF && (length < 0 || len(body) == length):
			return body, nil
		case err == io.EOF:
			return nil, eris.Wrapf(io.ErrUnexpectedEOF, "reading a body of %d bytes", length)
		case err != nil:
			return nil, eris.Wrap(err, "reading a body")
		}
	}
}
