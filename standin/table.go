package standin

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Table is the platform's transactional table with its faults and its lagging
// list of hosts. One duty owns it.
type Table struct {
	// Lag is how long the list of hosts lags.
	Lag time.Duration

	rows       map[string]schema.Row
	objects    map[string]schema.Snapshot
	fault      schema.PlatformFault
	faultUntil time.Time
	pending    []listChange
	listed     schema.HostList
}

// listChange is a list of hosts that is not visible yet.
type listChange struct {
	visibleAt time.Time
	list      schema.HostList
}

// NewTable returns an empty table.
func NewTable(lag time.Duration) *Table {
	return &Table{
		Lag: lag, rows: map[string]schema.Row{}, objects: map[string]schema.Snapshot{},
		listed: schema.HostList{Hosts: []schema.ListedHost{}},
	}
}

// Read returns a row; version 0 means that it does not exist.
func (t *Table) Read(key string) schema.Row {
	row := t.rows[key]
	row.Key = key

	return row
}

// Commit writes all rows if each still has its stated version.
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

// SetHosts makes a list of hosts visible after the lag; the first one at once.
func (t *Table) SetHosts(now time.Time, list schema.HostList) {
	visible := now.Add(t.Lag)
	if len(t.listed.Hosts) == 0 {
		visible = now
	}
	t.pending = append(t.pending, listChange{visibleAt: visible, list: list})
}

// Hosts returns the visible list of hosts.
func (t *Table) Hosts(now time.Time) schema.HostList {
	for len(t.pending) > 0 && !now.Before(t.pending[0].visibleAt) {
		t.listed = t.pending[0].list
		t.pending = t.pending[1:]
	}

	return t.listed
}

// Inject starts a fault, which replaces the present one.
func (t *Table) Inject(now time.Time, fault schema.PlatformFault) {
	t.fault = fault
	t.faultUntil = now.Add(time.Duration(fault.ForMs) * time.Millisecond)
}

// Fault returns the fault in effect, or one without a kind.
func (t *Table) Fault(now time.Time) schema.PlatformFault {
	if now.Before(t.faultUntil) {
		return t.fault
	}

	return schema.PlatformFault{}
}
