package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// restore has the store come back from a copy. Operators and the backend servers that are
// registered write again what they wrote.
func (s *simulation) restore(from simulatedStore) {
	before := s.simulatedStore
	s.simulatedStore = from.clone()
	s.epoch++
	s.away = false
	s.version++
	s.declaration, s.declarationAt = before.declaration, s.version
	for id, row := range before.rows {
		s.version++
		s.rows[id], s.changedAt[id] = row, s.version
	}
	for id := range s.rows {
		if _, registered := before.rows[id]; !registered {
			s.remove(id)
		}
	}
}

// churn makes many changes of one row, as backend servers do that register again and again.
func (s *simulation) churn(changes int) {
	for range changes {
		s.register("b4", false)
	}
}

// Guards against hosts that ignore a store which was restored from a copy until its versions
// have passed the old ones, and that miss what changed until then (review/6).
func TestChangesPropagateAfterTheStoreWasRestored(t *testing.T) {
	tests := map[string]struct {
		hosts, dataCentres int
		// lost is the number of changes since the copy, and passed that of the changes that
		// follow a new declaration before a host reads the restored store.
		lost, passed int
		away         time.Duration
		// returns is the number of returns, one after another.
		returns int
		// restarted is the number of hosts that start after the return.
		restarted int
	}{
		"three hosts, an old copy":                {hosts: 3, dataCentres: 1, lost: 60, away: time.Second, returns: 1},
		"three hosts, a copy of the last version": {hosts: 3, dataCentres: 1, away: time.Second, returns: 1},
		"three hosts, away for a long time":       {hosts: 3, dataCentres: 1, lost: 60, away: 6 * time.Second, returns: 1},
		"three hosts, away for a moment":          {hosts: 3, dataCentres: 1, lost: 60, away: 10 * time.Millisecond, returns: 1},
		"fifteen hosts, versions have passed":     {hosts: 15, dataCentres: 3, lost: 60, passed: 90, away: time.Second, returns: 1},
		"fifteen hosts, versions are the same":    {hosts: 15, dataCentres: 3, lost: 60, passed: 53, away: time.Second, returns: 1},
		"fifteen hosts, three returns":            {hosts: 15, dataCentres: 3, lost: 60, away: time.Second, returns: 3},
		"fifteen hosts, three returns, passed":    {hosts: 15, dataCentres: 3, lost: 20, passed: 90, away: 300 * time.Millisecond, returns: 3},
		"fifteen hosts, some of them restart":     {hosts: 15, dataCentres: 3, lost: 60, away: time.Second, returns: 1, restarted: 8},
		"a hundred hosts, an old copy":            {hosts: 100, dataCentres: 5, lost: 60, away: time.Second, returns: 1},
		"a hundred hosts, versions have passed":   {hosts: 100, dataCentres: 5, lost: 60, passed: 90, away: time.Second, returns: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for phase := range 4 {
				s := newSimulation(test.hosts, test.dataCentres, uint64(phase))
				s.run(8*time.Second + time.Duration(phase)*250*time.Millisecond)
				assert.Equal(t, len(s.outdated()), 0, "before the change: %v", s.outdated())
				for range test.returns {
					copied := s.clone()
					s.churn(test.lost)
					s.declare()
					s.run(500 * time.Millisecond)
					s.away = true
					s.run(test.away)
					s.restore(copied)
					s.declare()
					s.register("b2", true)
					s.churn(test.passed)
					s.run(200 * time.Millisecond)
				}
				for i := range test.restarted {
					s.hosts[i].down = true
					s.start(test.hosts+i, test.dataCentres, 192)
				}
				s.run(simulatedTouch)
				assert.Equal(t, len(s.outdated()), 0, "phase %d: hosts without what was written at the return: %v", phase, s.outdated())
				s.change()
				s.run(simulatedBound)
				assert.Equal(t, len(s.outdated()), 0, "phase %d: hosts without the change after %v: %v", phase, simulatedBound, s.outdated())
			}
		})
	}
}

// Guards against any copies, returns and rejections of the store and cuts of hosts after
// which a change is not in force in time.
func TestChangesPropagateAfterAnyRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(2, 12).Draw(t, "hosts"), rapid.IntRange(1, 3).Draw(t, "data centres"), rapid.Uint64().Draw(t, "seed"))
		s.run(6 * time.Second)
		copies := []simulatedStore{s.clone()}
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"copy", "change", "churn", "restore", "restart", "cut", "lose"}).Draw(t, "step") {
			case "copy":
				copies = append(copies, s.clone())
			case "change":
				s.declare()
				s.register(fmt.Sprint("b", rapid.IntRange(2, 6).Draw(t, "server")), false)
			case "churn":
				s.churn(rapid.IntRange(1, 80).Draw(t, "changes"))
			case "restore":
				s.away = true
				s.run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "away ms")) * time.Millisecond)
				s.restore(rapid.SampledFrom(copies).Draw(t, "from"))
				s.churn(rapid.IntRange(0, 80).Draw(t, "passed"))
			case "restart":
				host := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
				s.hosts[host].down = true
				s.start(len(s.hosts), 1, 192)
			case "cut":
				rapid.SampledFrom(s.hosts).Draw(t, "cut").cut = rapid.SampledFrom([]simulatedCut{cutSilent, cutRejected, cutAll}).Draw(t, "how")
			case "lose":
				s.loss, s.fetchLoss = 0.3, 0.3
			}
			s.run(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
		}
		for _, host := range s.hosts {
			host.cut = cutNothing
		}
		s.loss, s.fetchLoss = 0, 0
		s.run(simulatedTouch)
		s.change()
		s.run(simulatedBound)
		if outdated := s.outdated(); len(outdated) > 0 {
			t.Fatalf("hosts without the change after %v: %v", simulatedBound, outdated)
		}
	})
}

// Guards against hosts that nobody finds any more, because the row with their address was
// written after the copy from which the store came back.
func TestHostsRegisterAgainInARestoredStore(t *testing.T) {
	tests := map[string]struct {
		hosts, dataCentres, returns int
	}{
		"one host":                   {hosts: 1, dataCentres: 1, returns: 1},
		"fifteen hosts":              {hosts: 15, dataCentres: 3, returns: 1},
		"fifteen hosts, two returns": {hosts: 15, dataCentres: 3, returns: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(test.hosts, test.dataCentres, 1)
			copied := s.clone()
			s.run(8 * time.Second)
			for range test.returns {
				s.away = true
				s.run(time.Second)
				s.restore(copied)
				s.run(simulatedTouch)
			}
			serving := 0
			for _, host := range s.hosts {
				if host.duty.directory.Self.Serves {
					serving++
					assert.Assert(t, slices.Contains(s.members, host.address), "%s serves and is not registered", host.address)
				}
			}
			assert.Equal(t, len(s.members), serving)
		})
	}
}
