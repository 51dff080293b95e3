// Package table decides how the declared configuration is kept in the
// platform's table: one row, replaced by compare-and-swap, with a change id by
// which a writer recognises its own write after a lost reply. It holds no
// clock, socket, goroutine or lock. Encoding lives in package tablehttp.
package table

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/schema"
)

// KeyConfiguration is the key of the row that holds the configuration.
const KeyConfiguration = "configuration"

// ConflictError reports that another change was accepted first.
type ConflictError struct {
	// ChangeID identifies the change that was not accepted.
	ChangeID string
	// Accepted identifies the change that was accepted instead.
	Accepted string
	// Version is the version that the accepted change made.
	Version int
}

// Error names both changes.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change %s conflicts with change %s, which made version %d", e.ChangeID, e.Accepted, e.Version)
}

// UnsettledError reports that the platform did not say whether a change was
// kept.
type UnsettledError struct {
	// ChangeID identifies the change.
	ChangeID string
	// Cause is the last failure.
	Cause error
}

// Error names the change and the last failure.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("change %s may or may not have been kept: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the last failure.
func (e *UnsettledError) Unwrap() error {
	return e.Cause
}

// UnavailableError reports that the platform was not asked, or only asked to
// read: nothing was written.
type UnavailableError struct {
	// Cause is the failure, or nil if the circuit was open.
	Cause error
}

// Error names the failure.
func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return "the platform does not answer; its circuit is open"
	}

	return fmt.Sprintf("the platform does not answer: %v", e.Cause)
}

// Unwrap returns the failure.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// ContainsChange reports whether the configuration holds the evidence that a change
// was kept.
func ContainsChange(configuration schema.Configuration, id string) bool {
	return slices.ContainsFunc(configuration.RecentChanges, func(r schema.ChangeRecord) bool { return r.ChangeID == id })
}

// Decode returns the configuration that the row holds, with the row's version.
// A row that does not exist holds a configuration of version 0.
func Decode(row schema.Row) (schema.Configuration, error) {
	var configuration schema.Configuration
	if row.Version == 0 {
		return configuration, nil
	}
	if err := json.Unmarshal([]byte(row.Value), &configuration); err != nil {
		return configuration, eris.Wrapf(err, "decoding row %s version %d", row.Key, row.Version)
	}
	configuration.Version = row.Version

	return configuration, nil
}

// Encode returns the transaction that replaces the base version by the
// configuration.
func Encode(configuration schema.Configuration, base int) (schema.Transaction, error) {
	value, err := json.Marshal(configuration)
	if err != nil {
		return schema.Transaction{}, eris.Wrap(err, "encoding the configuration")
	}

	return schema.Transaction{Rows: []schema.Row{{
		Key: KeyConfiguration, Version: base, ChangeID: configuration.ChangeID, Value: string(value),
	}}}, nil
}
