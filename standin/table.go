package standin

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Table is the platform's transactional table with its object store, its fault
// and its delayed list of hosts. A single duty owns it.
type Table struct {
	// Lag is the delay until a change of the list of hosts becomes visible.
	Lag time.Duration

	rows       map[string]schema.Row
	objects    map[string]schema.Snapshot
	fault      schema.PlatformFault
	faultUntil time.Time
	pending    []listChange
	listed     schema.HostList
}

// listChange is a list of hosts that becomes visible later.
type listChange struct {
	visibleAt time.Time
	list      schema.HostList
}

// NewTable returns an empty table whose list of hosts lags by the given time.
func NewTable(lag time.Duration) *Table {
	return &Table{
		Lag: lag, rows: map[string]schema.Row{}, objects: map[string]schema.Snapshot{},
		listed: schema.HostList{Hosts: []schema.ListedHost{}},
	}
}

// Read returns a row. A row that does not exist has version 0.
func (t *Table) Read(key string) schema.Row {
	row := t.rows[key]
	row.Key = key

	return row
}

// Commit writes all rows and increments their versions if each stored row still
// has the version in the transaction. Otherwise it returns the stored rows.
func (t *Table) Commit(transaction schema.Transaction) schema.TransactionResult {
	result := schema.TransactionResult{Committed: true}
	for _, row := range transaction.Rows {
		current := t.Read(row.Key)
		result.Committed = result.Committed && current.Version == row.Version
		result.Rows = append(result.Rows, current)
	}
	if !result.Committed {
		return result
	}
	for i, row := range transaction.Rows {
		row.Version++
		t.rows[row.Key] = row
		result.Rows[i] = row
	}

	return result
}

// SetHosts sets the list of hosts, which becomes visible after the lag. The
// first list is visible at once.
func (t *Table) SetHosts(now time.Time, list schema.HostList) {
	visible := now.Add(t.Lag)
	if len(t.listed.Hosts) == 0 {
		visible = now
	}
	t.pending = append(t.pending, listChange{visibleAt: visible, list: list})
}

// Hosts returns the list of hosts that is visible now.
func (t *Table) Hosts(now time.Time) schema.HostList {
	for len(t.pending) > 0 && !now.Before(t.pending[0].visibleAt) {
		t.listed = t.pending[0].list
		t.pending = t.pending[1:]
	}

	return t.listed
}

// Inject starts a fault, which replaces the current one.
func (t *Table) Inject(now time.Time, fault schema.PlatformFault) {
	t.fault = fault
	t.faultUntil = now.Add(time.Duration(fault.ForMs) * time.Millisecond)
}

// Fault returns the active fault, or the zero fault if there is none.
func (t *Table) Fault(now time.Time) schema.PlatformFault {
	if now.Before(t.faultUntil) {
		return t.fault
	}

	return schema.PlatformFault{}
}
