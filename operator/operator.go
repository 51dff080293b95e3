// Package operator decides what operators' changes do to the configuration and
// which configuration is in force at a host. It holds no clock, socket,
// goroutine or lock. Encoding lives in packages operatorhttp and sheet.
package operator

import (
	"fmt"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Change is what an operator wants: ReplaceSheet or SetDataCentre.
//
//sumtype:decl
type Change interface{ change() }

// ReplaceSheet replaces everything that a sheet declares.
type ReplaceSheet struct {
	// Configuration is what the sheet declares.
	Configuration schema.Configuration
	// BaseVersion is the version that the sheet was planned on; 0 accepts any.
	BaseVersion int
}

// SetDataCentre takes a data centre out or in.
type SetDataCentre struct {
	// Name names the data centre.
	Name string
	// State is the wanted state.
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
	return fmt.Sprintf("the sheet of %s is older than the sheet of %s in force", e.Day, e.InForce)
}

// UnknownDataCentreError reports a data centre that is not declared.
type UnknownDataCentreError struct {
	// Name is the rejected name.
	Name string
}

// Error names the data centre.
func (e *UnknownDataCentreError) Error() string {
	return fmt.Sprintf("data centre %q is not declared", e.Name)
}

// NotKeptError reports a data centre whose latest decision is not kept yet.
type NotKeptError struct {
	// DataCentre names the data centre.
	DataCentre string
	// ChangeID identifies the override that is in force but not kept.
	ChangeID string
}

// Error names the data centre and the change.
func (e *NotKeptError) Error() string {
	return fmt.Sprintf("data centre %s is out by change %s, which is not kept yet; apply the sheet again once it is", e.DataCentre, e.ChangeID)
}

// CollisionError reports a data centre that was taken out so recently that
// taking it in collides with it.
type CollisionError struct {
	// DataCentre names the data centre.
	DataCentre string
	// ChangeID identifies the change that took it out.
	ChangeID string
	// RetryAfter is how long an operator should wait before taking it in.
	RetryAfter time.Duration
}

// Error names the data centre, the change and the wait.
func (e *CollisionError) Error() string {
	return fmt.Sprintf("data centre %s was just taken out by change %s; take it in after %v", e.DataCentre, e.ChangeID, e.RetryAfter)
}

// SupersededError reports a sheet that was accepted before and replaced since.
type SupersededError struct {
	// ChangeID identifies the change that kept the sheet.
	ChangeID string
	// InForce identifies the newest change.
	InForce string
}

// Error names both changes.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("the sheet was accepted as change %s and replaced since; the newest change is %s", e.ChangeID, e.InForce)
}

// RegressedError reports a table whose configuration is older than the one in
// force.
type RegressedError struct {
	// Found is the version in the table.
	Found int
	// InForce is the version in force at the host.
	InForce int
}

// Error names both versions.
func (e *RegressedError) Error() string {
	return fmt.Sprintf("the platform holds version %d, which is older than version %d in force", e.Found, e.InForce)
}
