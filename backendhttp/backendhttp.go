// Package backendhttp is the HTTP client for backend servers and other entry
// hosts. It takes attempts and probes, sends each to the address that it names,
// and reports whether any bytes were sent and whether the response was complete.
// It never retries and never selects an address. Change this package to change the
// encoding towards backend servers.
package backendhttp

import (
	"bytes"

	"github.com/baobabdrum/baobabdrum/dispatch"
)

// Header fields of requests and responses between callers, entry hosts and
// backend servers.
const (
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Baobabdrum-Deadline-Ms"
	// HeaderDepth carries the number of calls that the call is nested in.
	HeaderDepth = "Baobabdrum-Depth"
	// HeaderHops carries the number of entry hosts that have forwarded the call.
	HeaderHops = "Baobabdrum-Hops"
	// HeaderOrderID carries the id of an order.
	HeaderOrderID = "Baobabdrum-Order-Id"
	// HeaderOrderAttempt carries the number of earlier requests that the caller
	// sent for the order. If it is absent, that number is not known.
	HeaderOrderAttempt = "Baobabdrum-Order-Attempt"
	// HeaderOrderNumber carries a caller's own number for an order.
	HeaderOrderNumber = "Baobabdrum-Order-Number"
	// HeaderOutcome carries the outcome: answered, not_run or unknown.
	HeaderOutcome = "Baobabdrum-Outcome"
	// HeaderReason carries the reason for not_run and unknown.
	HeaderReason = "Baobabdrum-Reason"
	// HeaderShed marks the response of a backend server that shed the call without
	// running it.
	HeaderShed = "Baobabdrum-Shed"
	// HeaderPrefix is the prefix of all header fields of this project.
	HeaderPrefix = "Baobabdrum-"
)

const (
	// maxBufferedBody is the size in bytes above which a body is streamed in parts
	// instead of being buffered.
	maxBufferedBody = 64 << 10
	// chunkSize is the size in bytes of the parts of a streamed body.
	chunkSize = 32 << 10
	// chunkRingCapacity is the maximum number of parts that wait for the caller.
	chunkRingCapacity = 8
	// headersCapacity is the initial capacity for the header fields of a response.
	headersCapacity = 8
	// initialBodyBuffer is the initial size in bytes of the buffer for a body of
	// unknown length, and the minimum step by which the buffer grows.
	initialBodyBuffer = 4 << 10
)

// hopByHop lists header fields that concern one connection only, in lower case.
var hopByHop = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true,
	"host":                true,
}

// longestHopByHop is the length in bytes of the longest name in hopByHop. Longer
// names need no lookup.
const longestHopByHop = len("proxy-authorization")

// isHopByHop reports whether a header field is in hopByHop, in any case of letters.
func isHopByHop(name []byte) bool {
	if len(name) > longestHopByHop {
		return false
	}
	var buffer [longestHopByHop]byte
	lower := buffer[:len(name)]
	for i, char := range name {
		if 'A' <= char && char <= 'Z' {
			char += 'a' - 'A'
		}
		lower[i] = char
	}

	return hopByHop[string(lower)]
}

// IsEndToEnd reports whether a header field with this name is passed on between
// callers and backend servers. The value of the Connection field may name further
// hop-by-hop fields.
func IsEndToEnd(name, connection []byte) bool {
	ours := len(name) >= len(HeaderPrefix) && bytes.EqualFold(name[:len(HeaderPrefix)], []byte(HeaderPrefix))

	return !ours && !isHopByHop(name) && !isNominated(name, connection)
}

// isNominated reports whether the value of a Connection field lists the name.
func isNominated(name, connection []byte) bool {
	for option := range bytes.SplitSeq(connection, []byte(",")) {
		if bytes.EqualFold(bytes.TrimSpace(option), name) {
			return true
		}
	}

	return false
}

// isShed reports whether the response marks the call as shed. In a forwarded
// response the mark is ignored.
func isShed(answer *dispatch.Answer) bool {
	if answer.Forwarded {
		return false
	}
	for _, header := range answer.Headers {
		if header.Name == HeaderShed {
			return true
		}
	}

	return false
}
