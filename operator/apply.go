package operator

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
)

// maxRecentChanges limits the records of persisted changes in a configuration.
const maxRecentChanges = 64

// Applied is the result of a change that was not rejected.
type Applied struct {
	// Configuration is the configuration after the change.
	Configuration schema.Configuration
	// Changed is false if the change left the configuration as it was.
	Changed bool
}

// Apply applies a change to the configuration that the platform holds, given
// the overrides in force. A change whose id is among the recent changes has no
// effect.
func Apply(current schema.Configuration, change Change, id string, overrides []schema.Override) (Applied, error) {
	if table.ContainsChange(current, id) {
		return Applied{Configuration: current}, nil
	}
	switch change := change.(type) {
	case ReplaceSheet:
		return applySheet(current, change, id, overrides)
	case SetDataCentre:
		return applyDataCentre(current, change, id)
	}

	return Applied{Configuration: current}, nil
}

// applySheet replaces the declarations of the configuration with the sheet's.
// It has no effect if the newest accepted sheet has the same content.
func applySheet(current schema.Configuration, change ReplaceSheet, id string, overrides []schema.Override) (Applied, error) {
	if change.Configuration.Day < current.Day {
		return Applied{}, &OutdatedError{Day: change.Configuration.Day, InForce: current.Day}
	}
	checksum := sheetChecksum(change.Configuration)
	if sheets := sheetRecords(current); len(sheets) > 0 && sheets[len(sheets)-1].SheetChecksum == checksum {
		return Applied{Configuration: current}, nil
	}
	if change.BaseVersion != 0 && change.BaseVersion != current.Version {
		return Applied{}, &table.ConflictError{ChangeID: id, Accepted: current.ChangeID, Version: current.Version}
	}
	if err := checkNotSuperseded(current, change, checksum); err != nil {
		return Applied{}, err
	}
	next := change.Configuration
	next.DataCentres = slices.Clone(next.DataCentres)
	for i, declared := range next.DataCentres {
		if err := checkOverride(declared, overrides); err != nil {
			return Applied{}, err
		}
		next.DataCentres[i].ChangeID = decidedBy(current, declared, id)
	}

	return Applied{Configuration: withChangeRecord(current, next, schema.ChangeRecord{ChangeID: id, SheetChecksum: checksum}), Changed: true}, nil
}

// applyDataCentre sets the state of a data centre, unless an earlier decision
// outranks the change.
func applyDataCentre(current schema.Configuration, change SetDataCentre, id string) (Applied, error) {
	at := slices.IndexFunc(current.DataCentres, func(d schema.DataCentre) bool { return d.Name == change.Name })
	if at < 0 {
		return Applied{}, &UnknownDataCentreError{Name: change.Name}
	}
	declared := current.DataCentres[at]
	if outranks(declared, id, change.State) {
		return Applied{Configuration: current}, nil
	}
	next := current
	next.DataCentres = slices.Clone(current.DataCentres)
	next.DataCentres[at].State, next.DataCentres[at].ChangeID = change.State, id

	return Applied{Configuration: withChangeRecord(current, next, schema.ChangeRecord{ChangeID: id}), Changed: true}, nil
}

// withChangeRecord returns the next configuration with a record of the change
// added to the recent changes.
func withChangeRecord(current, next schema.Configuration, record schema.ChangeRecord) schema.Configuration {
	recent := append(slices.Clone(current.RecentChanges), record)
	if len(recent) > maxRecentChanges {
		recent = recent[len(recent)-maxRecentChanges:]
	}
	next.RecentChanges = recent
	next.Version, next.ChangeID = current.Version, record.ChangeID

	return next
}

// sheetChecksum returns the checksum of a sheet's declarations.
func sheetChecksum(declared schema.Configuration) string {
	declared.Version, declared.ChangeID, declared.RecentChanges = 0, "", nil
	raw, _ := json.Marshal(declared) //nolint:errchkjson // plain strings and numbers always encode

	return strconv.FormatUint(xxhash.Sum64(raw), 16)
}

// sheetRecords returns the recent records of persisted sheets, the newest last.
func sheetRecords(current schema.Configuration) []schema.ChangeRecord {
	return slices.DeleteFunc(slices.Clone(current.RecentChanges), func(r schema.ChangeRecord) bool {
		return r.SheetChecksum == ""
	})
}

// checkNotSuperseded rejects a sheet that was accepted before and replaced
// since, unless the planner names the version in force.
func checkNotSuperseded(current schema.Configuration, change ReplaceSheet, checksum string) error {
	if change.BaseVersion != 0 {
		return nil
	}
	for _, record := range sheetRecords(current) {
		if record.SheetChecksum == checksum {
			return &SupersededError{ChangeID: record.ChangeID, InForce: current.ChangeID}
		}
	}

	return nil
}

// checkOverride rejects a sheet that contradicts an override which is not
// persisted yet, such as a sheet that takes in a data centre that an operator
// took out.
func checkOverride(declared schema.DataCentre, overrides []schema.Override) error {
	for _, override := range overrides {
		if override.DataCentre == declared.Name && override.State != declared.State {
			return &NotPersistedError{DataCentre: declared.Name, ChangeID: override.ChangeID}
		}
	}

	return nil
}

// decidedBy returns the id of the change that set the declared state: the
// earlier change if the state is as before, or else the given one.
func decidedBy(current schema.Configuration, declared schema.DataCentre, id string) string {
	for _, before := range current.DataCentres {
		if before.Name == declared.Name && before.State == declared.State {
			return before.ChangeID
		}
	}

	return id
}
