package declared

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Event is what the book reacts to.
//
//sumtype:decl
type Event interface{ event() }

// OrdersRead brings what operators wrote to the store.
type OrdersRead struct {
	// At is the store's version as of which this holds.
	At int
	// Full says that this is everything rather than what changed.
	Full bool
	// Declarations are declarations that were written, in their order.
	Declarations []schema.Declaration
	// Evacuated are data centres that are to get no new work.
	Evacuated []string
	// Returned are data centres that may get new work again.
	Returned []string
}

// RegistrationsRead brings what backend servers wrote to the store.
type RegistrationsRead struct {
	// At is the store's version as of which this holds.
	At int
	// Full says that this is everything rather than what changed.
	Full bool
	// Registered are the registrations that can be used.
	Registered []schema.Registration
	// Gone are the IDs of registrations that were removed or name no backend
	// server that can be used.
	Gone []string
}

// HistoryLost says that the store has dropped the changes since the last read.
type HistoryLost struct {
	// Table says of what.
	Table Table
}

// ReadFailed says that a read had no result.
type ReadFailed struct {
	// Table says of what.
	Table Table
}

// PeerStateHeard says what another host knows.
type PeerStateHeard struct {
	// Name is the host's name.
	Name string
	// Reads says that it reads the store and is answered.
	Reads bool
	// Address is its ip:port for peers' requests.
	Address string
	// Hash identifies what it knows.
	Hash int
	// OrdersAt is the store's version of its orders.
	OrdersAt int
	// RegistrationsAt is the revision of its registrations.
	RegistrationsAt int
	// Age is the time since the store confirmed what it knows.
	Age time.Duration
}

// PeerAnswered brings what another host knows beyond what this host knew.
type PeerAnswered struct {
	// Answer is what it knows.
	Answer schema.DeclaredAnswer
}

// FetchFailed says that another host did not answer.
type FetchFailed struct{}

// RankChanged says how this host takes part in reading.
type RankChanged struct {
	// Ahead are the hosts that read before this one does.
	Ahead []string
}

// Ticked says that time passed.
type Ticked struct{}

func (OrdersRead) event()        {}
func (RegistrationsRead) event() {}
func (HistoryLost) event()       {}
func (ReadFailed) event()        {}
func (PeerStateHeard) event()    {}
func (PeerAnswered) event()      {}
func (FetchFailed) event()       {}
func (RankChanged) event()       {}
func (Ticked) event()            {}

// Table names what is read from the store.
type Table int

// The tables.
const (
	// Orders are the declaration and the evacuations.
	Orders Table = iota
	// Registrations are the backend servers.
	Registrations
)

// Action is what the book wants done.
//
//sumtype:decl
type Action interface{ action() }

// Read reads from the store. It ends with OrdersRead, RegistrationsRead,
// HistoryLost or ReadFailed.
type Read struct {
	// Table says what.
	Table Table
	// After is the version from which changes are read, or 0 to read everything.
	After int
	// Wait is how long the store may wait for a change.
	Wait time.Duration
}

// Fetch asks another host for what it knows beyond what this host knows. It ends
// with PeerAnswered or FetchFailed.
type Fetch struct {
	// Address is the other host's ip:port for peers' requests.
	Address string
	// Version is the declaration that this host knows.
	Version int
	// RegistrationsAt is the revision of the registrations that this host knows, or
	// 0 to get all.
	RegistrationsAt int
}

// Changed says that something else is in force.
type Changed struct {
	// Declared is all that is in force.
	Declared schema.Declared
}

// StoreLost says that the store cannot be read any more.
type StoreLost struct{}

// StoreRegained says that the store can be read again.
type StoreRegained struct {
	// Away is how long it could not be read.
	Away time.Duration
}

func (Read) action()          {}
func (Fetch) action()         {}
func (Changed) action()       {}
func (StoreLost) action()     {}
func (StoreRegained) action() {}
