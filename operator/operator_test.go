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

// start is when the tests begin.
var start = time.UnixMilli(1_800_000_000_000)

// idAt returns a change id of a time after the start.
func idAt(after time.Duration, number byte) string {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(start.Add(after)))
	id[15] = number

	return id.String()
}

// declare returns what a sheet declares.
func declare(day string, state schema.DataCentreState) schema.Configuration {
	return schema.Configuration{Day: day, DataCentres: []schema.DataCentre{{Name: "mu-north", State: state}}}
}

// applyAll applies changes one after another and gives each its version.
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
		"a first sheet":             {change: monday, changed: true},
		"the same sheet again":      {before: []operator.Change{monday}, change: monday},
		"again after an out":        {before: []operator.Change{monday, takeOut}, change: monday},
		"yesterday's sheet":         {before: []operator.Change{monday, tuesday}, change: monday, err: &operator.OutdatedError{}},
		"another sheet of the day":  {before: []operator.Change{monday}, change: mondayOut, changed: true},
		"a replaced sheet again":    {before: []operator.Change{monday, mondayOut}, change: monday, err: &operator.SupersededError{}},
		"a replaced sheet on base":  {before: []operator.Change{monday, mondayOut}, change: based(monday, 2), changed: true},
		"the base in force":         {before: []operator.Change{monday}, change: based(tuesday, 1), changed: true},
		"another planner was first": {before: []operator.Change{monday, takeOut}, change: based(tuesday, 1), err: &table.ConflictError{}},
		"an out that is not kept": {
			before: []operator.Change{monday}, change: tuesday,
			overrides: []schema.Override{{DataCentre: "mu-north", State: out, ChangeID: idAt(time.Hour, 0)}},
			err:       &operator.NotKeptError{},
		},
		"a data centre out":       {before: []operator.Change{monday}, change: takeOut, changed: true},
		"an unknown data centre":  {change: takeOut, err: &operator.UnknownDataCentreError{}},
		"an out that is out":      {before: []operator.Change{monday, takeOut}, change: takeOut, changed: true},
		"in long after an out":    {before: []operator.Change{monday, takeOut}, change: operator.SetDataCentre{Name: "mu-north", State: in}, changed: true},
		"a sheet after an out":    {before: []operator.Change{monday, takeOut}, change: tuesday, changed: true},
		"the version is unlisted": {before: []operator.Change{monday}, change: based(monday, 7)},
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
			assert.Assert(t, !again.Changed, "the same change took effect twice")
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
		"in at once":      {after: time.Second, state: in, override: takenOut, collides: true},
		"in later":        {after: operator.CollisionWindow, state: in, override: takenOut},
		"out at once":     {after: time.Second, state: out, override: takenOut},
		"in after an in":  {after: time.Second, state: in, override: schema.Override{DataCentre: "mu-north", State: in, ChangeID: idAt(0, 1)}},
		"another centre":  {after: time.Second, state: in, override: schema.Override{DataCentre: "mu-south", State: out, ChangeID: idAt(0, 1)}},
		"a foreign id":    {after: time.Second, state: in, override: schema.Override{DataCentre: "mu-north", State: out, ChangeID: "x"}},
		"a clock behind":  {after: -time.Minute, state: in, override: takenOut, collides: true},
		"no override yet": {after: time.Second, state: in},
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

// drawOverrides draws overrides of two data centres around one time.
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
	heard := operator.OverridesHeard{Overrides: []schema.Override{out}}
	tests := map[string]struct {
		events    []operator.Event
		version   int
		overrides int
	}{
		"a higher version":               {events: []operator.Event{version(1, ""), version(3, "")}, version: 3},
		"a lower version":                {events: []operator.Event{version(3, ""), version(1, "")}, version: 3},
		"a restarted platform":           {events: []operator.Event{version(3, ""), operator.ConfigurationRead{}}, version: 3},
		"an override":                    {events: []operator.Event{version(1, ""), heard}, version: 1, overrides: 1},
		"heard before the configuration": {events: []operator.Event{heard, version(1, "")}, version: 1, overrides: 1},
		"kept":                           {events: []operator.Event{version(1, ""), heard, version(2, out.ChangeID, out.ChangeID)}, version: 2},
		"heard again after it was kept":  {events: []operator.Event{version(2, out.ChangeID, out.ChangeID), heard}, version: 2},
		"another change, not this one":   {events: []operator.Event{version(1, ""), heard, version(2, idAt(0, 1))}, version: 2, overrides: 1},
		"an in that collides":            {events: []operator.Event{version(1, ""), heard, version(2, idAt(time.Hour+time.Second, 1))}, version: 2, overrides: 1},
		"a later decision":               {events: []operator.Event{version(1, ""), heard, version(2, idAt(2*time.Hour, 1))}, version: 2},
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
		"asked":                     {event: operator.StopAsked{}, closed: 5 * time.Second},
		"planned":                   {event: planned("host-1", 5*time.Second), leave: 5 * time.Second, closed: 10 * time.Second},
		"planned for another host":  {event: planned("host-2", 5*time.Second), leave: -1, closed: -1},
		"planned before this start": {event: planned("host-1", -time.Second), leave: -1, closed: -1},
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
						assert.Equal(t, leave, time.Duration(-1), "left twice")
						leave = after
					case operator.CloseFront:
						assert.Equal(t, closed, time.Duration(-1), "closed twice")
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
