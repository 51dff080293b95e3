package operator

import (
	"cmp"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
)

// CollisionWindow is the time after a change that took a data centre out during
// which the data centre cannot be taken in. If two operators decide within the
// window, out wins.
const CollisionWindow = 5 * time.Second

// rank orders the changes of one data centre's state. The order is total, so
// that hosts agree in whatever order they receive the changes.
type rank struct {
	atMs uint64
	id   string
}

// rankOf returns the rank of a change. A change to out ranks as if it were made
// CollisionWindow later.
func rankOf(id string, state schema.DataCentreState) rank {
	parsed, err := ulid.ParseStrict(id)
	if err != nil {
		return rank{id: id}
	}
	atMs := parsed.Time()
	if state == schema.DataCentreStateOut {
		atMs += uint64(CollisionWindow / time.Millisecond)
	}

	return rank{atMs: atMs, id: id}
}

// compare compares two ranks by time, then by change id.
func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.atMs, other.atMs), cmp.Compare(r.id, other.id))
}

// outranks reports whether the change that set the data centre's state ranks
// above the given change.
func outranks(decided schema.DataCentre, id string, state schema.DataCentreState) bool {
	return decided.ChangeID != "" && rankOf(decided.ChangeID, decided.State).compare(rankOf(id, state)) > 0
}

// OverrideEnded reports whether the configuration contains the override,
// contains a decision that ranks above it, or no longer contains the data
// centre.
func OverrideEnded(configuration schema.Configuration, override schema.Override) bool {
	if table.ContainsChange(configuration, override.ChangeID) {
		return true
	}
	for _, decided := range configuration.DataCentres {
		if decided.Name == override.DataCentre {
			return outranks(decided, override.ChangeID, override.State)
		}
	}

	return configuration.Version > override.BaseVersion
}

// Merge returns the overrides with the highest rank for each data centre,
// sorted by data centre. Merging is associative, commutative and idempotent.
func Merge(a, b []schema.Override) []schema.Override {
	merged := slices.Clone(a)
	for _, override := range b {
		at := slices.IndexFunc(merged, func(o schema.Override) bool { return o.DataCentre == override.DataCentre })
		switch {
		case at < 0:
			merged = append(merged, override)
		case rankOf(merged[at].ChangeID, merged[at].State).compare(rankOf(override.ChangeID, override.State)) < 0:
			merged[at] = override
		}
	}
	slices.SortFunc(merged, func(a, b schema.Override) int { return cmp.Compare(a.DataCentre, b.DataCentre) })

	return merged
}

// ApplyOverrides returns the configuration with the overrides applied.
func ApplyOverrides(configuration schema.Configuration, overrides []schema.Override) schema.Configuration {
	configuration.DataCentres = slices.Clone(configuration.DataCentres)
	for _, override := range overrides {
		for i := range configuration.DataCentres {
			if configuration.DataCentres[i].Name == override.DataCentre {
				configuration.DataCentres[i].State = override.State
			}
		}
	}

	return configuration
}

// CheckCollision returns a *CollisionError if the change takes a data centre in
// within the collision window of the change that took it out.
func CheckCollision(now time.Time, configuration schema.Configuration, overrides []schema.Override, change SetDataCentre) error {
	if change.State != schema.DataCentreStateIn {
		return nil
	}
	for _, decided := range decisions(configuration, overrides) {
		if decided.Name != change.Name || decided.State != schema.DataCentreStateOut {
			continue
		}
		until := rankOf(decided.ChangeID, decided.State).atMs
		if wait := time.UnixMilli(int64(until)).Sub(now); until > 0 && wait > 0 { //nolint:gosec // a ULID's time has 48 bits
			return &CollisionError{DataCentre: change.Name, ChangeID: decided.ChangeID, RetryAfter: wait}
		}
	}

	return nil
}

// decisions returns the decisions on data centres of the configuration,
// followed by those of the overrides.
func decisions(configuration schema.Configuration, overrides []schema.Override) []schema.DataCentre {
	list := slices.Clone(configuration.DataCentres)
	for _, override := range overrides {
		list = append(list, schema.DataCentre{Name: override.DataCentre, State: override.State, ChangeID: override.ChangeID})
	}

	return list
}

// ChangeTime returns the time to use in the id of a new change: now, or 1 ms
// after the newest change that the host knows if its clock is behind.
func ChangeTime(now time.Time, configuration schema.Configuration, overrides []schema.Override) time.Time {
	newest := now
	for _, decided := range append(decisions(configuration, overrides), schema.DataCentre{ChangeID: configuration.ChangeID}) {
		parsed, err := ulid.ParseStrict(decided.ChangeID)
		if err != nil {
			continue
		}
		after := parsed.Timestamp().Add(time.Millisecond)
		if after.After(newest) {
			newest = after
		}
	}

	return newest
}
