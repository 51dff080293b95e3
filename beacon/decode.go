package beacon

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Bounds of what hosts tell of backend servers, each far beyond what occurs.
const (
	// maxPacePercent is the largest pace in percent of the usual one.
	maxPacePercent = 100_000
	// maxLoadAge is the largest age of a measurement; hosts tell none older than a
	// second.
	maxLoadAge = time.Minute
	// maxColdTime is the longest time that a backend server stays cold.
	maxColdTime = 10 * time.Minute
	// maxInFlight is the largest number of attempts, which a host's senders bound.
	maxInFlight = 1 << 16
	// notMeasured is the age of what a host did not measure.
	notMeasured = -1
)

// FieldError reports a field of a beacon that no host sends.
type FieldError struct {
	// Field is its name.
	Field string
	// Value is what was sent.
	Value any
}

// Error names the field and the value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("the beacon's %s is %v", e.Field, e.Value)
}

// Decode decodes a datagram. What it returns can be believed as far as it can be
// told without knowing the hosts.
func Decode(datagram []byte) (schema.Beacon, error) {
	var decoded schema.Beacon
	if _, err := decoded.UnmarshalMsg(datagram); err != nil {
		return schema.Beacon{}, eris.Wrap(err, "decoding a beacon")
	}
	if err := check(decoded); err != nil {
		return schema.Beacon{}, err
	}

	return decoded, nil
}

// check returns the first field that no host sends.
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
		"declared_hash": beacon.DeclaredHash, "orders_at": beacon.OrdersAt, "registrations_at": beacon.RegistrationsAt,
		"declared_age_ms": beacon.DeclaredAgeMs,
	} {
		if number < 0 {
			return &FieldError{Field: field, Value: number}
		}
	}
	for _, load := range beacon.Loads {
		if err := checkLoad(load); err != nil {
			return err
		}
	}

	return nil
}

// checkLoad returns the first field of a load that no host sends.
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
