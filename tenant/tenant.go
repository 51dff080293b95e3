// Package tenant identifies the tenant of a call by the digest of its API key. It
// performs no I/O and holds no key. Change this package to change which keys belong
// to a tenant; the header field that carries a key is decoded by the adapter, and
// package placement decides what happens to the call.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Digest returns the digest of an API key: the SHA-256 hash of all its bytes in
// hexadecimal. Two keys that share a part have unrelated digests, so the duration of
// a lookup by digest reveals nothing about the keys that exist.
func Digest(key []byte) string {
	sum := sha256.Sum256(key)

	return hex.EncodeToString(sum[:])
}

// Identity is the result of identifying a key: Known, Unknown or Undecided.
//
//sumtype:decl
type Identity interface{ identity() }

// Known says that exactly one tenant holds the key.
type Known struct {
	// Tenant is the tenant.
	Tenant *schema.Tenant
}

// Unknown says that no tenant holds the key, or that there is no key.
type Unknown struct{}

// Undecided says that the declaration does not tell whether a tenant holds the key
// or which one.
type Undecided struct{}

func (Known) identity()     {}
func (Unknown) identity()   {}
func (Undecided) identity() {}

// Keys are the keys of all tenants of a declaration. They do not change.
type Keys struct {
	// identities holds an identity for the digest of each declared key.
	identities map[string]Identity
	incomplete bool
	required   bool
}

// NewKeys returns the keys of a declaration. A key that several tenants hold belongs
// to none of them.
func NewKeys(declaration schema.Declaration) *Keys {
	keys := &Keys{
		identities: map[string]Identity{}, incomplete: declaration.TenantsIncomplete,
		required: len(declaration.Tenants) > 0 || declaration.TenantsIncomplete,
	}
	for i := range declaration.Tenants {
		holder := &declaration.Tenants[i]
		for _, digest := range holder.KeyDigests {
			keys.add(digest, holder)
		}
	}

	return keys
}

// add records that a tenant holds a key.
func (k *Keys) add(digest string, holder *schema.Tenant) {
	known, isKnown := k.identities[digest].(Known)
	switch {
	case k.identities[digest] == nil:
		k.identities[digest] = Known{Tenant: holder}
	case isKnown && known.Tenant == holder: // listed twice
	default:
		k.identities[digest] = Undecided{}
	}
}

// Count returns the number of different keys.
func (k *Keys) Count() int {
	return len(k.identities)
}

// Required reports whether the declaration has tenants, also if none of them could
// be read.
func (k *Keys) Required() bool {
	return k.required
}

// Identify returns whose key has a digest. An empty digest stands for a call without
// a key. The cost does not depend on the number of keys.
func (k *Keys) Identify(digest string) Identity {
	if digest == "" {
		return Unknown{}
	}
	if identity, declared := k.identities[digest]; declared {
		return identity
	}
	if k.incomplete {
		return Undecided{}
	}

	return Unknown{}
}
