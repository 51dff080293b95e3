package beacon

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Bounds of the fields of load reports, each far beyond the values that occur.
const (
	// maxPacePercent is the largest pace in percent of the nominal pace.
	maxPacePercent = 100_000
	// maxLoadAge is the largest age of a load measurement; hosts send none older than
	// a second.
	maxLoadAge = time.Minute
	// maxColdTime is the longest time that a backend server stays cold.
	maxColdTime = 10 * time.Minute
	// maxInFlight is the largest number of in-flight attempts, which the number of a
	// host's senders bounds.
	maxInFlight = 1 << 16
	// notMeasured is the age of a load that a host did not measure.
	notMeasured = -1
)

// FieldError reports a field of a beacon with an invalid value.
type FieldError struct {
	// Field is the field's name in the encoding.
	Field string
	// Value is the value that was received.
	Value any
}

// Error names the field and the value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("beacon field %s has invalid value: %v", e.Field, e.Value)
}

// Decode decodes and validates a datagram. Validation covers all that can be
// checked without knowing the hosts.
func Decode(datagram []byte) (schema.Beacon, error) {
	// Decoding allocates lists of the length that they announce. Skipping does not, and
	// fails if the datagram is shorter than that.
	if _, err := msgp.Skip(datagram); err != nil {
		return schema.Beacon{}, eris.Wrap(err, "decoding beacon")
	}
	var decoded schema.Beacon
	if _, err := decoded.UnmarshalMsg(datagram); err != nil {
		return schema.Beacon{}, eris.Wrap(err, "decoding beacon")
	}
	if err := check(decoded); err != nil {
		return schema.Beacon{}, err
	}

	return decoded, nil
}

// check returns a *FieldError if a field of the beacon is invalid.
func check(beacon schema.Beacon) error {
	for field, text := range map[string]string{"name": beacon.Name, "data_centre": beacon.DataCentre} {
		if text == "" {
			return &FieldError{Field: field, Value: "empty"}
		}
	}
	for field, address := range map[string]string{"caller_address": beacon.CallerAddress, "peer_address": beacon.PeerAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return &FieldError{Field: field, Value: address}
		}
	}
	for field, number := range map[string]int{
		"started_ms": beacon.StartedMs, "sequence": beacon.Sequence, "capacity": beacon.Capacity, "calls": beacon.Calls,
		"declared_hash": beacon.DeclaredHash, "declared_version": beacon.DeclaredVersion, "declared_age_ms": beacon.DeclaredAgeMs,
		"orders_at.epoch": beacon.OrdersAt.Epoch, "orders_at.version": beacon.OrdersAt.Version,
		"registrations_at.epoch": beacon.RegistrationsAt.Epoch, "registrations_at.version": beacon.RegistrationsAt.Version,
	} {
		if number < 0 {
			return &FieldError{Field: field, Value: number}
		}
	}
	for _, leaving := range beacon.Leaving {
		if leaving.StartedMs < 0 {
			return &FieldError{Field: "leaving.started_ms", Value: leaving.StartedMs}
		}
	}
	for _, load := range beacon.Loads {
		if err := checkLoad(load); err != nil {
			return err
		}
	}

	if err := checkRollouts(beacon.Rollouts); err != nil {
		return err
	}

	if beacon.Shares == nil {
		return nil
	}

	return checkShares(*beacon.Shares)
}

// checkLoad returns a *FieldError if a field of a load report is invalid.
func checkLoad(load schema.ServerLoad) error {
	for field, bounds := range map[string]struct{ value, least, most int }{
		"loads.in_flight":    {load.InFlight, 0, maxInFlight},
		"loads.pace_percent": {load.PacePercent, 0, maxPacePercent},
		"loads.age_ms":       {load.AgeMs, notMeasured, int(maxLoadAge.Milliseconds())},
		"loads.cold_left_ms": {load.ColdLeftMs, 0, int(maxColdTime.Milliseconds())},
	} {
		if bounds.value < bounds.least || bounds.value > bounds.most {
			return &FieldError{Field: field, Value: bounds.value}
		}
	}

	return nil
}
