package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// phase is the part of a run before, during or after the injected fault.
type phase string

// Phases of a run. The values appear in the report.
const (
	phaseBefore phase = "before"
	phaseDuring phase = "during"
	phaseAfter  phase = "after"
)

// phases lists all phases in chronological order.
var phases = []phase{phaseBefore, phaseDuring, phaseAfter}

// callKind is the kind of a call: item, pack, order or numberedOrder.
//
//sumtype:decl
type callKind interface{ callKind() }

// item is an idempotent call with a small answer.
type item struct{}

// pack is an idempotent call with a large answer of the given size.
type pack struct {
	bytes int
}

// order is a call that must run at most once. It carries an order id that a
// host issued.
type order struct{}

// numberedOrder is a call that must run at most once. It carries an order
// number that the caller chose.
type numberedOrder struct{}

func (item) callKind()          {}
func (pack) callKind()          {}
func (order) callKind()         {}
func (numberedOrder) callKind() {}

// scheduledCall is a call with the time at which it is due.
type scheduledCall struct {
	at      time.Time
	phase   phase
	service string
	kind    callKind
	number  int
}

// isOrder reports whether the call is an order.
func (s scheduledCall) isOrder() bool {
	switch s.kind.(type) {
	case order, numberedOrder:
		return true
	case item, pack:
	}

	return false
}

// path returns the request path at the backend server.
func (s scheduledCall) path() string {
	if large, ok := s.kind.(pack); ok {
		return packPath + strconv.Itoa(large.bytes)
	}

	return "/item"
}

// isComplete reports whether a body of size bytes is the complete answer.
func (s scheduledCall) isComplete(size int) bool {
	if large, ok := s.kind.(pack); ok {
		return size == large.bytes
	}

	return size == answerSize
}

// RunLoad generates open-loop load: it starts calls at a fixed mean rate
// whether or not earlier calls have ended. At the end it reports their
// outcomes.
func RunLoad(ctx context.Context, settings schema.LoadSettings) error {
	due := ring.New[scheduledCall]("callers", settings.Callers)
	client := &fasthttp.Client{
		MaxConnsPerHost:           settings.Callers,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	callers := make([]*Caller, settings.Callers)
	var running conc.WaitGroup
	callersEnd, end := context.WithCancel(context.Background())
	began := time.Now()
	for i := range callers {
		callers[i] = NewCaller(settings, client, began, i)
		running.Go(func() { callers[i].run(callersEnd, due) })
	}
	run := scheduleCalls(ctx, settings, due)
	for due.Depth() > 0 {
		time.Sleep(time.Millisecond)
	}
	end()
	running.Wait()
	run.DurationMs = int(time.Since(began).Milliseconds())
	mergeResults(&run, settings, callers)

	return writeReport(run, settings.Report)
}

// scheduleCalls offers calls to the callers at the configured rate, with
// exponentially distributed intervals, until the run ends.
func scheduleCalls(ctx context.Context, settings schema.LoadSettings, due *ring.Ring[scheduledCall]) schema.LoadRun {
	seed := uint64(settings.Seed)               //nolint:gosec // checked to be positive
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a simulation
	run := schema.LoadRun{Seed: settings.Seed, Rate: settings.Rate}
	began := time.Now()
	next := began
	for ctx.Err() == nil && next.Before(began.Add(settings.Duration)) {
		time.Sleep(time.Until(next))
		run.Started++
		call := drawCall(settings, random)
		call.at, call.number, call.phase = next, run.Started, phaseAt(settings, next.Sub(began))
		if due.Offer(call) != nil {
			run.LateStarts++
			if due.Put(ctx, call) != nil {
				run.Started--
			}
		}
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(settings.Rate)))
	}

	return run
}

// drawCall draws the service and the kind of a call.
func drawCall(settings schema.LoadSettings, random *rand.Rand) scheduledCall {
	if random.IntN(100) < settings.OrderPercent {
		call := scheduledCall{kind: order{}, service: settings.OrderServices[random.IntN(len(settings.OrderServices))]}
		if random.IntN(100) < settings.OrderNumberPercent {
			call.kind = numberedOrder{}
		}

		return call
	}
	call := scheduledCall{kind: item{}, service: settings.Services[random.IntN(len(settings.Services))]}
	if random.IntN(100) < settings.PackPercent {
		call.kind = pack{bytes: settings.PackBytes}
	}

	return call
}

// phaseAt returns the phase at a time after the start of the run.
func phaseAt(settings schema.LoadSettings, since time.Duration) phase {
	switch {
	case since < settings.FaultAfter:
		return phaseBefore
	case since < settings.FaultAfter+settings.FaultFor:
		return phaseDuring
	default:
		return phaseAfter
	}
}

// mergeResults adds the results of all callers to the report.
func mergeResults(run *schema.LoadRun, settings schema.LoadSettings, callers []*Caller) {
	byService, byPhase, orders := map[string]*Tally{}, map[phase]*Tally{}, map[string][]string{}
	reasons := map[schema.LoadReason]int{}
	for _, caller := range callers {
		merge(byService, caller.tallies)
		merge(byPhase, caller.phases)
		for reason, calls := range caller.reasons {
			reasons[reason] += calls
		}
		for outcome, names := range caller.ordersEnded {
			orders[outcome] = append(orders[outcome], names...)
		}
	}
	run.OrdersAnswered = append([]string{}, orders[outcomeAnswered]...)
	run.OrdersNotRun = append([]string{}, orders[outcomeNotRun]...)
	run.OrdersUnknown = append([]string{}, orders[outcomeUnknown]...)
	run.Reasons = listReasons(reasons)
	run.Services, run.Phases = []schema.LoadReportService{}, []schema.LoadPhase{}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		if tally := byService[service]; tally.Total() > 0 {
			run.Services = append(run.Services, tally.Report())
		}
	}
	for _, phase := range phases {
		if settings.FaultAfter > 0 {
			run.Phases = append(run.Phases, byPhase[phase].Phase())
		}
	}
}

// listReasons returns the reasons with their counts in a stable order.
func listReasons(reasons map[schema.LoadReason]int) []schema.LoadReason {
	list := make([]schema.LoadReason, 0, len(reasons))
	for reason, calls := range reasons {
		reason.Calls = calls
		list = append(list, reason)
	}
	slices.SortFunc(list, func(a, b schema.LoadReason) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Calls, b.Calls))
	})

	return list
}

// merge adds the tallies of one caller to the sums of all callers.
func merge[Key comparable](into, tallies map[Key]*Tally) {
	for key, tally := range tallies {
		if into[key] == nil {
			into[key] = NewTally(tally.report.Service)
		}
		into[key].Add(tally)
	}
}

// writeReport prints the report as a table and, unless file is empty, writes it
// to the file as JSON.
func writeReport(run schema.LoadRun, file string) error {
	if err := printTable(os.Stdout, run); err != nil {
		return err
	}
	if file == "" {
		return nil
	}
	raw, err := json.MarshalIndent(run, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encoding the report")
	}

	return eris.Wrap(os.WriteFile(file, append(raw, '\n'), 0o600), "writing the report")
}
