package backendhttp

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// maxInterimResponses is the maximum number of interim responses before a
	// response.
	maxInterimResponses = 16
	// snippetSize is the number of bytes of a malformed head in an error message.
	snippetSize = 200
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
	// versionPrefix begins each status line.
	versionPrefix = []byte("HTTP/1.")
	// transferCoding matches the field that HTTP/1.0 does not have.
	transferCoding = regexp.MustCompile(`(?i)\ntransfer-encoding[ \t]*:`)
)

// HeadError reports a response head that is malformed or belongs to more than one
// response.
type HeadError struct {
	// Problem says what is wrong.
	Problem string
	// Head is the beginning of the head.
	Head string
}

// Error returns the error message with the beginning of the head.
func (e *HeadError) Error() string {
	return fmt.Sprintf("response head has %s: %q", e.Problem, e.Head)
}

// awaitHead waits until a complete head of a final response is buffered and checks
// it. It drops interim responses and empty lines before it.
func awaitHead(reader *bufio.Reader) error {
	for interim := 0; interim <= maxInterimResponses; interim++ {
		head, err := peekHead(reader)
		if err != nil {
			return eris.Wrap(err, "reading the head of a response")
		}
		status, err := checkHead(head)
		if err != nil || !isInterim(status) {
			return err
		}
		if _, err := reader.Discard(len(head)); err != nil {
			return eris.Wrap(err, "dropping an interim response")
		}
	}

	return &HeadError{Problem: "too many interim responses before it"}
}

// peekHead returns a complete head with the empty line at its end, without
// consuming it. It drops empty lines before it.
func peekHead(reader *bufio.Reader) ([]byte, error) {
	for {
		head, err := peekFields(reader)
		if err != nil || len(head) > len(lineEnd) {
			return head, err
		}
		if _, err := reader.Discard(len(head)); err != nil {
			return nil, err
		}
	}
}

// peekFields returns the lines up to an empty one and with it, without consuming them.
func peekFields(reader *bufio.Reader) ([]byte, error) {
	for {
		buffered, _ := reader.Peek(reader.Buffered()) // does not read
		if bytes.HasPrefix(buffered, lineEnd) {
			return buffered[:len(lineEnd)], nil
		}
		if end := bytes.Index(buffered, headEnd); end >= 0 {
			return buffered[:end+len(headEnd)], nil
		}
		if _, err := reader.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// checkHead returns the status of a head, or a *HeadError or *FieldError.
func checkHead(head []byte) (int, error) {
	fail := func(problem string) (int, error) {
		return 0, &HeadError{Problem: problem, Head: string(head[:min(len(head), snippetSize)])}
	}
	status, begins := statusAt(head)
	switch {
	case !begins:
		return fail("no status line")
	case status < http.StatusContinue:
		return fail("a status that does not exist")
	case hasStatusLine(head[1:]):
		return fail("a second status line")
	case bytes.Count(head, lineEnd) != bytes.Count(head, lineEnd[1:]):
		return fail("a line end without a carriage return")
	case bytes.HasPrefix(head, []byte("HTTP/1.0")) && transferCoding.Match(head):
		return fail("a transfer coding that its version does not know")
	}

	return status, checkFields(head[bytes.Index(head, lineEnd)+len(lineEnd):])
}

// hasStatusLine reports whether there is a status line anywhere in the text. Within a
// line, it begins the response behind a truncated head.
func hasStatusLine(text []byte) bool {
	for {
		at := bytes.Index(text, versionPrefix)
		if at < 0 {
			return false
		}
		if _, begins := statusAt(text[at:]); begins {
			return true
		}
		text = text[at+1:]
	}
}

// statusAt returns the status if the text begins with a status line. The status may be
// none of HTTP.
func statusAt(text []byte) (int, bool) {
	rest, found := bytes.CutPrefix(text, versionPrefix)
	if !found || len(rest) < len("1 200 ") {
		return 0, false
	}
	minor, digits, end := rest[0], rest[2:5], rest[5]
	if minor != '0' && minor != '1' || rest[1] != ' ' || end != ' ' && end != '\r' {
		return 0, false
	}
	status, err := strconv.ParseUint(string(digits), 10, 0)

	return int(status), err == nil //nolint:gosec // three digits
}

// isInterim reports whether another response to the same request follows one with
// this status.
func isInterim(status int) bool {
	return status < http.StatusOK && status != http.StatusSwitchingProtocols
}
