package declared

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

// registrationSet is the registrations in force with a hash of them that does not
// depend on their order. The work of a change does not grow with the number of
// registrations, except for one copy of the list.
type registrationSet struct {
	// list is sorted by ID. It is replaced, never changed, because other duties read
	// it.
	list []schema.Registration
	byID map[string]schema.Registration
	sum  uint64
}

// newRegistrationSet returns a set of registrations.
func newRegistrationSet(registrations []schema.Registration) registrationSet {
	set := registrationSet{byID: make(map[string]schema.Registration, len(registrations))}
	set.apply(registrations, nil)

	return set
}

// hash returns a 32-bit hash of the set.
func (s *registrationSet) hash() int {
	return int(uint32(s.sum)) //nolint:gosec // truncation is intended
}

// hashAfter returns the hash that the set would have after changes.
func (s *registrationSet) hashAfter(registered []schema.Registration, gone []string) int {
	sum := s.sum
	for _, registration := range registered {
		sum += hashRegistration(registration)
		if known, ok := s.byID[registration.ID]; ok {
			sum -= hashRegistration(known)
		}
	}
	for _, id := range gone {
		if known, ok := s.byID[id]; ok {
			sum -= hashRegistration(known)
		}
	}

	return int(uint32(sum)) //nolint:gosec // truncation is intended
}

// apply adds or replaces registrations and removes others.
func (s *registrationSet) apply(registered []schema.Registration, gone []string) {
	if len(registered) == 0 && len(gone) == 0 {
		return
	}
	changed := make(map[string]bool, len(registered)+len(gone))
	for _, id := range gone {
		changed[id] = true
		if known, ok := s.byID[id]; ok {
			s.sum -= hashRegistration(known)
			delete(s.byID, id)
		}
	}
	for _, registration := range registered {
		changed[registration.ID] = true
		if known, ok := s.byID[registration.ID]; ok {
			s.sum -= hashRegistration(known)
		}
		s.sum += hashRegistration(registration)
		s.byID[registration.ID] = registration
	}
	added := make([]schema.Registration, 0, len(changed))
	for id := range changed {
		if registration, ok := s.byID[id]; ok {
			added = append(added, registration)
		}
	}
	slices.SortFunc(added, compareIDs)
	s.list = merge(s.list, added, changed)
}

// merge returns the registrations of a sorted list that have not changed, together
// with sorted others.
func merge(list, added []schema.Registration, changed map[string]bool) []schema.Registration {
	merged := make([]schema.Registration, 0, len(list)+len(added))
	for _, registration := range list {
		for len(added) > 0 && added[0].ID < registration.ID {
			merged, added = append(merged, added[0]), added[1:]
		}
		if !changed[registration.ID] {
			merged = append(merged, registration)
		}
	}

	return append(merged, added...)
}

// compareIDs orders registrations by ID.
func compareIDs(a, b schema.Registration) int { return cmp.Compare(a.ID, b.ID) }

// hashRegistration returns a hash of the fields that matter to hosts that dispatch
// calls.
func hashRegistration(registration schema.Registration) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [24]byte
	for _, text := range []string{registration.ID, registration.Service, registration.Address, registration.DataCentre} {
		_, _ = digest.WriteString(text) // writing to a digest cannot fail
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(append(strconv.AppendInt(number[:0], int64(registration.Slots), 10), 0))
	_, _ = digest.Write(append(strconv.AppendBool(number[:0], registration.Draining), 0))
	_, _ = digest.Write(append(strconv.AppendInt(number[:0], int64(registration.StartedMs), 10), 0))
	// A registration without a version has the hash that it had before there were versions.
	_, _ = digest.WriteString(registration.Version)

	return digest.Sum64()
}
