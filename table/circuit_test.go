package table_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
)

func TestCircuitDuringOutage(t *testing.T) {
	tests := map[string]struct {
		outage time.Duration
		most   int
	}{
		"short outage": {outage: time.Second, most: 6},
		"long outage":  {outage: 10 * time.Minute, most: 320},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			circuit, now := table.NewCircuit(1), time.Time{}
			tries := 0
			for end := now.Add(test.outage); now.Before(end); now = now.Add(100 * time.Millisecond) {
				if circuit.Allow(now) {
					tries++
					circuit.Failed(now)
				}
			}
			assert.Assert(t, tries <= test.most, "%d requests during the outage", tries)
			returned := now
			for !circuit.Allow(now) {
				now = now.Add(100 * time.Millisecond)
			}
			assert.Assert(t, now.Sub(returned) <= 4*time.Second, "the first request after the outage came after %v", now.Sub(returned))
			assert.Equal(t, circuit.Allow(now), circuit.State == table.CircuitClosed)
			circuit.Succeeded()
			assert.Equal(t, circuit.State, table.CircuitClosed)
		})
	}
}

func TestReadInterval(t *testing.T) {
	tests := map[string]struct {
		hosts       int
		least, most time.Duration
	}{
		"few hosts keep the configured interval": {hosts: 14, least: 500 * time.Millisecond, most: 550 * time.Millisecond},
		"many hosts get a longer interval":       {hosts: 1000, least: 10 * time.Second, most: 11 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 0)) //nolint:gosec // a test's seed
			for range 100 {
				interval := table.ReadInterval(500*time.Millisecond, test.hosts, random)
				assert.Assert(t, interval >= test.least && interval <= test.most, "%v", interval)
			}
		})
	}
}

func TestSnapshot(t *testing.T) {
	whole, err := table.EncodeSnapshot(schema.Configuration{Version: 9, Day: "2026-12-04"}, nil)
	assert.NilError(t, err)
	tests := map[string]struct {
		change  func(s *schema.Snapshot)
		version int
		damaged bool
	}{
		"whole":   {change: func(*schema.Snapshot) {}, version: 9},
		"absent":  {change: func(s *schema.Snapshot) { *s = schema.Snapshot{} }},
		"torn":    {change: func(s *schema.Snapshot) { s.Value = s.Value[:len(s.Value)/2] }, damaged: true},
		"flipped": {change: func(s *schema.Snapshot) { s.Value = "[" + s.Value[1:] }, damaged: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			snapshot := whole
			test.change(&snapshot)
			configuration, err := table.DecodeSnapshot(snapshot)
			if test.damaged {
				assert.ErrorType(t, err, &table.ChecksumError{})

				return
			}
			assert.NilError(t, err)
			assert.Equal(t, configuration.Version, test.version)
		})
	}
}

func TestCircuitStates(t *testing.T) {
	now := time.UnixMilli(1_765_000_000_000)
	fail := func(circuit *table.Circuit) { circuit.Failed(now) }
	trial := func(circuit *table.Circuit) { circuit.Allow(now.Add(time.Hour)) }
	succeed := func(circuit *table.Circuit) { circuit.Succeeded() }

	for name, test := range map[string]struct {
		steps []func(circuit *table.Circuit)
		now   bool
		later bool
	}{
		"new":                      {now: true, later: true},
		"failed once":              {steps: []func(*table.Circuit){fail}, now: true, later: true},
		"failed until open":        {steps: []func(*table.Circuit){fail, fail}, later: true},
		"trial in progress":        {steps: []func(*table.Circuit){fail, fail, trial}},
		"trial failed":             {steps: []func(*table.Circuit){fail, fail, trial, fail}, later: true},
		"trial succeeded":          {steps: []func(*table.Circuit){fail, fail, trial, succeed}, now: true, later: true},
		"success between failures": {steps: []func(*table.Circuit){fail, succeed, fail}, now: true, later: true},
	} {
		t.Run(name, func(t *testing.T) {
			for at, want := range map[time.Duration]bool{0: test.now, time.Hour: test.later} {
				circuit := table.NewCircuit(1)
				for _, step := range test.steps {
					step(circuit)
				}
				assert.Equal(t, circuit.Allow(now.Add(at)), want, "after %s", at)
			}
		})
	}
}
