package allotment_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// beat is the time between steps of a host in the model.
	beat = 50 * time.Millisecond
	// equalShare is the equal share of a host in thousandths.
	equalShare = 1000
)

// sentBeacon is a share report on its way to another host.
type sentBeacon struct {
	from, to int
	// receiver is the process to which it was sent.
	receiver *modelHost
	at       time.Time
	report   schema.ShareReport
}

// lendingModel is a model whose hosts lend parts of their shares to each other.
type lendingModel struct {
	*model
	random  *rand.Rand
	beacons []sentBeacon
	// cuts are the directed links that lose everything.
	cuts map[[2]int]bool
	// loss is the part of the beacons that are lost, delay the longest delay.
	loss  float64
	delay time.Duration
	turn  int
	begun map[*modelHost]bool
	// calls holds what arrives at each host a second.
	calls []float64
	// due is the time of the next call at each host in calls, counted down.
	due []float64
	// lent is the largest sum of parts that was lent at a time.
	lent int
}

// newLendingModel returns hosts that have served and shared for a long time.
func newLendingModel(hosts int, rate, burst float64, seed uint64) *lendingModel {
	m := &lendingModel{
		model: newModel(hosts, rate, burst), random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // a test needs no secrets
		cuts: map[[2]int]bool{}, begun: map[*modelHost]bool{}, due: make([]float64, hosts), calls: make([]float64, hosts), delay: 20 * time.Millisecond,
	}
	m.sync()
	m.advance(10 * time.Second)

	return m
}

// hostName returns the name of a host.
func hostName(i int) string {
	return fmt.Sprintf("host-%d", i)
}

// sync has new processes share and tells all hosts which others serve.
func (m *lendingModel) sync() {
	for i, host := range m.hosts {
		if host.frozen || host.dead {
			continue
		}
		if !m.begun[host] {
			m.begun[host] = true
			host.allotments.BeginSharing(m.now, hostName(i))
		}
		var names []string
		for j, serves := range host.heard {
			if serves && j != i {
				names = append(names, hostName(j))
			}
		}
		host.allotments.SetPeers(m.now, names)
	}
}

// advance moves the clock in beats and exchanges beacons.
func (m *lendingModel) advance(by time.Duration) {
	for ; by > 0; by -= beat {
		m.model.advance(min(by, beat))
		m.sync()
		m.deliver()
		m.turn++
		for i, host := range m.hosts {
			if !host.dead && !host.frozen {
				m.send(i, host)
			}
		}
	}
}

// deliver passes the beacons that are due to their receivers.
func (m *lendingModel) deliver() {
	m.beacons = slices.DeleteFunc(m.beacons, func(sent sentBeacon) bool {
		host := m.hosts[sent.to]
		if host != sent.receiver || host.dead {
			return true
		}
		if sent.at.After(m.now) || host.frozen {
			return false
		}
		host.allotments.Received(m.now, hostName(sent.from), sent.report)

		return true
	})
}

// send sends the report of a host to the others.
func (m *lendingModel) send(i int, host *modelHost) {
	report := host.allotments.Report(m.now)
	if report.Number == 0 || m.turn%4 != i%4 {
		return
	}
	for j, other := range m.hosts {
		if j == i || other.dead || m.cuts[[2]int{i, j}] || other.side != host.side || m.random.Float64() < m.loss {
			continue
		}
		delay := time.Duration(m.random.Float64() * float64(m.delay))
		m.beacons = append(m.beacons, sentBeacon{from: i, to: j, receiver: other, at: m.now.Add(delay), report: allotment.Excerpt(report, m.turn/4)})
	}
}

// Check fails if the shares of all hosts are more than the whole, or the calls in a
// window more than the bound.
func (m *lendingModel) Check(t *rapid.T) {
	m.sync()
	m.checkShares(t.Fatalf)
	m.model.Check(t)
}

// checkShares reports shares that add up to more than the whole.
func (m *lendingModel) checkShares(fail func(format string, args ...any)) {
	sum, lent := 0, 0
	for _, host := range m.hosts {
		if host.dead {
			continue // nobody uses the rest of its share
		}
		sum += host.allotments.Used(m.now)
		for _, share := range host.allotments.Shares(m.now) {
			lent += share.Lent
		}
	}
	m.lent = max(m.lent, lent)
	if sum > equalShare*len(m.hosts) {
		fail("%d hosts use %d thousandths of an equal share", len(m.hosts), sum)
	}
}

// Pass lets time pass.
func (m *lendingModel) Pass(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

// Flood floods some of the hosts, so that they borrow from the others.
func (m *lendingModel) Flood(t *rapid.T) {
	hot := rapid.SliceOfN(rapid.Bool(), len(m.hosts), len(m.hosts)).Draw(t, "hot")
	for range rapid.IntRange(0, 60).Draw(t, "steps") {
		for i, host := range m.hosts {
			if hot[i] && m.callable(i) {
				m.press(host)
			}
		}
		m.advance(100 * time.Millisecond)
		m.checkShares(t.Fatalf)
	}
	m.floodAll()
}

// press lets callers send as much as a host admits, and more arrive.
func (m *lendingModel) press(host *modelHost) {
	m.flood(host)
	for range int(m.rate / 10) {
		host.allotments.Take(m.now, "a")
	}
}

// Network changes how beacons travel.
func (m *lendingModel) Network(t *rapid.T) {
	m.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	m.delay = time.Duration(rapid.SampledFrom([]int{1, 50, 500, 4000}).Draw(t, "ms")) * time.Millisecond
}

// CutLink cuts one direction between two hosts, or all.
func (m *lendingModel) CutLink(t *rapid.T) {
	from, to := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "from"), rapid.IntRange(0, len(m.hosts)-1).Draw(t, "to")
	m.cuts[[2]int{from, to}] = true
}

// HealLinks removes the cuts of single directions.
func (m *lendingModel) HealLinks(*rapid.T) {
	clear(m.cuts)
}

// Guards against loans that let the hosts together exceed the bound: with reports that
// are delayed by seconds, lost, reordered or cut in one direction, and with all events of
// TestSumOverHostsStaysWithinBound.
func TestLoansStayWithinBound(t *testing.T) {
	lent := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLendingModel(rapid.IntRange(2, 6).Draw(t, "hosts"), drawRate(t), drawBurst(t), rapid.Uint64().Draw(t, "seed"))
		t.Repeat(rapid.StateMachineActions(m))
		lent = max(lent, m.lent)
	})
	assert.Assert(t, lent > equalShare/2, "nothing was lent")
}

// arrive lets calls arrive at each host at random for some time, and returns how there were and how many were refused.
func (m *lendingModel) arrive(period time.Duration) (calls, refused int) {
	for range int(period / beat) {
		m.advance(beat)
		for i, host := range m.hosts {
			for m.due[i] += m.calls[i] * beat.Seconds(); m.due[i] > 0; m.due[i] -= m.random.ExpFloat64() {
				calls++
				if _, ok := host.allotments.Take(m.now, "a"); !ok {
					refused++

					continue
				}
				host.allotments.Sent(m.now, "a")
				m.sends = append(m.sends, m.now)
			}
		}
	}

	return calls, refused
}

// replay lets calls arrive in phases of 22 s, each with other parts of the quota at the
// hosts, and returns the part that was refused in the last one after 2 s.
func replay(t *testing.T, phases [][]float64, load float64, delay time.Duration, seed uint64) float64 {
	const rate = 300
	m := newLendingModel(len(phases[0]), rate, 60, seed)
	m.delay = delay
	last := 0.0
	for _, parts := range phases {
		for i, part := range parts {
			m.calls[i] = part * load * rate
		}
		first, firstRefused := m.arrive(2 * time.Second)
		calls, refused := m.arrive(20 * time.Second)
		t.Logf("refused %d of %d in 2 s, then %d of %d", firstRefused, first, refused, calls)
		last = float64(refused) / float64(calls)
	}
	assert.Assert(t, m.worstWindow() <= 0, "exceeds the bound by %v", m.worstWindow())

	return last
}

// Guards against refusals of a tenant within its quota whose calls are spread unevenly
// over the hosts or move between them, after 2 s for loans, and against more than the
// quota for a tenant that sends too much. Equal shares are those of hosts that never
// receive a report.
func TestUnevenCallers(t *testing.T) {
	// The data centres have 37, 15, 20 and 28 % of the calls and 1, 2, 2 and 1 hosts.
	uneven := []float64{0.37, 0.075, 0.075, 0.1, 0.1, 0.28}
	tests := map[string]struct {
		phases [][]float64
		// load is what the tenant sends, relative to its quota.
		load float64
		// refused bounds the part that is refused, equal is the least part that equal
		// shares refuse.
		refused, equal float64
	}{
		"four data centres": {phases: [][]float64{uneven}, load: 0.85, refused: 0.01, equal: 0.2},
		// Calls arrive at random; near the quota, each host exceeds its part at times.
		"four data centres near the quota": {phases: [][]float64{uneven}, load: 0.95, refused: 0.03, equal: 0.25},
		"callers that move to another host": {
			phases: [][]float64{{0.65, 0.07, 0.07, 0.07, 0.07, 0.07}, {0.07, 0.65, 0.07, 0.07, 0.07, 0.07}}, load: 0.85, refused: 0.01, equal: 0.4,
		},
		"seven times the rate": {phases: [][]float64{uneven}, load: 7, refused: 0.87, equal: 0.85},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			equal, refused := 0.0, 0.0
			const seeds = 4
			for seed := range uint64(seeds) {
				equal += replay(t, test.phases, test.load, time.Hour, seed) / seeds
				refused += replay(t, test.phases, test.load, 40*time.Millisecond, seed) / seeds
			}
			t.Logf("refused with equal shares %.4f, with loans %.4f", equal, refused)
			assert.Assert(t, equal >= test.equal, "equal shares refused %v", equal)
			assert.Assert(t, refused <= test.refused, "refused %v", refused)
		})
	}
}
