package host_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/schema"
)

// countLive returns the number of other hosts that list the host as live.
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

// A host must not be replaced before it would detect its own freeze, or two hosts
// would own its cells at once; and the takeover must finish within the bound.
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
			earliest, latest := time.Hour, time.Duration(0)
			for seed := range test.tries {
				s := newSimulation(test.hosts, uint64(seed+1))
				s.run(15*time.Second, nil)
				failed := s.nodes[seed%test.hosts]
				assert.Equal(t, s.countLive(failed.name), test.hosts-1)
				failed.frozen = s.now.Add(time.Hour)
				failedAt := s.now
				for s.countLive(failed.name) == test.hosts-1 && s.now.Sub(failedAt) < test.bound {
					s.run(stepTime, nil)
				}
				earliest = min(earliest, s.now.Sub(failedAt))
				for s.countLive(failed.name) > 0 && s.now.Sub(failedAt) < 2*test.bound {
					s.run(stepTime, nil)
				}
				latest = max(latest, s.now.Sub(failedAt))
			}
			t.Logf("the first host takes over after %v at least, the last after %v at most", earliest, latest)
			assert.Assert(t, earliest > peer.FreezeThreshold)
			assert.Assert(t, latest <= test.bound)
		})
	}
}
