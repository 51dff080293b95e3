// Package operator decides what operators' changes do to the configuration and
// which configuration is in force at a host. It holds no clock, socket,
// goroutine or lock. Encoding lives in packages operatorhttp and sheet.
package operator

import (
	"fmt"
	"slices"

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

// Apply returns the configuration after the change and whether it differs.
func Apply(current schema.Configuration, change Change) (schema.Configuration, bool, error) {
	next := current
	switch change := change.(type) {
	case ReplaceSheet:
		if change.Configuration.Day < current.Day {
			return current, false, &OutdatedError{Day: change.Configuration.Day, InForce: current.Day}
		}
		next = change.Configuration
	case SetDataCentre:
		at := slices.IndexFunc(current.DataCentres, func(d schema.DataCentre) bool { return d.Name == change.Name })
		if at < 0 {
			return current, false, &UnknownDataCentreError{Name: change.Name}
		}
		next.DataCentres = slices.Clone(current.DataCentres)
		next.DataCentres[at].State = change.State
	}
	next.Version, next.ChangeID = current.Version, current.ChangeID

	return next, !equal(current, next), nil
}

// equal reports whether two configurations declare the same.
func equal(a, b schema.Configuration) bool {
	return a.Day == b.Day &&
		slices.Equal(a.Services, b.Services) &&
		slices.Equal(a.DataCentres, b.DataCentres) &&
		slices.Equal(a.BackendServers, b.BackendServers) &&
		slices.Equal(a.PlannedStops, b.PlannedStops)
}
