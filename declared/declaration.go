package declared

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Prefixes of the keys of a declaration's entries; the name follows.
const (
	routeKey   = "route/"
	serviceKey = "service/"
	tenantKey  = "tenant/"
)

// declarationIndex identifies the entries of a declaration and their contents.
type declarationIndex struct {
	// keys are those of the routes, the services and the tenants, in the order of the
	// declaration.
	keys []string
	// hashes are those of the entries by key.
	hashes map[string]uint64
	// hash is a 32-bit hash of the declaration.
	hash int
	// ambiguous is set if several entries have the same key.
	ambiguous bool
}

// newDeclarationIndex returns the index of a declaration. A hash covers the encoding of an
// entry, and so each of its fields.
func newDeclarationIndex(declaration schema.Declaration) declarationIndex {
	count := len(declaration.Routes) + len(declaration.Services) + len(declaration.Tenants)
	index := declarationIndex{keys: make([]string, 0, count), hashes: make(map[string]uint64, count)}
	var (
		buffer []byte
		sum    uint64
	)
	encode := func(message msgp.Marshaler) uint64 {
		buffer, _ = message.MarshalMsg(buffer[:0]) // only messages with interfaces fail

		return xxhash.Sum64(buffer)
	}
	add := func(key string, entry msgp.Marshaler) {
		hash := encode(entry)
		index.keys, index.hashes[key] = append(index.keys, key), hash
		sum += hash
	}
	for i := range declaration.Routes {
		add(routeKey+declaration.Routes[i].Name, &declaration.Routes[i])
	}
	for i := range declaration.Services {
		add(serviceKey+declaration.Services[i].Name, &declaration.Services[i])
	}
	for i := range declaration.Tenants {
		add(tenantKey+declaration.Tenants[i].Name, &declaration.Tenants[i])
	}
	rest := withoutEntries(declaration)
	index.hash = int(uint32(sum + encode(&rest))) //nolint:gosec // truncation is intended
	index.ambiguous = len(index.hashes) < count

	return index
}

// withoutEntries returns a declaration without its routes, services and tenants.
func withoutEntries(declaration schema.Declaration) schema.Declaration {
	declaration.Routes, declaration.Services, declaration.Tenants = nil, nil, nil

	return declaration
}

// replaceDeclaration puts a newer declaration in force and records which entries changed.
func (r *Replica) replaceDeclaration(declaration schema.Declaration, index declarationIndex) {
	before := r.declarationIndex
	if r.Declared.Declaration.Version == 0 || before.ambiguous || index.ambiguous {
		r.declarationHistory = newHistory(declaration.Version)
	} else {
		for key, hash := range index.hashes {
			if known, ok := before.hashes[key]; !ok || known != hash {
				r.declarationHistory.record(key, declaration.Version)
			}
		}
		for key := range before.hashes {
			if _, ok := index.hashes[key]; !ok {
				r.declarationHistory.record(key, declaration.Version)
			}
		}
	}
	r.Declared.Declaration, r.declarationIndex, r.changed = declaration, index, true
}

// answerDeclaration adds the declaration in force to an answer: the changes since the
// version that the requesting host has, if it takes changes and the history reaches back
// that far, and all of it otherwise.
func (r *Replica) answerDeclaration(answer *schema.DeclaredAnswer, request schema.DeclaredRequest) {
	inForce := r.Declared.Declaration
	if !request.TakesChanges || request.Version < max(r.declarationHistory.completeFrom, 1) || request.Version > inForce.Version {
		answer.Declaration = inForce

		return
	}
	changed := func(position int) bool {
		return r.declarationHistory.changed[r.declarationIndex.keys[position]] > request.Version
	}
	services := len(inForce.Routes)
	tenants := services + len(inForce.Services)
	changes := withoutEntries(inForce)
	for i, route := range inForce.Routes {
		if changed(i) {
			changes.Routes = append(changes.Routes, route)
		}
	}
	for i, service := range inForce.Services {
		if changed(services + i) {
			changes.Services = append(changes.Services, service)
		}
	}
	for i, tenant := range inForce.Tenants {
		if changed(tenants + i) {
			changes.Tenants = append(changes.Tenants, tenant)
		}
	}
	for key, at := range r.declarationHistory.changed {
		if _, ok := r.declarationIndex.hashes[key]; !ok && at > request.Version {
			answer.DeclarationGone = append(answer.DeclarationGone, key)
		}
	}
	answer.Declaration, answer.DeclarationAfter, answer.DeclarationHash = changes, request.Version, r.declarationIndex.hash
}

// adoptPeerDeclaration puts a peer's declaration in force, and reports whether it did. If
// the peer's changes do not fit the declaration in force, it sets mismatch.
func (r *Replica) adoptPeerDeclaration(answer schema.DeclaredAnswer) bool {
	next := answer.Declaration
	if answer.DeclarationAfter > 0 {
		if answer.DeclarationAfter != r.Declared.Declaration.Version {
			return false // the declaration in force was replaced after the request
		}
		next = applyChanges(r.Declared.Declaration, answer)
	}
	index := newDeclarationIndex(next)
	if answer.DeclarationAfter > 0 && index.hash != answer.DeclarationHash {
		r.mismatch.declaration = true

		return false
	}
	r.replaceDeclaration(next, index)

	return true
}

// applyChanges returns a declaration with a peer's changes. It leaves the lists of the
// declaration as they are, because other duties read them.
func applyChanges(declaration schema.Declaration, answer schema.DeclaredAnswer) schema.Declaration {
	next := answer.Declaration
	gone := func(prefix string) map[string]bool {
		names := map[string]bool{}
		for _, key := range answer.DeclarationGone {
			if name, ok := strings.CutPrefix(key, prefix); ok {
				names[name] = true
			}
		}

		return names
	}
	next.Routes = mergeByName(declaration.Routes, next.Routes, gone(routeKey), func(route schema.Route) string { return route.Name })
	next.Services = mergeByName(declaration.Services, next.Services, gone(serviceKey), func(service schema.ServiceRule) string { return service.Name })
	next.Tenants = mergeByName(declaration.Tenants, next.Tenants, gone(tenantKey), func(tenant schema.Tenant) string { return tenant.Name })

	return next
}

// mergeByName returns entries without those that are gone, sorted by name. Changed entries
// replace those of the same name.
func mergeByName[Entry any](entries, changed []Entry, gone map[string]bool, name func(Entry) string) []Entry {
	for _, entry := range changed {
		gone[name(entry)] = true
	}
	merged := make([]Entry, 0, len(entries)+len(changed))
	for _, entry := range entries {
		if !gone[name(entry)] {
			merged = append(merged, entry)
		}
	}
	merged = append(merged, changed...)
	if len(merged) == 0 {
		return nil // as an empty list is read from the store
	}
	slices.SortStableFunc(merged, func(a, b Entry) int { return cmp.Compare(name(a), name(b)) })

	return merged
}
