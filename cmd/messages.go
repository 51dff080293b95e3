package cmd

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/baobabdrum/baobabdrum/eventlog"
)

// messageTimeout bounds the time for which the end of a host waits for the output of its last
// message.
const messageTimeout = time.Second

// hostCommands are the commands that run a host. What starts them may not read their output.
var hostCommands = map[string]bool{"host": true, "edge": true}

// hostOutput returns the output of a command that runs a host. Nothing but the messages of the
// command waits for the reader of its standard error.
func hostOutput(output Output) Output {
	if output.Messages != io.Writer(os.Stderr) {
		return output
	}
	waiting, err := detachErrors()
	if waiting != nil {
		output.Messages = waiting
	}
	output.Blocking = err

	return output
}

// noteBlocking logs why the process may wait for the reader of its standard error.
func (o Output) noteBlocking(log *eventlog.Log) {
	if o.Blocking != nil {
		log.Event(eventlog.Warning, "errors_may_block", "a panic may wait for the reader of the standard error", eventlog.Text("error", o.Blocking.Error()))
	}
}

// WriteTimeoutError reports an output that did not take a message in time.
type WriteTimeoutError struct {
	// Timeout is the time that the output had.
	Timeout time.Duration
}

// Error states the time.
func (e *WriteTimeoutError) Error() string {
	return fmt.Sprintf("the output took no message for %s", e.Timeout)
}

// boundedWriter is an output for the last message of a process. It gives up on a message that
// the target does not take in time, because nothing else ends a write to a pipe that nobody
// reads.
type boundedWriter struct {
	target  io.Writer
	timeout time.Duration
}

// Write passes the content to the target. It returns a *WriteTimeoutError if that takes too
// long; the content may still be written later.
func (w boundedWriter) Write(content []byte) (int, error) {
	content = bytes.Clone(content) // the caller may use it again
	type result struct {
		count int
		err   error
	}
	written := make(chan result, 1)
	var writing conc.WaitGroup // not waited for, as it may never end
	writing.Go(func() {
		count, err := w.target.Write(content)
		written <- result{count: count, err: err}
	})
	select {
	case result := <-written:
		return result.count, result.err
	case <-time.After(w.timeout):
		return 0, &WriteTimeoutError{Timeout: w.timeout}
	}
}
