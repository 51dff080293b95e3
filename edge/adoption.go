package edge

import (
	"sync/atomic"
	"time"

	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/eventlog"
)

// confirmation is when the store last confirmed the declaration in force, to this host or
// to another one. The control duty records it, and the calls duty reads it for its log.
type confirmation struct {
	at atomic.Pointer[time.Time]
}

// record replaces the time.
func (c *confirmation) record(at time.Time) {
	if last := c.at.Load(); last == nil || !last.Equal(at) {
		c.at.Store(&at)
	}
}

// age returns the time since the confirmation, or maxDeclaredAge if that is less or there
// was none.
func (c *confirmation) age(now time.Time) time.Duration {
	if at := c.at.Load(); at != nil {
		return min(now.Sub(*at), maxDeclaredAge)
	}

	return maxDeclaredAge
}

// adoption is how the declaration in force came to be. It belongs to the calls duty.
type adoption struct {
	version int
	at      time.Time
	source  string
}

// note records a declared state if it has another declaration than the one before.
func (a *adoption) note(change DeclaredChanged) {
	if version := change.Declared.Declaration.Version; version != a.version {
		*a = adoption{version: version, at: change.AdoptedAt, source: change.Source}
	}
}

// logDeclared records the declared state in force in the log and the metrics.
func (d *controlDuty) logDeclared(event declared.Event, change declared.Changed) {
	inForce, draining, keys := change.Declared, 0, 0
	for _, registration := range inForce.Registrations {
		if registration.Draining {
			draining++
		}
	}
	for _, tenant := range inForce.Declaration.Tenants {
		keys += len(tenant.KeyDigests)
	}
	d.metrics.Declared(inForce.Declaration.Version, len(inForce.Registrations))
	d.log.Event(eventlog.Info, "declared_changed", "new declared state is in force",
		eventlog.Integer("version", inForce.Declaration.Version), eventlog.Text("orders_at", inForce.OrdersAt.String()),
		eventlog.Integer("evacuated", len(inForce.Evacuated)), eventlog.Integer("rollouts", len(inForce.Rollouts)), eventlog.Integer("backend_servers", len(inForce.Registrations)),
		eventlog.Integer("routes", len(inForce.Declaration.Routes)), eventlog.Integer("tenants", len(inForce.Declaration.Tenants)), eventlog.Integer("keys", keys),
		eventlog.Integer("draining", draining), eventlog.Text("registrations_at", inForce.RegistrationsAt.String()),
		eventlog.Text("source", sourceOf(event)), eventlog.Text("peer", change.Peer), eventlog.Integer("hash", d.replica.Hash),
		eventlog.Duration("unconfirmed", min(change.Unconfirmed, maxDeclaredAge)), eventlog.Duration("behind", change.Behind))
}

// sourceOf names what an event that changed the declared state came from.
func sourceOf(event declared.Event) string {
	switch event.(type) {
	case declared.OrdersRead, declared.RegistrationsRead:
		return "store"
	case declared.PeerAnswered:
		return "peer"
	case declared.HistoryLost, declared.ReadFailed, declared.PeerStateReceived, declared.FetchFailed, declared.RankChanged, declared.Ticked:
	}

	return "retention_ended"
}
