// Package operator applies operators' changes to the configuration and decides
// which configuration and overrides are in force at a host and when a planned
// stop proceeds. It holds no clock, socket, goroutine or lock. Packages
// operatorhttp and sheetcsv hold the encodings.
package operator

import (
	"fmt"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Change is an operator's change of the configuration: ReplaceSheet or
// SetDataCentre.
//
//sumtype:decl
type Change interface{ change() }

// ReplaceSheet replaces the configuration with a new sheet.
type ReplaceSheet struct {
	// Configuration holds the sheet's declarations.
	Configuration schema.Configuration
	// BaseVersion is the version that the sheet is based on; 0 accepts any.
	BaseVersion int
}

// SetDataCentre takes a data centre in or out of service.
type SetDataCentre struct {
	// Name is the data centre's name.
	Name string
	// State is the requested state.
	State schema.DataCentreState
}

func (ReplaceSheet) change()  {}
func (SetDataCentre) change() {}

// OutdatedError reports a sheet that is older than the one in force.
type OutdatedError struct {
	// Day is the day of the rejected sheet.
	Day string
	// InForce is the day of the sheet in force.
	InForce string
}

// Error names both days.
func (e *OutdatedError) Error() string {
	return fmt.Sprintf("sheet of %s is older than the sheet of %s in force", e.Day, e.InForce)
}

// UnknownDataCentreError reports a data centre that is not declared.
type UnknownDataCentreError struct {
	// Name is the requested name.
	Name string
}

// Error names the data centre.
func (e *UnknownDataCentreError) Error() string {
	return fmt.Sprintf("data centre %q is not declared", e.Name)
}

// NotPersistedError reports a data centre whose override is in force but not
// persisted yet.
type NotPersistedError struct {
	// DataCentre is the data centre's name.
	DataCentre string
	// ChangeID identifies the override.
	ChangeID string
}

// Error names the data centre and the change.
func (e *NotPersistedError) Error() string {
	return fmt.Sprintf("data centre %s was set by change %s, which is not persisted yet; apply the sheet again once it is", e.DataCentre, e.ChangeID)
}

// CollisionError reports a data centre that cannot be taken in because it was
// taken out within the collision window.
type CollisionError struct {
	// DataCentre is the data centre's name.
	DataCentre string
	// ChangeID identifies the change that took it out.
	ChangeID string
	// RetryAfter is the time to wait before taking the data centre in.
	RetryAfter time.Duration
}

// Error names the data centre, the change and the time to wait.
func (e *CollisionError) Error() string {
	return fmt.Sprintf("data centre %s was just taken out by change %s; take it in after %v", e.DataCentre, e.ChangeID, e.RetryAfter)
}

// SupersededError reports a sheet that was accepted before and replaced since.
type SupersededError struct {
	// ChangeID identifies the change that persisted the sheet.
	ChangeID string
	// InForce identifies the newest change.
	InForce string
}

// Error names both changes.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("sheet was accepted as change %s and replaced since; the newest change is %s", e.ChangeID, e.InForce)
}

// RegressedError reports that the platform's table holds an older configuration
// than the one in force.
type RegressedError struct {
	// Found is the version in the platform's table.
	Found int
	// InForce is the version in force at the host.
	InForce int
}

// Error names both versions.
func (e *RegressedError) Error() string {
	return fmt.Sprintf("platform holds configuration version %d, which is older than version %d in force", e.Found, e.InForce)
}
