package tenant_test

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tenant"
)

// Guards against a digest over a part of the key, by which another key would be
// accepted.
func TestDigest(t *testing.T) {
	tests := map[string]struct{ key, want string }{
		"known hash": {key: "abc", want: "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
		"empty":      {key: "", want: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tenant.Digest([]byte(test.key)), test.want)
		})
	}
	long := strings.Repeat("k", 10_000)
	assert.Assert(t, tenant.Digest([]byte(long+"a")) != tenant.Digest([]byte(long+"b")))
	assert.Assert(t, tenant.Digest([]byte("key\x00")) != tenant.Digest([]byte("key")))
}

// digests returns the digests of keys.
func digests(keys ...string) []string {
	list := make([]string, 0, len(keys))
	for _, key := range keys {
		list = append(list, tenant.Digest([]byte(key)))
	}

	return list
}

// Guards against a key that works for a tenant that does not hold it alone, and
// against a key that is rejected for good although the declaration does not tell
// whose it is.
func TestIdentify(t *testing.T) {
	acme := schema.Tenant{Name: "acme", KeyDigests: digests("a1", "a2", "a1", "shared")}
	base := schema.Tenant{Name: "base", KeyDigests: digests("b1", "shared")}
	third := schema.Tenant{Name: "third", KeyDigests: digests("shared", "c1")}
	tests := map[string]struct {
		tenants    []schema.Tenant
		incomplete bool
		digest     string
		required   bool
		known      string
		want       tenant.Identity
	}{
		"key of a tenant":                      {tenants: []schema.Tenant{acme, base}, digest: digests("a2")[0], required: true, known: "acme"},
		"key that a tenant lists twice":        {tenants: []schema.Tenant{acme, base}, digest: digests("a1")[0], required: true, known: "acme"},
		"key of another tenant":                {tenants: []schema.Tenant{acme, base}, digest: digests("b1")[0], required: true, known: "base"},
		"key of two tenants":                   {tenants: []schema.Tenant{acme, base}, digest: digests("shared")[0], required: true, want: tenant.Undecided{}},
		"key of three tenants":                 {tenants: []schema.Tenant{acme, base, third}, digest: digests("shared")[0], required: true, want: tenant.Undecided{}},
		"key beside one of three tenants":      {tenants: []schema.Tenant{acme, base, third}, digest: digests("c1")[0], required: true, known: "third"},
		"unknown key":                          {tenants: []schema.Tenant{acme, base}, digest: digests("a")[0], required: true, want: tenant.Unknown{}},
		"the digest of a digest":               {tenants: []schema.Tenant{acme}, digest: digests(digests("a1")[0])[0], required: true, want: tenant.Unknown{}},
		"no key":                               {tenants: []schema.Tenant{acme, base}, required: true, want: tenant.Unknown{}},
		"unknown key and an incomplete list":   {tenants: []schema.Tenant{acme}, incomplete: true, digest: digests("b1")[0], required: true, want: tenant.Undecided{}},
		"known key and an incomplete list":     {tenants: []schema.Tenant{acme}, incomplete: true, digest: digests("a1")[0], required: true, known: "acme"},
		"no key and an incomplete list":        {tenants: []schema.Tenant{acme}, incomplete: true, required: true, want: tenant.Unknown{}},
		"no tenant could be read":              {incomplete: true, digest: digests("a1")[0], required: true, want: tenant.Undecided{}},
		"no tenants":                           {digest: digests("a1")[0], want: tenant.Unknown{}},
		"a tenant without keys":                {tenants: []schema.Tenant{{Name: "empty"}}, digest: digests("a1")[0], required: true, want: tenant.Unknown{}},
		"the digest of no bytes is not no key": {tenants: []schema.Tenant{acme}, digest: tenant.Digest(nil), required: true, want: tenant.Unknown{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			keys := tenant.NewKeys(schema.Declaration{Tenants: test.tenants, TenantsIncomplete: test.incomplete})
			assert.Equal(t, keys.Required(), test.required)
			identity := keys.Identify(test.digest)
			if known, ok := identity.(tenant.Known); ok {
				assert.Equal(t, known.Tenant.Name, test.known)

				return
			}
			assert.Equal(t, test.known, "")
			assert.DeepEqual(t, identity, test.want)
		})
	}
}

// Shows that the cost of a lookup does not grow with the number of keys.
func BenchmarkIdentify(b *testing.B) {
	for _, count := range []int{10, 1000, 100_000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			holder := schema.Tenant{Name: "acme"}
			for i := range count {
				holder.KeyDigests = append(holder.KeyDigests, digests(strconv.Itoa(i))...)
			}
			keys := tenant.NewKeys(schema.Declaration{Tenants: []schema.Tenant{holder}})
			wanted := digests("0")[0]
			for b.Loop() {
				keys.Identify(wanted)
			}
		})
	}
}

// Guards against a count by which a lost key does not show.
func TestKeysAreCountedOnce(t *testing.T) {
	tests := map[string]struct {
		tenants []schema.Tenant
		want    int
	}{
		"none":              {},
		"of two tenants":    {tenants: []schema.Tenant{{Name: "acme", KeyDigests: digests("a1", "a2")}, {Name: "base", KeyDigests: digests("b1")}}, want: 3},
		"listed twice":      {tenants: []schema.Tenant{{Name: "acme", KeyDigests: digests("a1", "a1")}}, want: 1},
		"shared by tenants": {tenants: []schema.Tenant{{Name: "acme", KeyDigests: digests("a1")}, {Name: "base", KeyDigests: digests("a1")}}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tenant.NewKeys(schema.Declaration{Tenants: test.tenants}).Count(), test.want)
		})
	}
}
