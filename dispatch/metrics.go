package dispatch

import (
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/prometheus"
)

// observeInterval is the minimum time between updates of the cells' gauges.
const observeInterval = 250 * time.Millisecond

// observe updates the gauges of the cells and orders once every observeInterval.
func (d *Duty) observe(now time.Time) {
	if now.Sub(d.observedAt) < observeInterval {
		return
	}
	d.observedAt = now
	d.Metrics.ResetCells()
	orders := d.Orders.Book.Dump()
	d.Metrics.Orders(orders.Remembered, orders.Running)
	for key, cell := range d.Pool.Cells {
		inFlight := 0
		for _, server := range cell.Servers {
			inFlight += server.InFlight
		}
		labels := prometheus.CellLabels{Service: key.Service, DataCentre: key.DataCentre}
		d.Metrics.Cell(labels, cell.Queue.Len(), inFlight)
	}
}

// callLabels returns the labels of a call's outcome. The service label is empty
// unless the service is known to be declared, so that callers cannot create label
// values.
func callLabels(service string, outcome caller.Outcome) prometheus.CallLabels {
	switch outcome := outcome.(type) {
	case caller.Answered:
		return prometheus.CallLabels{Service: service, Outcome: "answered"}
	case caller.NotRun:
		if outcome.Reason == caller.ReasonUnknownService || outcome.Reason == caller.ReasonNotReady {
			service = ""
		}

		return prometheus.CallLabels{Service: service, Outcome: "not_run", Reason: string(outcome.Reason)}
	case caller.Unknown:
		return prometheus.CallLabels{Service: service, Outcome: "unknown", Reason: string(outcome.Reason)}
	}

	return prometheus.CallLabels{}
}

// resultName returns the label value for the result of an attempt.
func resultName(result backend.Result) string {
	switch result.(type) {
	case backend.Whole:
		return "whole"
	case backend.Shed:
		return "shed"
	case backend.Unsent:
		return "unsent"
	case backend.Cut:
		return "cut"
	case backend.TimedOut:
		return "timed_out"
	case backend.Cancelled:
		return "cancelled"
	}

	return ""
}
