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
	"github.com/baobabdrum/baobabdrum/sheetcsv"
)

// BrokenError reports a run that broke what must always hold.
type BrokenError struct {
	// Verdict holds the counts.
	Verdict schema.Verdict
}

// Error names the counts that must be zero.
func (e *BrokenError) Error() string {
	v := e.Verdict

	return fmt.Sprintf("broken: lost=%d misdirected=%d orders_twice=%d not_run_but_run=%d answered_but_not_run=%d over_connections=%d over_probes=%d calls_after_out=%d",
		v.Lost, v.Misdirected, v.OrdersTwice, v.NotRunButRun, v.AnsweredButNotRun, v.OverConnections, v.OverProbes, v.CallsAfterOut)
}

// Agreement is what the operators declared and did.
type Agreement struct {
	// ProbeRateMilli is the agreed number of probes in 1000 s by the backend
	// server's address. Others are not judged.
	ProbeRateMilli map[string]int
	// Left holds the addresses of the backend servers that left.
	Left map[string]bool
	// OutAtMs is the time of their leaving in Unix milliseconds.
	OutAtMs int
	// InAtMs is the time of their return in Unix milliseconds, or 0.
	InAtMs int
	// Permitted is how long calls may still arrive after the leaving.
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
	agreement, err := readAgreement(settings)
	if err != nil {
		return err
	}
	verdict := Judge(run, records, agreement)
	if err := json.NewEncoder(os.Stdout).Encode(verdict); err != nil {
		return eris.Wrap(err, "printing the verdict")
	}
	if Broken(verdict) {
		return &BrokenError{Verdict: verdict}
	}

	return nil
}

// readAgreement reads which backend servers left and what was agreed.
func readAgreement(settings schema.VerdictSettings) (Agreement, error) {
	agreement := Agreement{
		ProbeRateMilli: map[string]int{}, Left: map[string]bool{},
		OutAtMs: settings.OutAtMs, InAtMs: settings.InAtMs, Permitted: settings.Permitted,
	}
	if settings.OutAddress != "" {
		agreement.Left[settings.OutAddress] = true
	}
	if settings.Sheet == "" {
		return agreement, nil
	}
	data, err := os.ReadFile(settings.Sheet)
	if err != nil {
		return agreement, eris.Wrap(err, "reading the sheet")
	}
	configuration, err := sheetcsv.Parse(settings.Sheet, data)
	if err != nil {
		return agreement, err
	}
	rates := map[string]int{}
	for _, service := range configuration.Services {
		rates[service.Name] = service.ProbeRateMilli
	}
	for _, server := range configuration.BackendServers {
		agreement.ProbeRateMilli[server.Address] = rates[server.Service]
		if server.DataCentre == settings.OutDataCentre {
			agreement.Left[server.Address] = true
		}
	}

	return agreement, nil
}

// Judge compares what callers were told with what backend servers ran.
func Judge(run schema.LoadRun, records []schema.RunRecord, agreement Agreement) schema.Verdict {
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
		verdict.Shed += record.Shed
		verdict.FellOver += record.FellOver
		verdict.Probes += record.Probes
		if rate, ok := agreement.ProbeRateMilli[record.Address]; ok && record.Probes > agreedProbes(rate, record.UpMs) {
			verdict.OverProbes++
		}
		if agreement.Left[record.Address] {
			judgeLeaving(&verdict, record, agreement)
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

// agreedProbes returns the number of probes that a backend server may receive
// in a time, the first one at its start.
func agreedProbes(rateMilli, upMs int) int {
	const agreedMs = 1_000_000

	return 1 + rateMilli*upMs/agreedMs
}

// judgeLeaving counts the calls that reached a backend server that had left.
func judgeLeaving(verdict *schema.Verdict, record schema.RunRecord, agreement Agreement) {
	for _, interval := range record.Intervals {
		after := interval.FromMs - agreement.OutAtMs
		ends := interval.FromMs + int(intervalLength.Milliseconds())
		if after < 0 || agreement.InAtMs > 0 && ends > agreement.InAtMs {
			continue
		}
		verdict.LastCallAfterOutMs = max(verdict.LastCallAfterOutMs, after)
		if after > int(agreement.Permitted.Milliseconds()) {
			verdict.CallsAfterOut += interval.Calls
		}
	}
}

// Broken reports whether the run broke what must always hold.
func Broken(v schema.Verdict) bool {
	return v.Lost != 0 || v.Misdirected+v.OrdersTwice+v.NotRunButRun+v.AnsweredButNotRun+v.OverConnections+v.OverProbes+v.CallsAfterOut > 0
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
