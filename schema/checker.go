package schema

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// namePattern matches the names of hosts, data centres and services.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// redacted replaces the value of a secret in faults.
const redacted = "(secret)"

// InvalidError reports all rejected values of one input.
type InvalidError struct {
	// Input names the checked input, such as "settings" or a file.
	Input string
	// Faults are the rejected values, at least one.
	Faults []Fault
}

// Error returns a heading and one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%s: %d invalid", e.Input, len(e.Faults)))
	for _, fault := range e.Faults {
		lines = append(lines, fmt.Sprintf("  %s=%q: %s", fault.Place, fault.Value, fault.Problem))
	}

	return strings.Join(lines, "\n")
}

// IsName reports whether the text is a valid host, data centre or service name.
func IsName(text string) bool {
	return namePattern.MatchString(text)
}

// checker converts raw settings into typed values and collects the faults.
type checker struct {
	faults []Fault
}

// rejectf records a fault.
func (c *checker) rejectf(place, value, format string, args ...any) {
	c.faults = append(c.faults, Fault{Place: place, Value: value, Problem: fmt.Sprintf(format, args...)})
}

// text accepts every value.
func (*checker) text(_, raw string) string {
	return raw
}

// secret accepts the empty string or at least 16 characters, and keeps the value
// out of the fault.
func (c *checker) secret(place, raw string) string {
	const shortest = 16
	if raw != "" && len(raw) < shortest {
		c.rejectf(place, redacted, "must have at least %d characters", shortest)
	}

	return raw
}

// name accepts values that IsName accepts.
func (c *checker) name(place, raw string) string {
	if !IsName(raw) {
		c.rejectf(place, raw, "must be 1 to 63 lower-case letters, digits or dashes, starting with a letter")
	}

	return raw
}

// names accepts a comma-separated list of names.
func (c *checker) names(place, raw string) []string {
	list := strings.Split(raw, ",")
	for _, item := range list {
		c.name(place, item)
	}

	return list
}

// address accepts an IP address with a port.
func (c *checker) address(place, raw string) string {
	if _, err := netip.ParseAddrPort(raw); err != nil {
		c.rejectf(place, raw, "must be an IP address and a port, such as 127.0.0.1:8080")
	}

	return raw
}

// addresses accepts a comma-separated list of addresses.
func (c *checker) addresses(place, raw string) []string {
	list := strings.Split(raw, ",")
	for _, item := range list {
		c.address(place, item)
	}

	return list
}

// integer accepts a whole number from minimum to maximum.
func (c *checker) integer(place, raw, minimum, maximum string) int {
	value, err := strconv.Atoi(raw)
	if err != nil {
		c.rejectf(place, raw, "must be a whole number from %s to %s", minimum, maximum)

		return 0
	}
	low, _ := strconv.Atoi(minimum)
	high, _ := strconv.Atoi(maximum)
	if value < low || value > high {
		c.rejectf(place, raw, "must be from %s to %s", minimum, maximum)
	}

	return value
}

// duration accepts a Go duration from minimum to maximum.
func (c *checker) duration(place, raw, minimum, maximum string) time.Duration {
	value, err := time.ParseDuration(raw)
	if err != nil {
		c.rejectf(place, raw, "must be a duration from %s to %s, such as 250ms", minimum, maximum)

		return 0
	}
	low, _ := time.ParseDuration(minimum)
	high, _ := time.ParseDuration(maximum)
	if value < low || value > high {
		c.rejectf(place, raw, "must be from %s to %s", minimum, maximum)
	}

	return value
}

// boolean accepts the values that strconv.ParseBool accepts.
func (c *checker) boolean(place, raw string) bool {
	value, err := strconv.ParseBool(raw)
	if err != nil {
		c.rejectf(place, raw, "must be true or false")
	}

	return value
}

// level accepts the names of the log levels.
func (c *checker) level(place, raw string) string {
	switch raw {
	case "error", "warning", "info", "debug":
	default:
		c.rejectf(place, raw, "must be error, warning, info or debug")
	}

	return raw
}
