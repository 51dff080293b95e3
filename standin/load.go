package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// scheduled is a call that is due.
type scheduled struct {
	at      time.Time
	service string
	order   bool
	number  int
}

// RunLoad starts calls at a fixed rate, whether or not earlier ones have ended,
// and reports how they ended.
func RunLoad(ctx context.Context, settings schema.LoadSettings) error {
	due := ring.New[scheduled]("callers", settings.Callers)
	client := &fasthttp.Client{
		MaxConnsPerHost:           settings.Callers,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	callers := make([]*Caller, settings.Callers)
	var running conc.WaitGroup
	callersEnd, end := context.WithCancel(context.Background())
	for i := range callers {
		callers[i] = NewCaller(settings, client, i)
		running.Go(func() { callers[i].run(callersEnd, due) })
	}
	began := time.Now()
	run := schedule(ctx, settings, due)
	for due.Depth() > 0 {
		time.Sleep(time.Millisecond)
	}
	end()
	running.Wait()
	run.DurationMs = int(time.Since(began).Milliseconds())
	collect(&run, callers)

	return report(run, settings.Report)
}

// schedule offers calls at the wanted rate until the run ends.
func schedule(ctx context.Context, settings schema.LoadSettings, due *ring.Ring[scheduled]) schema.LoadRun {
	seed := uint64(settings.Seed)               //nolint:gosec // checked to be positive
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a simulation
	run := schema.LoadRun{Seed: settings.Seed, Rate: settings.Rate, OrdersUnknown: []string{}, OrdersNotRun: []string{}}
	end := time.Now().Add(settings.Duration)
	next := time.Now()
	for ctx.Err() == nil && next.Before(end) {
		time.Sleep(time.Until(next))
		run.Started++
		call := scheduled{
			at:      next,
			service: settings.Services[random.IntN(len(settings.Services))],
			order:   random.IntN(100) < settings.OrderPercent,
			number:  run.Started,
		}
		if due.Offer(call) != nil {
			run.LateStarts++
			_ = due.Put(ctx, call) // a call that is not put is not counted as answered
		}
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(settings.Rate)))
	}

	return run
}

// collect adds up what the callers saw.
func collect(run *schema.LoadRun, callers []*Caller) {
	byService := map[string]*Tally{}
	for _, caller := range callers {
		run.OrdersNotRun = append(run.OrdersNotRun, caller.ordersNotRun...)
		run.OrdersUnknown = append(run.OrdersUnknown, caller.ordersUnknown...)
		for service, tally := range caller.tallies {
			if byService[service] == nil {
				byService[service] = NewTally(service)
			}
			byService[service].Add(tally)
		}
	}
	run.Services = []schema.LoadReportService{}
	for _, tally := range byService {
		run.Services = append(run.Services, tally.Report())
	}
	slices.SortFunc(run.Services, func(a, b schema.LoadReportService) int {
		if a.Service < b.Service {
			return -1
		}

		return 1
	})
}

// report prints a table and writes the JSON file if one is wanted.
func report(run schema.LoadRun, file string) error {
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
