package host_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/schema"
)

// countLive returns the number of hosts that count the host as live.
func (s *simulation) countLive(name string) int {
	count := 0
	for _, n := range s.nodes {
		listed := slices.ContainsFunc(n.membership.Live(), func(h schema.Host) bool { return h.Name == name })
		if listed && n.name != name {
			count++
		}
	}

	return count
}

func TestTakeoverAfterHostFailure(t *testing.T) {
	tests := map[string]struct {
		hosts, tries int
		bound        time.Duration
	}{
		"14 hosts": {hosts: 14, tries: 50, bound: 4 * time.Second},
		"60 hosts": {hosts: 60, tries: 1, bound: 20 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			least, most := time.Hour, time.Duration(0)
			for seed := range test.tries {
				s := newSimulation(test.hosts, uint64(seed+1))
				s.run(15*time.Second, nil)
				dead := s.nodes[seed%test.hosts]
				assert.Equal(t, s.countLive(dead.name), test.hosts-1)
				dead.frozen = s.now.Add(time.Hour)
				died := s.now
				for s.countLive(dead.name) == test.hosts-1 && s.now.Sub(died) < test.bound {
					s.run(stepTime, nil)
				}
				least = min(least, s.now.Sub(died))
				for s.countLive(dead.name) > 0 && s.now.Sub(died) < 2*test.bound {
					s.run(stepTime, nil)
				}
				most = max(most, s.now.Sub(died))
			}
			t.Logf("the first host takes over after %v at least, the last after %v at most", least, most)
			assert.Assert(t, least > peer.FrozenAfter)
			assert.Assert(t, most <= test.bound)
		})
	}
}
