// Package table decides how hosts use the platform's table: the configuration is
// one row, replaced by compare-and-swap, with a change id by which a writer
// recognises its own write after a lost reply. It also decides claims of order
// numbers, snapshots, read intervals and the circuit breaker. It has no clock,
// socket, goroutine or lock; package tablehttp contains the encoding.
package table

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/schema"
)

// KeyConfiguration is the key of the configuration's row.
const KeyConfiguration = "configuration"

// ConflictError reports that another change replaced the base version first.
type ConflictError struct {
	// ChangeID identifies the rejected change.
	ChangeID string
	// Accepted identifies the change that was accepted instead.
	Accepted string
	// Version is the version that the accepted change created.
	Version int
}

// Error returns a message with both changes and the version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change %s conflicts with change %s, which created version %d", e.ChangeID, e.Accepted, e.Version)
}

// UnsettledError reports a change that the platform may or may not have stored.
type UnsettledError struct {
	// ChangeID identifies the change.
	ChangeID string
	// Cause is the last failure.
	Cause error
}

// Error returns a message with the change and the last failure.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("change %s may or may not have been stored: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the last failure.
func (e *UnsettledError) Unwrap() error {
	return e.Cause
}

// UnavailableError reports that the platform was unavailable before the write, so
// that nothing was written.
type UnavailableError struct {
	// Cause is the failure, or nil if the circuit was open.
	Cause error
}

// Error returns a message with the failure, or states that the circuit is open.
func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return "platform unavailable: the circuit is open"
	}

	return fmt.Sprintf("platform unavailable: %v", e.Cause)
}

// Unwrap returns the failure.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// ContainsChange reports whether the configuration lists the change among its
// recent changes, which proves that the change was stored.
func ContainsChange(configuration schema.Configuration, id string) bool {
	return slices.ContainsFunc(configuration.RecentChanges, func(r schema.ChangeRecord) bool { return r.ChangeID == id })
}

// Decode returns the configuration in the row, with the row's version. A row that
// does not exist yields version 0.
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

// Encode returns the transaction that replaces the base version with the
// configuration.
func Encode(configuration schema.Configuration, base int) (schema.Transaction, error) {
	value, err := json.Marshal(configuration)
	if err != nil {
		return schema.Transaction{}, eris.Wrap(err, "encoding configuration")
	}

	return schema.Transaction{Rows: []schema.Row{{
		Key: KeyConfiguration, Version: base, ChangeID: configuration.ChangeID, Value: string(value),
	}}}, nil
}
