package table

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/schema"
)

// snapshotSlots is the number of objects that snapshots rotate through, so that
// a late or torn write leaves the snapshots of earlier versions intact.
const snapshotSlots = 4

// ChecksumError reports a damaged snapshot.
type ChecksumError struct {
	// Want is the checksum in the snapshot.
	Want string
	// Got is the checksum of the value.
	Got string
}

// Error returns a message with both checksums.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("snapshot damaged: recorded checksum %s, but its value has %s", e.Want, e.Got)
}

// SnapshotKey returns the key of the object for the snapshot of a version.
func SnapshotKey(version int) string {
	return fmt.Sprintf("%s_%d", KeyConfiguration, version%snapshotSlots)
}

// SnapshotKeys returns the keys of all objects that may contain a snapshot.
func SnapshotKeys() []string {
	keys := make([]string, 0, snapshotSlots)
	for slot := range snapshotSlots {
		keys = append(keys, SnapshotKey(slot))
	}

	return keys
}

// EncodeSnapshot returns a snapshot of the configuration and the hosts.
func EncodeSnapshot(configuration schema.Configuration, hosts []schema.ListedHost) (schema.Snapshot, error) {
	value, err := json.Marshal(configuration)
	if err != nil {
		return schema.Snapshot{}, eris.Wrap(err, "encoding snapshot")
	}

	return schema.Snapshot{Checksum: checksum(value), Value: string(value), Hosts: hosts}, nil
}

// DecodeSnapshot returns the configuration in a snapshot. An empty snapshot yields
// version 0; a damaged one yields a *ChecksumError.
func DecodeSnapshot(snapshot schema.Snapshot) (schema.Configuration, error) {
	var configuration schema.Configuration
	if snapshot.Value == "" {
		return configuration, nil
	}
	if got := checksum([]byte(snapshot.Value)); got != snapshot.Checksum {
		return configuration, &ChecksumError{Want: snapshot.Checksum, Got: got}
	}
	if err := json.Unmarshal([]byte(snapshot.Value), &configuration); err != nil {
		return schema.Configuration{}, eris.Wrap(err, "decoding snapshot")
	}

	return configuration, nil
}

// checksum returns the xxHash64 of a value in hexadecimal digits.
func checksum(value []byte) string {
	return strconv.FormatUint(xxhash.Sum64(value), 16)
}
