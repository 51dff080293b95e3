package bench

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// fleetJob is a send at a backend server.
type fleetJob struct {
	host      int
	life      int
	send      placement.Send
	state     *fleetState
	arrivesAt time.Time
	work      time.Duration
	running   bool
	cancelled bool
}

// fleetServer is a simulated backend server.
type fleetServer struct {
	registration schema.Registration
	jobs         []*fleetJob
	pace         float64
	shiftAt      time.Time
	coldUntil    time.Time
	coldArrivals []time.Time
	refuses      bool
	dark         bool
}

// shift changes the pace of backend servers and turns some cold.
func (f *Fleet) shift() {
	turnsCold := f.ColdAt > 0 && f.now.Sub(f.begun) == f.ColdAt
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
		server.dark = f.Dark && i%4 == 0 && f.middle()
		server.refuses = f.Refusing > 0 && i%2 == 0 && f.middle()
	}
}

// serve lets backend servers work.
func (f *Fleet) serve() {
	for _, server := range f.servers {
		if server.dark {
			continue
		}
		running, crowding := 0, f.crowding(server)
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
			job.work -= time.Duration(float64(fleetStep) / (server.rate(f.now) * crowding))
			if job.work <= 0 {
				f.answer(server, job)
			}
		}
	}
}

// crowding returns how much longer work lasts because all slots are taken.
func (f *Fleet) crowding(server *fleetServer) float64 {
	if f.Crowding > 0 && len(server.jobs) >= f.Slots {
		return f.Crowding
	}

	return 1
}

// rate returns how long work takes at a backend server.
func (s *fleetServer) rate(now time.Time) float64 {
	if now.Before(s.coldUntil) {
		return 2 * s.pace
	}

	return s.pace
}

// load returns what a backend server reports.
func (f *Fleet) load(server *fleetServer) *placement.Load {
	if f.NoLoad {
		return nil
	}
	running := min(len(server.jobs), f.Slots)

	return &placement.Load{Running: running, Waiting: len(server.jobs) - running, Pace: server.pace}
}

// answer ends a job.
func (f *Fleet) answer(server *fleetServer, job *fleetJob) {
	f.drop(server, job)
	if !f.reaches(job.host, server) {
		return
	}
	var result placement.Result = placement.Whole{Status: http.StatusOK, Size: kibi}
	if f.Losing > 0 && f.middle() && f.random.Float64() < f.Losing {
		result = placement.Cut{}
	}
	f.ended(job, result, f.load(server))
}

// kibi is the size of every answer in bytes.
const kibi = 1024

// drop removes a job from its backend server.
func (*Fleet) drop(server *fleetServer, job *fleetJob) {
	server.jobs = slices.DeleteFunc(server.jobs, func(other *fleetJob) bool { return other == job })
}

// ended tells a host how a send ended.
func (f *Fleet) ended(job *fleetJob, result placement.Result, load *placement.Load) {
	if job.cancelled {
		return
	}
	job.cancelled = true
	if job.life == f.hosts[job.host].life {
		f.step(job.host, placement.AttemptEnded{Attempt: job.send.Attempt, Result: result, Load: load})
	}
}

// server returns a backend server.
func (f *Fleet) server(id string) *fleetServer {
	return f.servers[slices.IndexFunc(f.servers, func(server *fleetServer) bool { return server.registration.ID == id })]
}

// send gives a send to its backend server.
func (f *Fleet) send(host int, send placement.Send) {
	server := f.server(send.Server)
	state := f.calls[fleetCall{host, send.Call}]
	job := &fleetJob{host: host, life: f.hosts[host].life, send: send, state: state, arrivesAt: f.now.Add(fleetDelay)}
	job.work = time.Duration(float64(f.Work) * math.Exp(f.Spread*f.random.NormFloat64()))
	f.result.Sends++
	state.sends++
	if state.sends > 1 {
		f.result.Repeats++
		f.sends = append(f.sends, f.now)
	}
	if state.sends > f.Route.MaxAttempts {
		f.result.OverAttempts++
	}
	if server.registration.DataCentre != f.dataCentre(host) {
		f.result.Crossed++
	}
	if !f.reaches(host, server) {
		return
	}
	f.arriveCold(server)
	switch {
	case server.refuses && f.random.Float64() < f.Refusing:
		f.ended(job, placement.Refused{}, f.load(server))
	case len(server.jobs) >= f.Slots+f.Queue && f.ResetWhenFull:
		state.runs++ // a reset does not say that nothing ran
		f.ended(job, placement.Cut{}, nil)
	case len(server.jobs) >= f.Slots+f.Queue:
		f.ended(job, placement.Refused{}, f.load(server))
	default:
		server.jobs = append(server.jobs, job)
	}
}

// arriveCold counts what a cold backend server gets and lets it fall over.
func (f *Fleet) arriveCold(server *fleetServer) {
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

// cancel gives up a send.
func (f *Fleet) cancel(host int, attempt placement.AttemptID) {
	for _, server := range f.servers {
		for _, job := range slices.Clone(server.jobs) {
			if job.host == host && job.send.Attempt == attempt {
				f.drop(server, job)
				f.ended(job, placement.Cancelled{}, nil)
			}
		}
	}
}

// probe answers a probe.
func (f *Fleet) probe(host int, probe placement.Probe) {
	server := f.server(probe.Server)
	f.result.Probes++
	if server.dark || !f.reaches(host, server) {
		f.misses = append(f.misses, fleetMiss{host: host, server: probe.Server, at: f.now.Add(probe.Timeout)})

		return
	}
	f.step(host, placement.ProbeEnded{
		Server: probe.Server, Answered: true, Healthy: true, ColdLeft: max(server.coldUntil.Sub(f.now), 0), Load: f.load(server),
	})
}

// fleetMiss is a probe that is not answered.
type fleetMiss struct {
	host   int
	server string
	at     time.Time
}

// miss ends the probes that were not answered in time.
func (f *Fleet) miss() {
	for len(f.misses) > 0 && !f.now.Before(f.misses[0].at) {
		next := f.misses[0]
		f.misses = f.misses[1:]
		f.step(next.host, placement.ProbeEnded{Server: next.server})
	}
}
