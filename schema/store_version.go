package schema

import (
	"cmp"
	"strconv"
)

// Compare returns -1, 0 or 1 if the version is older than, equal to or newer than another
// one. Each version of a later epoch is newer than all versions of the earlier ones,
// whatever their numbers.
func (v StoreVersion) Compare(other StoreVersion) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Version, other.Version))
}

// String returns the epoch and the version as in 2.45.
func (v StoreVersion) String() string {
	return strconv.Itoa(v.Epoch) + "." + strconv.Itoa(v.Version)
}

// IsNewer reports whether the version is newer than another one.
func (v StoreVersion) IsNewer(than StoreVersion) bool {
	return v.Compare(than) > 0
}

// IsZero reports whether the version stands for a store that was never read.
func (v StoreVersion) IsZero() bool {
	return v.Version == 0
}

// Continues reports whether a store at this version has all changes since an earlier one:
// a store that was restored in between has lost some.
func (v StoreVersion) Continues(earlier StoreVersion) bool {
	return v.Epoch == earlier.Epoch && v.Version >= earlier.Version
}
