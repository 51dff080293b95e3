// Package backendhttp sends attempts to backend servers and to other entry
// hosts over HTTP and reports exactly what left and what came back. It decides
// nothing: it never retries and never chooses an address. Change this package
// to change the encoding towards backend servers.
package backendhttp

import (
	"bytes"

	"github.com/baobabdrum/baobabdrum/dispatch"
)

// Header fields between entry hosts, callers and backend servers.
const (
	// HeaderDeadline carries the time left in milliseconds.
	HeaderDeadline = "Baobabdrum-Deadline-Ms"
	// HeaderDepth carries the number of calls that the call is nested in.
	HeaderDepth = "Baobabdrum-Depth"
	// HeaderHops carries the number of entry hosts that forwarded the call.
	HeaderHops = "Baobabdrum-Hops"
	// HeaderOrderID carries the id of an order.
	HeaderOrderID = "Baobabdrum-Order-Id"
	// HeaderOrderAttempt carries the number of requests that the caller sent for
	// the order before. Without it the caller does not say.
	HeaderOrderAttempt = "Baobabdrum-Order-Attempt"
	// HeaderOrderNumber carries a caller's own number for an order.
	HeaderOrderNumber = "Baobabdrum-Order-Number"
	// HeaderOutcome carries answered, not_run or unknown.
	HeaderOutcome = "Baobabdrum-Outcome"
	// HeaderReason carries the reason of not_run and unknown.
	HeaderReason = "Baobabdrum-Reason"
	// HeaderShed marks a backend server's answer that says that the call was not
	// run.
	HeaderShed = "Baobabdrum-Shed"
	// HeaderPrefix starts every header field of this project.
	HeaderPrefix = "Baobabdrum-"
)

const (
	// maxBufferedBody is the largest body in bytes that is collected before it is
	// reported.
	maxBufferedBody = 64 << 10
	// chunkSize is the size in bytes of the parts of a larger body.
	chunkSize = 32 << 10
	// chunkRingCapacity is the number of parts that wait for the caller.
	chunkRingCapacity = 8
	// headersCapacity is the number of header fields to make room for.
	headersCapacity = 8
	// initialBodyBuffer is the size in bytes of the first buffer for a body of unknown
	// length.
	initialBodyBuffer = 4 << 10
)

// hopByHop are header fields that concern one connection only.
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

// longestHopByHop is the length in bytes of the longest name in hopByHop.
const longestHopByHop = len("proxy-authorization")

// isHopByHop reports whether a header field concerns one connection only.
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
// callers and backend servers. The value of the Connection field may name more
// fields that concern one connection only.
func IsEndToEnd(name, connection []byte) bool {
	ours := len(name) >= len(HeaderPrefix) && bytes.EqualFold(name[:len(HeaderPrefix)], []byte(HeaderPrefix))

	return !ours && !isHopByHop(name) && !isNominated(name, connection)
}

// isNominated reports whether the value of a Connection field names the field.
func isNominated(name, connection []byte) bool {
	for option := range bytes.SplitSeq(connection, []byte(",")) {
		if bytes.EqualFold(bytes.TrimSpace(option), name) {
			return true
		}
	}

	return false
}

// isShed reports whether the answer says that the call was not run.
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
