package allotment_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against sums over hosts that exceed the bound: with floods, calls that wait
// and are sent later, changed limits, and hosts that begin and cease to serve, die,
// are restarted, freeze, are cut off from the others and return. While hosts are cut
// off, no host begins to serve here; docs/design/allotment.md states what that can
// cost.
func TestSumOverHostsStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 6).Draw(t, "hosts"), drawRate(t), drawBurst(t))
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// drawRate draws a rate in calls a second.
func drawRate(t *rapid.T) float64 {
	return float64(rapid.SampledFrom([]int{1, 2, 10, 50, 200, 1000}).Draw(t, "rate"))
}

// drawBurst draws a burst in calls.
func drawBurst(t *rapid.T) float64 {
	return float64(rapid.SampledFrom([]int{0, 2, 20, 200, 1000}).Draw(t, "burst"))
}

// lags returns a function that draws the delay of a notice.
func lags(t *rapid.T) func() time.Duration {
	return func() time.Duration {
		return time.Duration(rapid.IntRange(0, int(viewLag.Milliseconds())).Draw(t, "lag")) * time.Millisecond
	}
}

// pickServing draws one of several hosts that serve.
func (m *model) pickServing(t *rapid.T) int {
	serving := m.serving()
	if len(serving) < 2 {
		t.Skip("one host remains")
	}

	return rapid.SampledFrom(serving).Draw(t, "host")
}

// Check fails if the calls in a window exceed the bound.
func (m *model) Check(t *rapid.T) {
	if excess := m.worstWindow(); excess > 0 {
		t.Fatalf("sends exceed the bound by %v", excess)
	}
}

// Pass lets time pass.
func (m *model) Pass(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

// Flood lets callers send through every host as much as it admits, for some time.
func (m *model) Flood(t *rapid.T) {
	for range rapid.IntRange(0, 50).Draw(t, "steps") {
		m.floodAll()
		m.advance(100 * time.Millisecond)
	}
	m.floodAll()
}

// floodAll sends as many calls as the hosts admit now.
func (m *model) floodAll() {
	for i, host := range m.hosts {
		if m.callable(i) {
			m.flood(host)
		}
	}
}

// Wait lets calls arrive that are not sent yet.
func (m *model) Wait(t *rapid.T) {
	count := rapid.SampledFrom([]int{1, 10, 100, 2000}).Draw(t, "calls")
	for i, host := range m.hosts {
		if !m.callable(i) {
			continue
		}
		for range count {
			if _, ok := host.allotments.Take(m.now, "a"); ok {
				if host.waiting == 0 {
					host.waitingSince = m.now
				}
				host.waiting++
			}
		}
	}
}

// EndWait sends the calls that wait, or ends them unsent.
func (m *model) EndWait(t *rapid.T) {
	sent := rapid.Bool().Draw(t, "sent")
	for _, host := range m.hosts {
		if host.dead || host.frozen {
			continue
		}
		for ; host.waiting > 0; host.waiting-- {
			if !sent {
				host.allotments.Return(m.now, "a")

				continue
			}
			host.allotments.Sent(m.now, "a")
			m.sends = append(m.sends, m.now)
		}
	}
}

// Limit declares another limit.
func (m *model) Limit(t *rapid.T) {
	m.rate, m.burst = drawRate(t), drawBurst(t)
	m.limits = append(m.limits, limitAt{at: m.now, rate: m.rate, burst: m.burst})
	for _, host := range m.hosts {
		host.allotments.Apply(m.now, tenants(m.rate, m.burst))
	}
}

// Begin adds a host that begins to serve.
func (m *model) Begin(t *rapid.T) {
	if m.cut || len(m.hosts) > 12 || !m.mayChange() {
		t.Skip("no host may begin to serve")
	}
	m.add(false)
	m.serve(len(m.hosts)-1, lags(t))
}

// serve lets a host begin to serve that has heard the others that run.
func (m *model) serve(i int, lag func() time.Duration) {
	host := m.hosts[i]
	for j, other := range m.hosts {
		host.heard[j] = j != i && other.serves && !other.dead && !other.frozen
	}
	m.share(i)
	host.serves = true
	m.share(i)
	m.announce(i, lag)
}

// Cease lets a host cease to serve; callers use it for some more time.
func (m *model) Cease(t *rapid.T) {
	i := m.pickServing(t)
	if !m.mayChange() {
		t.Skip("too many changes")
	}
	m.hosts[i].serves, m.hosts[i].ceasedAt = false, m.now
	m.share(i)
	m.announce(i, lags(t))
}

// Die ends a host without notice.
func (m *model) Die(t *rapid.T) {
	m.hosts[m.pickServing(t)].dead = true
}

// Restart starts a dead host again, which does not know what it knew before.
func (m *model) Restart(t *rapid.T) {
	i := slices.IndexFunc(m.hosts, func(host *modelHost) bool { return host.dead })
	if i < 0 || m.cut || !m.mayChange() {
		t.Skip("no host may be restarted")
	}
	started := m.add(false)
	m.hosts = m.hosts[:len(m.hosts)-1]
	m.hosts[i] = started
	m.notices = slices.DeleteFunc(m.notices, func(notice notice) bool { return notice.to == i })
	m.serve(i, lags(t))
}

// Freeze stops a host for some time.
func (m *model) Freeze(t *rapid.T) {
	m.hosts[m.pickServing(t)].frozen = true
}

// Resume continues a frozen host, which first handles what it received meanwhile.
func (m *model) Resume(t *rapid.T) {
	i := slices.IndexFunc(m.hosts, func(host *modelHost) bool { return host.frozen })
	if i < 0 {
		t.Skip("no host is frozen")
	}
	m.hosts[i].frozen = false
	m.hosts[i].allotments.Frozen(m.hosts[i].steppedAt, m.now)
	m.advance(0)
	m.announce(i, lags(t))
}

// CutOff divides the hosts into two sides.
func (m *model) CutOff(t *rapid.T) {
	m.cut = true
	for _, host := range m.hosts {
		host.side = rapid.IntRange(0, 1).Draw(t, "side")
	}
}

// Heal lets all hosts reach each other again.
func (m *model) Heal(t *rapid.T) {
	m.cut = false
	for _, host := range m.hosts {
		host.side = 0
	}
	m.meet(lags(t))
}

// Guards against refusals of a tenant within its quota whose calls are spread evenly
// over the hosts.
func TestTenantWithinQuotaIsNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		rate := rapid.IntRange(1, 500).Draw(t, "rate")
		burst := rapid.IntRange(0, 100).Draw(t, "burst")
		m := newModel(hosts, float64(rate), float64(burst))
		gap := time.Second / time.Duration(rate)
		next := 0
		arrive := func(count int) {
			for range count {
				_, ok := m.hosts[next%hosts].allotments.Take(m.now, "a")
				assert.Assert(t, ok, "call %d", next)
				m.hosts[next%hosts].allotments.Sent(m.now, "a")
				next++
			}
		}
		m.advance(time.Hour)
		arrive(burst)
		for range rapid.IntRange(1, 200).Draw(t, "groups") {
			together := rapid.IntRange(1, 3).Draw(t, "together")
			m.advance(time.Duration(together) * gap)
			arrive(together)
		}
	})
}

// Guards against a flood that receives more than its quota, or much less because
// refused calls use tokens.
func TestSevenfoldRate(t *testing.T) {
	tests := map[string]struct {
		hosts       int
		rate, burst float64
	}{
		"one host":      {hosts: 1, rate: 100, burst: 20},
		"three hosts":   {hosts: 3, rate: 100, burst: 20},
		"eight hosts":   {hosts: 8, rate: 40, burst: 10},
		"a small limit": {hosts: 8, rate: 2, burst: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel(test.hosts, test.rate, test.burst)
			const seconds = 20
			calls := int(7 * test.rate * seconds)
			for i := range calls {
				m.advance(seconds * time.Second / time.Duration(calls))
				host := m.hosts[i%test.hosts]
				if _, ok := host.allotments.Take(m.now, "a"); ok {
					host.allotments.Sent(m.now, "a")
					m.sends = append(m.sends, m.now)
				}
			}
			assert.Assert(t, m.worstWindow() <= 0, "exceeds the bound by %v", m.worstWindow())
			least := test.rate*seconds - float64(test.hosts)
			assert.Assert(t, float64(len(m.sends)) >= least, "%d sends, at least %v expected", len(m.sends), least)
			t.Logf("%d of %d calls sent", len(m.sends), calls)
		})
	}
}
