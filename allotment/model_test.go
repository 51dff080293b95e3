package allotment_test

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/allotment"
)

const (
	// viewLag is the longest time in which connected hosts learn that another one
	// begins or ceases to serve, and callers that it ceased.
	viewLag = 500 * time.Millisecond
	// maxWait is the longest time that a call waits until it is sent. Latency objectives
	// are shorter.
	maxWait = 3 * time.Second
	// maxChanges is the number of hosts that may begin or cease to serve within one
	// window.
	maxChanges = 2
)

// notice is the news that a host serves or does not, on its way to another host.
type notice struct {
	to, about int
	serves    bool
	at        time.Time
}

// modelHost is one host of the model.
type modelHost struct {
	allotments *allotment.Allotments
	serves     bool
	frozen     bool
	dead       bool
	ceasedAt   time.Time
	side       int
	steppedAt  time.Time
	// heard states which other hosts serve as far as this host knows.
	heard map[int]bool
	// waiting is the number of calls that took a token and were not sent, and since when
	// the first of them waits.
	waiting      int
	waitingSince time.Time
}

// model is a set of hosts with one tenant that share views with a delay.
type model struct {
	now     time.Time
	hosts   []*modelHost
	notices []notice
	rate    float64
	burst   float64
	// sends are the times at which calls were sent.
	sends   []time.Time
	changes []time.Time
	limits  []limitAt
	// cut is set while the hosts are on two sides that do not reach each other.
	cut bool
}

// limitAt is a limit and when it was declared.
type limitAt struct {
	at          time.Time
	rate, burst float64
}

// newModel returns a number of hosts that have served for a long time.
func newModel(hosts int, rate, burst float64) *model {
	m := &model{now: begin, rate: rate, burst: burst, limits: []limitAt{{at: begin, rate: rate, burst: burst}}}
	for range hosts {
		m.add(true)
	}
	for i, host := range m.hosts {
		for j := range m.hosts {
			host.heard[j] = i != j
		}
		host.allotments.SetSharers(begin, hosts, true)
		host.allotments.Apply(begin, nil)
		host.allotments.Apply(begin, tenants(rate, burst))
	}

	return m
}

// add adds a host that knows the tenant.
func (m *model) add(serves bool) *modelHost {
	host := &modelHost{allotments: allotment.New(tolerance), serves: serves, heard: map[int]bool{}, steppedAt: m.now}
	host.allotments.Apply(m.now, tenants(m.rate, m.burst))
	m.hosts = append(m.hosts, host)

	return host
}

// share tells a host the number of hosts that share by its own view.
func (m *model) share(i int) {
	host := m.hosts[i]
	count := 1
	for j, serves := range host.heard {
		if serves && j != i {
			count++
		}
	}
	host.allotments.SetSharers(m.now, count, host.serves)
}

// announce sends the state of a host to all others that it reaches.
func (m *model) announce(i int, lag func() time.Duration) {
	for j, other := range m.hosts {
		if j != i && other.side == m.hosts[i].side && !other.dead {
			m.notices = append(m.notices, notice{to: j, about: i, serves: m.hosts[i].serves, at: m.now.Add(lag())})
		}
	}
}

// meet has all hosts of a side announce themselves.
func (m *model) meet(lag func() time.Duration) {
	for i, host := range m.hosts {
		if !host.dead {
			m.announce(i, lag)
		}
	}
}

// advance moves the clock and delivers the notices that are due. Hosts that are
// frozen receive them afterwards.
func (m *model) advance(by time.Duration) {
	m.now = m.now.Add(by)
	m.notices = slices.DeleteFunc(m.notices, func(notice notice) bool {
		host := m.hosts[notice.to]
		if notice.at.After(m.now) || host.frozen {
			return false
		}
		host.heard[notice.about] = notice.serves
		m.share(notice.to)

		return true
	})
	for _, host := range m.hosts {
		if !host.frozen {
			host.steppedAt = m.now
			m.expire(host)
		}
	}
}

// expire ends the calls that have waited for longer than any caller does.
func (m *model) expire(host *modelHost) {
	if m.now.Sub(host.waitingSince) < maxWait {
		return
	}
	for ; host.waiting > 0; host.waiting-- {
		host.allotments.Return(m.now, "a")
	}
}

// mayChange reports whether another host may begin or cease to serve.
func (m *model) mayChange() bool {
	m.changes = slices.DeleteFunc(m.changes, func(at time.Time) bool { return m.now.Sub(at) > tolerance.Window })
	if len(m.changes) >= maxChanges {
		return false
	}
	m.changes = append(m.changes, m.now)

	return true
}

// serving returns the hosts that serve and run.
func (m *model) serving() []int {
	var list []int
	for i, host := range m.hosts {
		if host.serves && !host.dead && !host.frozen {
			list = append(list, i)
		}
	}

	return list
}

// callable reports whether callers may call a host.
func (m *model) callable(i int) bool {
	host := m.hosts[i]

	return !host.dead && !host.frozen && (host.serves || m.now.Sub(host.ceasedAt) <= viewLag)
}

// flood sends as many calls through a host as it admits.
func (m *model) flood(host *modelHost) {
	for _, ok := host.allotments.Take(m.now, "a"); ok; _, ok = host.allotments.Take(m.now, "a") {
		host.allotments.Sent(m.now, "a")
		m.sends = append(m.sends, m.now)
	}
}

// worstWindow returns the largest excess of the sends in a window over the bound. A
// lowered limit binds one window after it was declared; until then, the bound is that
// of the largest rate and the largest burst.
func (m *model) worstWindow() float64 {
	worst, first := -1e9, 0
	for last, end := range m.sends {
		for m.sends[first].Before(end.Add(-tolerance.Window)) {
			first++
		}
		rate, burst := 0.0, 0.0
		for i, limit := range m.limits {
			replaced := i+1 < len(m.limits) && m.limits[i+1].at.Before(end.Add(-2*tolerance.Window))
			if !replaced {
				rate, burst = max(rate, limit.rate), max(burst, limit.burst)
			}
		}
		bound := (rate*tolerance.Window.Seconds()+burst)*(1+tolerance.Over) + tolerance.Slack
		worst = max(worst, float64(last-first+1)-bound)
	}

	return worst
}
