package operator_test

import (
	"errors"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
)

// start is the time at which the tests begin.
var start = time.UnixMilli(1_800_000_000_000)

// idAt returns a change id with a time relative to the start.
func idAt(after time.Duration, number byte) string {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(start.Add(after)))
	id[15] = number

	return id.String()
}

// declare returns the configuration of a sheet with one data centre.
func declare(day string, state schema.DataCentreState) schema.Configuration {
	return schema.Configuration{Day: day, DataCentres: []schema.DataCentre{{Name: "mu-north", State: state}}}
}

// applyAll applies changes in order, each with a new version, and returns the
// resulting configuration.
func applyAll(t *testing.T, changes ...operator.Change) schema.Configuration {
	t.Helper()
	var current schema.Configuration
	for i, change := range changes {
		applied, err := operator.Apply(current, change, idAt(time.Duration(i)*time.Minute, 0), nil)
		assert.NilError(t, err)
		assert.Assert(t, applied.Changed)
		current = applied.Configuration
		current.Version++
	}

	return current
}

func TestApply(t *testing.T) {
	in, out := schema.DataCentreStateIn, schema.DataCentreStateOut
	monday := operator.ReplaceSheet{Configuration: declare("2026-12-07", in)}
	mondayOut := operator.ReplaceSheet{Configuration: declare("2026-12-07", out)}
	tuesday := operator.ReplaceSheet{Configuration: declare("2026-12-08", in)}
	takeOut := operator.SetDataCentre{Name: "mu-north", State: out}
	based := func(change operator.ReplaceSheet, base int) operator.Change {
		change.BaseVersion = base

		return change
	}
	tests := map[string]struct {
		before    []operator.Change
		change    operator.Change
		overrides []schema.Override
		changed   bool
		err       error
	}{
		"first sheet":      {change: monday, changed: true},
		"same sheet again": {before: []operator.Change{monday}, change: monday},
		"same sheet after a data centre was taken out":   {before: []operator.Change{monday, takeOut}, change: monday},
		"sheet of an earlier day":                        {before: []operator.Change{monday, tuesday}, change: monday, err: &operator.OutdatedError{}},
		"another sheet of the same day":                  {before: []operator.Change{monday}, change: mondayOut, changed: true},
		"superseded sheet":                               {before: []operator.Change{monday, mondayOut}, change: monday, err: &operator.SupersededError{}},
		"superseded sheet with the current base version": {before: []operator.Change{monday, mondayOut}, change: based(monday, 2), changed: true},
		"current base version":                           {before: []operator.Change{monday}, change: based(tuesday, 1), changed: true},
		"outdated base version":                          {before: []operator.Change{monday, takeOut}, change: based(tuesday, 1), err: &table.ConflictError{}},
		"sheet contradicts an override that is not persisted": {
			before: []operator.Change{monday}, change: tuesday,
			overrides: []schema.Override{{DataCentre: "mu-north", State: out, ChangeID: idAt(time.Hour, 0)}},
			err:       &operator.NotPersistedError{},
		},
		"take a data centre out":                      {before: []operator.Change{monday}, change: takeOut, changed: true},
		"unknown data centre":                         {change: takeOut, err: &operator.UnknownDataCentreError{}},
		"take a data centre out twice":                {before: []operator.Change{monday, takeOut}, change: takeOut, changed: true},
		"take in after the collision window":          {before: []operator.Change{monday, takeOut}, change: operator.SetDataCentre{Name: "mu-north", State: in}, changed: true},
		"new sheet after a data centre was taken out": {before: []operator.Change{monday, takeOut}, change: tuesday, changed: true},
		"same sheet with an unknown base version":     {before: []operator.Change{monday}, change: based(monday, 7)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			current := applyAll(t, test.before...)
			id := idAt(time.Duration(len(test.before))*time.Minute, 0)
			applied, err := operator.Apply(current, test.change, id, test.overrides)
			if test.err != nil {
				assert.ErrorType(t, err, test.err)

				return
			}
			assert.NilError(t, err)
			assert.Equal(t, applied.Changed, test.changed)
			again, err := operator.Apply(applied.Configuration, test.change, id, test.overrides)
			assert.NilError(t, err)
			assert.Assert(t, !again.Changed, "the same change was applied twice")
		})
	}
}

func TestCheckCollision(t *testing.T) {
	in, out := schema.DataCentreStateIn, schema.DataCentreStateOut
	takenOut := schema.Override{DataCentre: "mu-north", State: out, ChangeID: idAt(0, 1)}
	tests := map[string]struct {
		after    time.Duration
		state    schema.DataCentreState
		override schema.Override
		collides bool
	}{
		"in within the window":      {after: time.Second, state: in, override: takenOut, collides: true},
		"in after the window":       {after: operator.CollisionWindow, state: in, override: takenOut},
		"out within the window":     {after: time.Second, state: out, override: takenOut},
		"in after in":               {after: time.Second, state: in, override: schema.Override{DataCentre: "mu-north", State: in, ChangeID: idAt(0, 1)}},
		"another data centre":       {after: time.Second, state: in, override: schema.Override{DataCentre: "mu-south", State: out, ChangeID: idAt(0, 1)}},
		"change id that is no ULID": {after: time.Second, state: in, override: schema.Override{DataCentre: "mu-north", State: out, ChangeID: "x"}},
		"clock behind":              {after: -time.Minute, state: in, override: takenOut, collides: true},
		"no override":               {after: time.Second, state: in},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			change := operator.SetDataCentre{Name: "mu-north", State: test.state}
			err := operator.CheckCollision(start.Add(test.after), schema.Configuration{}, []schema.Override{test.override}, change)
			var collided *operator.CollisionError
			assert.Equal(t, errors.As(err, &collided), test.collides)
		})
	}
}

// drawOverrides draws overrides of two data centres with ids 0 to 20 s after
// the start.
func drawOverrides(t *rapid.T, label string) []schema.Override {
	list := []schema.Override{}
	for _, name := range []string{"mu-north", "mu-south"} {
		if !rapid.Bool().Draw(t, label+" has "+name) {
			continue
		}
		number := rapid.IntRange(0, 20).Draw(t, label+" number")
		list = append(list, schema.Override{
			DataCentre: name, ChangeID: idAt(time.Duration(number)*time.Second, byte(number)), //nolint:gosec // a small number
			State: []schema.DataCentreState{schema.DataCentreStateIn, schema.DataCentreStateOut}[number%2],
		})
	}

	return list
}

// TestMergeIsAssociativeCommutativeIdempotent guards against hosts that
// disagree on overrides because they received them in different orders.
func TestMergeIsAssociativeCommutativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawOverrides(t, "a"), drawOverrides(t, "b"), drawOverrides(t, "c")
		assert.DeepEqual(t, operator.Merge(a, b), operator.Merge(b, a))
		assert.DeepEqual(t, operator.Merge(operator.Merge(a, b), c), operator.Merge(a, operator.Merge(b, c)))
		assert.DeepEqual(t, operator.Merge(a, a), a)
	})
}

func TestOutWinsWithinCollisionWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gap := time.Duration(rapid.IntRange(-10000, 10000).Draw(t, "gap ms")) * time.Millisecond
		out := schema.Override{DataCentre: "mu-north", State: schema.DataCentreStateOut, ChangeID: idAt(0, 1)}
		in := schema.Override{DataCentre: "mu-north", State: schema.DataCentreStateIn, ChangeID: idAt(gap, 2)}
		merged := operator.Merge([]schema.Override{in}, []schema.Override{out})
		assert.Equal(t, merged[0].State == schema.DataCentreStateOut, gap < operator.CollisionWindow)
	})
}

func TestConfigurationState(t *testing.T) {
	out := schema.Override{DataCentre: "mu-north", State: schema.DataCentreStateOut, ChangeID: idAt(time.Hour, 1), BaseVersion: 1}
	version := func(version int, decided string, recent ...string) operator.Event {
		configuration := declare("2026-12-07", schema.DataCentreStateIn)
		configuration.Version = version
		configuration.DataCentres[0].ChangeID = decided
		for _, id := range recent {
			configuration.RecentChanges = append(configuration.RecentChanges, schema.ChangeRecord{ChangeID: id})
		}

		return operator.ConfigurationRead{Configuration: configuration}
	}
	received := operator.OverridesReceived{Overrides: []schema.Override{out}}
	tests := map[string]struct {
		events    []operator.Event
		version   int
		overrides int
	}{
		"higher version": {events: []operator.Event{version(1, ""), version(3, "")}, version: 3},
		"lower version":  {events: []operator.Event{version(3, ""), version(1, "")}, version: 3},
		"restarted platform without a configuration": {events: []operator.Event{version(3, ""), operator.ConfigurationRead{}}, version: 3},
		"override":                                 {events: []operator.Event{version(1, ""), received}, version: 1, overrides: 1},
		"override before the configuration":        {events: []operator.Event{received, version(1, "")}, version: 1, overrides: 1},
		"override persisted":                       {events: []operator.Event{version(1, ""), received, version(2, out.ChangeID, out.ChangeID)}, version: 2},
		"override received after it was persisted": {events: []operator.Event{version(2, out.ChangeID, out.ChangeID), received}, version: 2},
		"another change persisted":                 {events: []operator.Event{version(1, ""), received, version(2, idAt(0, 1))}, version: 2, overrides: 1},
		"change to in within the collision window": {events: []operator.Event{version(1, ""), received, version(2, idAt(time.Hour+time.Second, 1))}, version: 2, overrides: 1},
		"later decision":                           {events: []operator.Event{version(1, ""), received, version(2, idAt(2*time.Hour, 1))}, version: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := operator.NewConfigurationState()
			for _, event := range test.events {
				state.Step(event)
			}
			assert.Equal(t, state.Configuration.Version, test.version)
			assert.Equal(t, len(state.Overrides), test.overrides)
		})
	}
}

func TestStopper(t *testing.T) {
	const keep = 2 * time.Second
	planned := func(host string, after time.Duration) operator.StopEvent {
		at := int(start.Add(after).UnixMilli())

		return operator.StopsDeclared{Stops: []schema.PlannedStop{{Host: host, AtMs: at}}}
	}
	tests := map[string]struct {
		event         operator.StopEvent
		leave, closed time.Duration
	}{
		"requested":                          {event: operator.StopAsked{}, closed: 5 * time.Second},
		"planned for this host":              {event: planned("host-1", 5*time.Second), leave: 5 * time.Second, closed: 10 * time.Second},
		"planned for another host":           {event: planned("host-2", 5*time.Second), leave: -1, closed: -1},
		"planned before the process started": {event: planned("host-1", -time.Second), leave: -1, closed: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			stopper := operator.NewStopper(start, "host-1", keep)
			leave, closed := time.Duration(-1), time.Duration(-1)
			actions := stopper.Step(start, test.event)
			for after := time.Duration(0); after < 20*time.Second; after += 100 * time.Millisecond {
				for _, action := range append(actions, stopper.Step(start.Add(after), operator.StopTicked{})...) {
					switch action.(type) {
					case operator.Leave:
						assert.Equal(t, leave, time.Duration(-1), "announced leaving twice")
						leave = after
					case operator.CloseFront:
						assert.Equal(t, closed, time.Duration(-1), "closed the front end twice")
						closed = after
					}
				}
				actions = nil
			}
			assert.Equal(t, leave, test.leave)
			assert.Equal(t, closed, test.closed)
		})
	}
}
