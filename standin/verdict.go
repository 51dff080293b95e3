package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/sheet"
)

// BrokenError reports a run that broke what must always hold.
type BrokenError struct {
	// Verdict holds the counts.
	Verdict schema.Verdict
}

// Error names the counts that must be zero.
func (e *BrokenError) Error() string {
	v := e.Verdict

	return fmt.Sprintf("broken: lost=%d misdirected=%d orders_twice=%d not_run_but_run=%d answered_but_not_run=%d over_connections=%d calls_after_out=%d",
		v.Lost, v.Misdirected, v.OrdersTwice, v.NotRunButRun, v.AnsweredButNotRun, v.OverConnections, v.CallsAfterOut)
}

// Departure is the time for which a data centre was out.
type Departure struct {
	// Addresses are the data centre's backend servers.
	Addresses map[string]bool
	// OutAtMs is the time of its leaving in Unix milliseconds.
	OutAtMs int
	// InAtMs is the time of its return in Unix milliseconds, or 0.
	InAtMs int
	// Permitted is how long calls may still reach it.
	Permitted time.Duration
}

// RunVerdict reads the reports, prints the verdict and returns a *BrokenError
// if the run broke what must always hold.
func RunVerdict(_ context.Context, settings schema.VerdictSettings) error {
	run, err := readJSON[schema.LoadRun](settings.Load)
	if err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(settings.Records, "*.json"))
	if err != nil {
		return eris.Wrap(err, "listing the run records")
	}
	var records []schema.RunRecord
	for _, file := range files {
		record, err := readJSON[schema.RunRecord](file)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	departure, err := readDeparture(settings)
	if err != nil {
		return err
	}
	verdict := Judge(run, records, departure)
	if err := json.NewEncoder(os.Stdout).Encode(verdict); err != nil {
		return eris.Wrap(err, "printing the verdict")
	}
	if Broken(verdict) {
		return &BrokenError{Verdict: verdict}
	}

	return nil
}

// readDeparture reads which backend servers left.
func readDeparture(settings schema.VerdictSettings) (Departure, error) {
	departure := Departure{
		Addresses: map[string]bool{}, OutAtMs: settings.OutAtMs, InAtMs: settings.InAtMs, Permitted: settings.Permitted,
	}
	if settings.OutDataCentre == "" {
		return departure, nil
	}
	data, err := os.ReadFile(settings.Sheet)
	if err != nil {
		return departure, eris.Wrap(err, "reading the sheet")
	}
	configuration, err := sheet.Parse(settings.Sheet, data)
	if err != nil {
		return departure, err
	}
	for _, server := range configuration.BackendServers {
		if server.DataCentre == settings.OutDataCentre {
			departure.Addresses[server.Address] = true
		}
	}

	return departure, nil
}

// Judge compares what callers were told with what backend servers ran.
func Judge(run schema.LoadRun, records []schema.RunRecord, departure Departure) schema.Verdict {
	verdict := schema.Verdict{Started: run.Started, OrdersUnknown: len(run.OrdersUnknown)}
	for _, service := range run.Services {
		verdict.Answered += service.Answered
		verdict.Failed += service.Failed
		verdict.NotRun += service.NotRun
		verdict.Unknown += service.Unknown
		verdict.Misdirected += service.Misdirected
	}
	verdict.Lost = verdict.Started - verdict.Answered - verdict.NotRun - verdict.Unknown - verdict.Misdirected
	judgeOrders(&verdict, run, records)
	for _, record := range records {
		verdict.OverConnections += record.ConnectionsRefused
		if record.Shed > 0 {
			verdict.OverSlots++
		}
		if departure.Addresses[record.Address] {
			judgeDeparture(&verdict, record, departure)
		}
	}

	return verdict
}

// judgeOrders compares each order's outcome with its runs.
func judgeOrders(verdict *schema.Verdict, run schema.LoadRun, records []schema.RunRecord) {
	runs := map[string]int{}
	for _, record := range records {
		for _, order := range record.Orders {
			runs[order.Order]++
		}
	}
	verdict.Orders = len(runs)
	for _, count := range runs {
		if count > 1 {
			verdict.OrdersTwice++
		}
	}
	for _, order := range run.OrdersNotRun {
		if runs[order] > 0 {
			verdict.NotRunButRun++
		}
	}
	for _, order := range run.OrdersAnswered {
		if runs[order] == 0 {
			verdict.AnsweredButNotRun++
		}
	}
}

// judgeDeparture counts the calls that reached a backend server while its data
// centre was out.
func judgeDeparture(verdict *schema.Verdict, record schema.RunRecord, departure Departure) {
	for _, interval := range record.Intervals {
		after := interval.FromMs - departure.OutAtMs
		ends := interval.FromMs + int(intervalLength.Milliseconds())
		if after < 0 || departure.InAtMs > 0 && ends > departure.InAtMs {
			continue
		}
		verdict.LastCallAfterOutMs = max(verdict.LastCallAfterOutMs, after)
		if after > int(departure.Permitted.Milliseconds()) {
			verdict.CallsAfterOut += interval.Calls
		}
	}
}

// Broken reports whether the run broke what must always hold.
func Broken(v schema.Verdict) bool {
	return v.Lost != 0 || v.Misdirected+v.OrdersTwice+v.NotRunButRun+v.AnsweredButNotRun+v.OverConnections+v.CallsAfterOut > 0
}

// readJSON reads a message from a file.
func readJSON[Out any](file string) (Out, error) {
	var out Out
	raw, err := os.ReadFile(file) //nolint:gosec // the settings name the file
	if err != nil {
		return out, eris.Wrapf(err, "reading %s", file)
	}

	return out, eris.Wrapf(json.Unmarshal(raw, &out), "decoding %s", file)
}
