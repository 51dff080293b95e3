package backendhttp

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// FieldError reports a malformed line among the fields of a response. Recipients differ in
// how they read such a line, so that the body may not be the one that was sent.
type FieldError struct {
	// Line is the beginning of the line.
	Line string
}

// Error returns the error message with the beginning of the line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("response has a malformed field: %q", e.Line)
}

// checkFields checks field lines up to an empty line, each with its line end. It returns
// a *FieldError for the first malformed one.
func checkFields(lines []byte) error {
	for first := true; ; first = false {
		line, rest, found := bytes.Cut(lines, lineEnd)
		if !found || len(line) == 0 {
			return nil
		}
		if !isField(line) && (first || !isContinuation(line)) {
			return &FieldError{Line: string(line[:min(len(line), snippetSize)])}
		}
		lines = rest
	}
}

// isField reports whether a line is a name, a colon and a value.
func isField(line []byte) bool {
	name, value, found := bytes.Cut(line, []byte(":"))

	return found && httpguts.ValidHeaderFieldName(string(name)) && httpguts.ValidHeaderFieldValue(string(value))
}

// isContinuation reports whether a line continues the value of the field before it. One
// with a colon could be a field whose name begins with a blank.
func isContinuation(line []byte) bool {
	blank := line[0] == ' ' || line[0] == '\t'

	return blank && bytes.IndexByte(line, ':') < 0 && httpguts.ValidHeaderFieldValue(string(line))
}
