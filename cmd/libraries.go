package cmd

import (
	"log"
	"strings"
	"time"

	fiberlog "github.com/gofiber/fiber/v3/log"

	"github.com/baobabdrum/baobabdrum/eventlog"
)

// maxLibraryLine is the largest part of a message of a library that is logged, in bytes.
const maxLibraryLine = 400

// captureLibraries passes the messages of libraries to the log. They write them to the
// standard error otherwise, which may not take them, and wait for it with a lock held.
func captureLibraries(events *eventlog.Log) {
	output := &libraryOutput{log: events}
	log.SetFlags(0)
	log.SetOutput(output)
	fiberlog.SetOutput(output)
}

// libraryOutput logs what libraries print, with a bound on the number of lines.
type libraryOutput struct {
	log   *eventlog.Log
	lines eventlog.Burst
}

// Write logs one message, or leaves it out if there were many. It never fails.
func (o *libraryOutput) Write(content []byte) (int, error) {
	if unlogged, ok := o.lines.Next(time.Now()); ok {
		text := strings.TrimSpace(string(content))
		o.log.Event(eventlog.Warning, "library_message", "a library reported a problem",
			eventlog.Text("text", text[:min(len(text), maxLibraryLine)]), eventlog.Count("unlogged", unlogged))
	}

	return len(content), nil
}
