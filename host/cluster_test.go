package host_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/schema"
)

// convergenceTime bounds the time that hosts need to agree after the last fault.
const convergenceTime = 20 * time.Second

// injectFault draws the fault or override of the next second and injects it.
func (s *simulation) injectFault(t *rapid.T) {
	count := len(s.nodes)
	host := rapid.IntRange(0, count-1).Draw(t, "host")
	dataCentre := rapid.SampledFrom([]string{"mu-north", "mu-centre", "mu-south"}).Draw(t, "data centre")
	switch rapid.SampledFrom([]string{
		"none", "freeze", "restart", "network faults", "outage", "return", "out", "in",
	}).Draw(t, "fault") {
	case "freeze":
		s.nodes[host].frozen = s.now.Add(time.Duration(rapid.IntRange(100, 8000).Draw(t, "freeze ms")) * time.Millisecond)
	case "restart":
		s.restart(host)
	case "network faults":
		s.network.lossPercent = rapid.IntRange(0, 60).Draw(t, "loss percent")
		s.network.duplicatePercent = rapid.IntRange(0, 30).Draw(t, "duplicate percent")
		s.network.delay = time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay ms")) * time.Millisecond
	case "outage":
		s.network.outage = true
	case "return":
		s.network.outage = false
	case "out":
		s.override(host, dataCentre, schema.DataCentreStateOut)
	case "in":
		s.override(host, dataCentre, schema.DataCentreStateIn)
	}
}

// assertConverged fails unless all hosts agree on the stored configuration, the
// live hosts and the states of the data centres.
func (s *simulation) assertConverged(t rapid.TB) {
	stored := s.storedConfiguration().Version
	for i, n := range s.nodes {
		assert.Equal(t, n.configurationState.Configuration.Version, stored, n.name)
		assert.Equal(t, len(n.configurationState.Overrides), 0, "%s has overrides that are not stored", n.name)
		assert.Equal(t, len(n.membership.Live()), len(s.nodes), "live hosts at %s", n.name)
		assert.Equal(t, n.membership.Isolated, false, n.name)
		for _, dataCentre := range []string{"mu-north", "mu-centre", "mu-south"} {
			assert.Equal(t, s.state(i, dataCentre), s.state(0, dataCentre), "%s at %s", dataCentre, n.name)
		}
	}
}

func TestClusterUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 14).Draw(t, "hosts")
		s := newSimulation(count, rapid.Uint64().Draw(t, "seed"))
		check := func() {
			assert.Equal(t, len(s.violations), 0, "%v", s.violations)
			assert.Assert(t, s.shares() <= count, "%d shares of the probe budget of %d are spent", s.shares(), count)
		}
		s.run(15*time.Second, check)
		for range rapid.IntRange(1, 40).Draw(t, "seconds") {
			s.injectFault(t)
			s.run(time.Second, check)
		}
		s.network = networkFaults{}
		s.run(convergenceTime, check)
		s.assertConverged(t)
	})
}

func TestOverrideInForceEverywhere(t *testing.T) {
	const bound = 3 * time.Second
	tests := map[string]struct {
		hosts, tries int
		faults       networkFaults
	}{
		"no faults":                 {hosts: 14, tries: 50},
		"platform outage":           {hosts: 14, tries: 50, faults: networkFaults{outage: true}},
		"platform outage and loss":  {hosts: 14, tries: 50, faults: networkFaults{outage: true, lossPercent: 10, delay: 50 * time.Millisecond}},
		"platform outage, 30 hosts": {hosts: 30, tries: 5, faults: networkFaults{outage: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			slowest := time.Duration(0)
			for seed := range test.tries {
				s := newSimulation(test.hosts, uint64(seed+1))
				s.run(10*time.Second, nil)
				s.network = test.faults
				startedAt := s.now
				assert.Assert(t, s.override(seed%test.hosts, "mu-north", schema.DataCentreStateOut))
				for !s.outEverywhere("mu-north") && s.now.Sub(startedAt) < 2*bound {
					s.run(stepTime, nil)
				}
				slowest = max(slowest, s.now.Sub(startedAt))
			}
			t.Logf("out in force everywhere after at most %v in %d runs", slowest, test.tries)
			assert.Assert(t, slowest <= bound)
		})
	}
}

// outEverywhere reports whether the data centre is out at every host.
func (s *simulation) outEverywhere(dataCentre string) bool {
	for i := range s.nodes {
		if s.state(i, dataCentre) != schema.DataCentreStateOut {
			return false
		}
	}

	return true
}
