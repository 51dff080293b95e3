package caller

import (
	"io"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/schema"
)

// PlaceOrderID is the Place of faults in order ids.
const PlaceOrderID = "order_id"

// OrderID identifies an order and the only incarnation of a host that may run
// it. Its text form is INCARNATION-ULID.
type OrderID struct {
	// Incarnation is the incarnation of the host that may run the order.
	Incarnation string
	// ULID holds the time of issue in milliseconds and 80 random bits.
	ULID ulid.ULID
}

// NewOrderID issues an order id for the incarnation. It fails only if the
// random source fails.
func NewOrderID(incarnation string, now time.Time, random io.Reader) (OrderID, error) {
	id, err := ulid.New(ulid.Timestamp(now), random)

	return OrderID{Incarnation: incarnation, ULID: id}, eris.Wrap(err, "generating an order id")
}

// ParseOrderID parses the text form of an order id. The error is a
// *schema.InvalidError with the place and the rejected value.
func ParseOrderID(raw string) (OrderID, error) {
	const length = 2*ulid.EncodedSize + 1
	if len(raw) != length || raw[ulid.EncodedSize] != '-' {
		return OrderID{}, invalidOrderID(raw, "must be two ULIDs joined by a dash")
	}
	incarnation, rest := raw[:ulid.EncodedSize], raw[ulid.EncodedSize+1:]
	if !canonical(incarnation) {
		return OrderID{}, invalidOrderID(raw, "must start with the incarnation, an upper-case ULID")
	}
	if !canonical(rest) {
		return OrderID{}, invalidOrderID(raw, "must end with an upper-case ULID")
	}

	return OrderID{Incarnation: incarnation, ULID: ulid.MustParseStrict(rest)}, nil
}

// canonical reports whether the text is a ULID in its printed form, so that
// each id has exactly one accepted text.
func canonical(text string) bool {
	parsed, err := ulid.ParseStrict(text)

	return err == nil && parsed.String() == text
}

// invalidOrderID returns the error for a rejected id.
func invalidOrderID(raw, problem string) error {
	return &schema.InvalidError{Input: "order", Faults: []schema.Fault{
		{Place: PlaceOrderID, Value: raw, Problem: problem},
	}}
}

// String returns the text form, INCARNATION-ULID.
func (o OrderID) String() string {
	return o.Incarnation + "-" + o.ULID.String()
}

// Time returns the time of issue by the issuer's clock, in whole milliseconds.
func (o OrderID) Time() time.Time {
	return ulid.Time(o.ULID.Time())
}
