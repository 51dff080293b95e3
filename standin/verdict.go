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

// ViolationError is returned for a run that violated an invariant.
type ViolationError struct {
	// Verdict holds the counts of the violations.
	Verdict schema.Verdict
}

// Error lists the counts that must be zero.
func (e *ViolationError) Error() string {
	v := e.Verdict

	return fmt.Sprintf("invariants violated: lost=%d misdirected=%d orders_twice=%d not_run_but_run=%d answered_but_not_run=%d over_connections=%d over_probes=%d calls_after_out=%d",
		v.Lost, v.Misdirected, v.OrdersTwice, v.NotRunButRun, v.AnsweredButNotRun, v.OverConnections, v.OverProbes, v.CallsAfterOut)
}

// Criteria holds what a run is judged by: the configured probe rates, and which
// backend servers the operators took out and when.
type Criteria struct {
	// ProbeRateMilli is the allowed number of probes in 1000 s by the backend
	// server's address. Probes of other backend servers are not checked.
	ProbeRateMilli map[string]int
	// TakenOut holds the addresses of the backend servers that were taken out.
	TakenOut map[string]bool
	// OutAtMs is the time at which they were taken out in Unix milliseconds.
	OutAtMs int
	// InAtMs is the time at which they were put back in Unix milliseconds, or
	// 0.
	InAtMs int
	// Permitted is how long calls may still arrive after OutAtMs.
	Permitted time.Duration
}

// RunVerdict reads the load report and the run records, prints the verdict and
// returns a *ViolationError if the run violated an invariant.
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
	criteria, err := readCriteria(settings)
	if err != nil {
		return err
	}
	verdict := Judge(run, records, criteria)
	if err := json.NewEncoder(os.Stdout).Encode(verdict); err != nil {
		return eris.Wrap(err, "printing the verdict")
	}
	if HasViolations(verdict) {
		return &ViolationError{Verdict: verdict}
	}

	return nil
}

// readCriteria returns the criteria from the settings and the sheet, if any.
func readCriteria(settings schema.VerdictSettings) (Criteria, error) {
	criteria := Criteria{
		ProbeRateMilli: map[string]int{}, TakenOut: map[string]bool{},
		OutAtMs: settings.OutAtMs, InAtMs: settings.InAtMs, Permitted: settings.Permitted,
	}
	if settings.OutAddress != "" {
		criteria.TakenOut[settings.OutAddress] = true
	}
	if settings.Sheet == "" {
		return criteria, nil
	}
	data, err := os.ReadFile(settings.Sheet)
	if err != nil {
		return criteria, eris.Wrap(err, "reading the sheet")
	}
	configuration, err := sheetcsv.Parse(settings.Sheet, data)
	if err != nil {
		return criteria, err
	}
	rates := map[string]int{}
	for _, service := range configuration.Services {
		rates[service.Name] = service.ProbeRateMilli
	}
	for _, server := range configuration.BackendServers {
		criteria.ProbeRateMilli[server.Address] = rates[server.Service]
		if server.DataCentre == settings.OutDataCentre {
			criteria.TakenOut[server.Address] = true
		}
	}

	return criteria, nil
}

// Judge compares the outcomes that callers received with the calls that backend
// servers ran.
func Judge(run schema.LoadRun, records []schema.RunRecord, criteria Criteria) schema.Verdict {
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
		if rate, ok := criteria.ProbeRateMilli[record.Address]; ok && record.Probes > allowedProbes(rate, record.UpMs) {
			verdict.OverProbes++
		}
		if criteria.TakenOut[record.Address] {
			judgeTakenOut(&verdict, record, criteria)
		}
	}

	return verdict
}

// judgeOrders compares the outcome of each order with the number of its runs.
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

// allowedProbes returns the number of probes that a backend server may receive
// while it is up, with one at its start.
func allowedProbes(rateMilli, upMs int) int {
	const ratePeriodMs = 1_000_000

	return 1 + rateMilli*upMs/ratePeriodMs
}

// judgeTakenOut counts the calls that reached a backend server after the
// permitted time while it was taken out.
func judgeTakenOut(verdict *schema.Verdict, record schema.RunRecord, criteria Criteria) {
	for _, interval := range record.Intervals {
		after := interval.FromMs - criteria.OutAtMs
		ends := interval.FromMs + int(intervalLength.Milliseconds())
		if after < 0 || criteria.InAtMs > 0 && ends > criteria.InAtMs {
			continue
		}
		verdict.LastCallAfterOutMs = max(verdict.LastCallAfterOutMs, after)
		if after > int(criteria.Permitted.Milliseconds()) {
			verdict.CallsAfterOut += interval.Calls
		}
	}
}

// HasViolations reports whether the run violated an invariant.
func HasViolations(v schema.Verdict) bool {
	return v.Lost != 0 || v.Misdirected+v.OrdersTwice+v.NotRunButRun+v.AnsweredButNotRun+v.OverConnections+v.OverProbes+v.CallsAfterOut > 0
}

// readJSON reads a JSON message from a file.
func readJSON[Out any](file string) (Out, error) {
	var out Out
	raw, err := os.ReadFile(file) //nolint:gosec // the settings name the file
	if err != nil {
		return out, eris.Wrapf(err, "reading %s", file)
	}

	return out, eris.Wrapf(json.Unmarshal(raw, &out), "decoding %s", file)
}
