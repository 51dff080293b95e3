package bench

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// fleetJob is an attempt at a backend server.
type fleetJob struct {
	host        int
	incarnation int
	send        placement.Send
	state       *fleetCallState
	arrivesAt   time.Time
	work        time.Duration
	running     bool
	ended       bool
}

// fleetServer is a simulated backend server with its queued and running
// attempts.
type fleetServer struct {
	registration schema.Registration
	jobs         []*fleetJob
	pace         float64
	shiftAt      time.Time
	coldUntil    time.Time
	coldArrivals []time.Time
	refuses      bool
	unresponsive bool
}

// shiftPaces applies the changes of the backend servers that are due: their
// speed, cold starts, refusals and unresponsiveness.
func (f *Fleet) shiftPaces() {
	turnsCold := f.ColdAt > 0 && f.now.Sub(f.startedAt) == f.ColdAt
	for i, server := range f.servers {
		if f.ShiftEvery > 0 && !f.now.Before(server.shiftAt) {
			server.pace = 1
			if f.random.Float64() < f.SlowShare {
				server.pace = f.SlowFactor
			}
			server.shiftAt = f.now.Add(time.Duration(f.random.ExpFloat64() * float64(f.ShiftEvery)))
		}
		if turnsCold && i%3 == 0 {
			server.coldUntil = f.now.Add(f.ColdFor)
		}
		server.unresponsive = f.Unresponsive && i%4 == 0 && f.inMiddleThird()
		server.refuses = f.RefusedShare > 0 && i%2 == 0 && f.inMiddleThird()
	}
}

// runServers advances the attempts at all backend servers by one time step.
func (f *Fleet) runServers() {
	for _, server := range f.servers {
		if server.unresponsive {
			continue
		}
		running, contention := 0, f.contentionFactor(server)
		for _, job := range slices.Clone(server.jobs) {
			if f.now.Before(job.arrivesAt) {
				continue
			}
			if !job.running {
				if running >= f.Slots {
					continue
				}
				job.running = true
				job.state.runs++
			}
			running++
			job.work -= time.Duration(float64(fleetStep) / (server.workFactor(f.now) * contention))
			if job.work <= 0 {
				f.answer(server, job)
			}
		}
	}
}

// contentionFactor returns the factor by which attempts take longer because all
// slots are busy.
func (f *Fleet) contentionFactor(server *fleetServer) float64 {
	if f.ContentionFactor > 0 && len(server.jobs) >= f.Slots {
		return f.ContentionFactor
	}

	return 1
}

// workFactor returns the factor by which attempts take longer at the current
// speed. A cold backend server takes twice as long.
func (s *fleetServer) workFactor(now time.Time) float64 {
	if now.Before(s.coldUntil) {
		return 2 * s.pace
	}

	return s.pace
}

// load returns the load report of a backend server, or nil if there are none.
func (f *Fleet) load(server *fleetServer) *placement.Load {
	if f.WithoutLoadReports {
		return nil
	}
	running := min(len(server.jobs), f.Slots)

	return &placement.Load{Running: running, Waiting: len(server.jobs) - running, Pace: server.pace}
}

// answer ends an attempt with an answer, unless the answer is lost.
func (f *Fleet) answer(server *fleetServer, job *fleetJob) {
	f.removeJob(server, job)
	if !f.reaches(job.host, server) {
		return
	}
	var result placement.Result = placement.Whole{Status: http.StatusOK, Size: answerBytes}
	if f.LostAnswerShare > 0 && f.inMiddleThird() && f.random.Float64() < f.LostAnswerShare {
		result = placement.Cut{}
	}
	f.reportEnd(job, result, f.load(server))
}

// answerBytes is the size of every answer in bytes.
const answerBytes = 1024

// removeJob removes an attempt from its backend server.
func (*Fleet) removeJob(server *fleetServer, job *fleetJob) {
	server.jobs = slices.DeleteFunc(server.jobs, func(other *fleetJob) bool { return other == job })
}

// reportEnd reports the result of an attempt to its host once, unless the host
// has been replaced.
func (f *Fleet) reportEnd(job *fleetJob, result placement.Result, load *placement.Load) {
	if job.ended {
		return
	}
	job.ended = true
	if job.incarnation == f.hosts[job.host].incarnation {
		f.step(job.host, placement.AttemptEnded{Attempt: job.send.Attempt, Result: result, Load: load})
	}
}

// server returns the backend server with the given id.
func (f *Fleet) server(id string) *fleetServer {
	return f.servers[slices.IndexFunc(f.servers, func(server *fleetServer) bool { return server.registration.ID == id })]
}

// send passes an attempt to its backend server, which queues, refuses or resets
// it.
func (f *Fleet) send(host int, send placement.Send) {
	server := f.server(send.Server)
	state := f.calls[fleetCallKey{host, send.Call}]
	job := &fleetJob{host: host, incarnation: f.hosts[host].incarnation, send: send, state: state, arrivesAt: f.now.Add(fleetOneWayDelay)}
	job.work = time.Duration(float64(f.Work) * math.Exp(f.WorkDeviation*f.random.NormFloat64()))
	f.result.Sends++
	state.sends++
	if state.sends > 1 {
		f.result.Repeats++
		f.repeatTimes = append(f.repeatTimes, f.now)
	}
	if state.sends > f.Route.MaxAttempts {
		f.result.OverAttempts++
	}
	if server.registration.DataCentre != f.dataCentre(host) {
		f.result.CrossDataCentreSends++
	}
	if !f.reaches(host, server) {
		return
	}
	f.countColdArrival(server)
	switch {
	case server.refuses && f.random.Float64() < f.RefusedShare:
		f.reportEnd(job, placement.Refused{}, f.load(server))
	case len(server.jobs) >= f.Slots+f.Queue && f.ResetWhenFull:
		state.runs++ // a reset attempt may have run
		f.reportEnd(job, placement.Cut{}, nil)
	case len(server.jobs) >= f.Slots+f.Queue:
		f.reportEnd(job, placement.Refused{}, f.load(server))
	default:
		server.jobs = append(server.jobs, job)
	}
}

// countColdArrival counts the attempts of the last second at a cold backend
// server and counts an overload if there are too many.
func (f *Fleet) countColdArrival(server *fleetServer) {
	if !f.now.Before(server.coldUntil) {
		return
	}
	server.coldArrivals = slices.DeleteFunc(append(server.coldArrivals, f.now), func(at time.Time) bool {
		return f.now.Sub(at) >= time.Second
	})
	if float64(len(server.coldArrivals)) > f.ColdPerSecond*1.5+5 {
		f.result.FellOver++
		server.coldArrivals = nil
	}
}

// cancel cancels an attempt and frees its slot.
func (f *Fleet) cancel(host int, attempt placement.AttemptID) {
	for _, server := range f.servers {
		for _, job := range slices.Clone(server.jobs) {
			if job.host == host && job.send.Attempt == attempt {
				f.removeJob(server, job)
				f.reportEnd(job, placement.Cancelled{}, nil)
			}
		}
	}
}

// probe answers a health probe, or lets it time out if the backend server is
// unresponsive or unreachable.
func (f *Fleet) probe(host int, probe placement.Probe) {
	server := f.server(probe.Server)
	f.result.Probes++
	if server.unresponsive || !f.reaches(host, server) {
		f.unansweredProbes = append(f.unansweredProbes, fleetUnansweredProbe{host: host, server: probe.Server, expiresAt: f.now.Add(probe.Timeout)})

		return
	}
	f.step(host, placement.ProbeEnded{
		Server: probe.Server, Answered: true, Healthy: true, ColdLeft: max(server.coldUntil.Sub(f.now), 0), Load: f.load(server),
	})
}

// fleetUnansweredProbe is a probe that will time out at expiresAt.
type fleetUnansweredProbe struct {
	host      int
	server    string
	expiresAt time.Time
}

// expireProbes ends the unanswered probes whose time-out has passed.
func (f *Fleet) expireProbes() {
	for len(f.unansweredProbes) > 0 && !f.now.Before(f.unansweredProbes[0].expiresAt) {
		next := f.unansweredProbes[0]
		f.unansweredProbes = f.unansweredProbes[1:]
		f.step(next.host, placement.ProbeEnded{Server: next.server})
	}
}
