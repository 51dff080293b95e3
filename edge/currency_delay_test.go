package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lastCurrent returns how long after the store was lost a host last took its declaration
// for the newest one.
func (s *simulation) lastCurrent(length time.Duration) time.Duration {
	began, last := s.now, time.Duration(0)
	for s.now.Sub(began) < length {
		s.run(simulatedStep)
		for _, host := range s.hosts {
			if s.current(host) {
				last = s.now.Sub(began)
			}
		}
	}

	return last
}

// Guards against hosts that confirm an outdated declaration to each other: the time that a
// beacon waits at its receiver is no part of the age that it states, so that a declaration
// stays current long after the store has confirmed it for the last time.
func TestWaitingBeaconsDoNotKeepADeclarationCurrent(t *testing.T) {
	tests := map[string]struct {
		hosts   int
		waiting time.Duration
	}{
		"eight hosts":                      {hosts: 8},
		"forty hosts":                      {hosts: 40},
		"eight hosts, beacons wait 100 ms": {hosts: 8, waiting: 100 * time.Millisecond},
		"forty hosts, beacons wait 100 ms": {hosts: 40, waiting: 100 * time.Millisecond},
		"eight hosts, beacons wait 300 ms": {hosts: 8, waiting: 300 * time.Millisecond},
		"forty hosts, beacons wait 300 ms": {hosts: 40, waiting: 300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startWithTenants(test.hosts, 1)
			for _, host := range s.hosts {
				host.inputDelay = test.waiting
			}
			s.run(3 * time.Second)
			for _, host := range s.hosts {
				host.cut = cutSilent
			}
			last := s.lastCurrent(12 * time.Second)
			t.Logf("last current %v after the loss of the store", last)
			assert.Assert(t, last <= simulatedBound+test.waiting+5*simulatedStep, "current %v after the store was lost, bound %v", last, simulatedBound)
		})
	}
}

// wronglyCurrent runs for a number of steps and returns for how long each host has taken an
// outdated declaration for the newest one.
func (s *simulation) wronglyCurrent(steps int) map[string]time.Duration {
	wrong := map[string]time.Duration{}
	for range steps {
		for _, host := range s.hosts {
			if host.duty.replica.Declared.Declaration.Version < s.declaration.Version && s.current(host) {
				wrong[host.duty.directory.Self.Name] += simulatedStep
			}
		}
		s.run(simulatedStep)
	}

	return wrong
}

// Guards against hosts that deny an added route because they take beacons and answers of
// the store that have waited for them for confirmations from now.
func TestHostsThatHandleInputsLateAreNotCurrent(t *testing.T) {
	tests := map[string]struct {
		waiting time.Duration
		// late reports whether the inputs of a host wait.
		late func(int) bool
	}{
		"no host":                        {},
		"one host, one second":           {waiting: time.Second, late: func(i int) bool { return i == 12 }},
		"one host, three seconds":        {waiting: 3 * time.Second, late: func(i int) bool { return i == 12 }},
		"every second host, 0.8 seconds": {waiting: 800 * time.Millisecond, late: func(i int) bool { return i%2 == 0 }},
		"all hosts, half a second":       {waiting: 500 * time.Millisecond, late: func(int) bool { return true }},
		"all hosts, 0.8 seconds":         {waiting: 800 * time.Millisecond, late: func(int) bool { return true }},
		"all hosts, 1.2 seconds":         {waiting: 1200 * time.Millisecond, late: func(int) bool { return true }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startWithTenants(15, 1)
			for i, host := range s.hosts {
				if test.late != nil && test.late(i) {
					host.inputDelay = test.waiting
				}
			}
			s.run(2 * time.Second)
			s.declare()
			s.withTenants()
			s.run(simulatedBound + 2*simulatedStep)
			wrong := s.wronglyCurrent(600)
			assert.Equal(t, len(wrong), 0, "hosts that took an outdated declaration for the newest one, beyond the bound: %v", wrong)
		})
	}
}

// countCurrent counts the hosts, and those that take their declaration for the newest one,
// by whether they serve.
func (s *simulation) countCurrent(counts map[bool][2]int) {
	for _, host := range s.hosts {
		c := counts[host.duty.serving]
		c[0]++
		if s.current(host) {
			c[1]++
		}
		counts[host.duty.serving] = c
	}
}

// Guards against sound hosts that often do not know that their declaration is the newest.
func TestSoundHostsAreCurrent(t *testing.T) {
	tests := map[string]struct {
		hosts, dataCentres int
		loss               float64
		churn              time.Duration
	}{
		"two hosts":                         {hosts: 2, dataCentres: 1},
		"fifteen hosts":                     {hosts: 15, dataCentres: 3},
		"forty-seven hosts":                 {hosts: 47, dataCentres: 3},
		"a fifth of beacons lost":           {hosts: 47, dataCentres: 3, loss: 0.2},
		"registrations change every 100 ms": {hosts: 47, dataCentres: 3, churn: 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startWithTenants(test.hosts, test.dataCentres)
			s.loss = test.loss
			counts := map[bool][2]int{}
			next := s.now
			for end := s.now.Add(8 * time.Second); s.now.Before(end); s.run(2 * simulatedStep) {
				if test.churn > 0 && !s.now.Before(next) {
					next = s.now.Add(test.churn)
					s.register("b0", s.version%2 == 0)
				}
				s.countCurrent(counts)
			}
			for serving, c := range counts {
				assert.Assert(t, 20*c[1] >= 19*c[0], "serving %v: current %d of %d", serving, c[1], c[0])
				t.Logf("serving %v: current %.2f%% of %d", serving, 100*float64(c[1])/float64(c[0]), c[0])
			}
		})
	}
}
