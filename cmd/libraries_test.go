package cmd

import (
	"bytes"
	"context"
	"log"
	"os"
	"strings"
	"testing"

	fiberlog "github.com/gofiber/fiber/v3/log"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/baobabdrum/baobabdrum/eventlog"
)

// Guards against a library that waits for a standard error that nobody reads: what it prints
// goes to the log, which drops what does not fit.
func TestMessagesOfLibrariesAreLogged(t *testing.T) {
	tests := map[string]struct {
		print func()
		want  string
	}{
		"standard logger": {print: func() { log.Printf("ERROR: no %s", "descriptor") }, want: `text="ERROR: no descriptor"`},
		"flood": {print: func() {
			for range 1000 {
				log.Print("again")
			}
		}, want: "text=again unlogged=0\n"},
		"fiber": {print: func() { fiberlog.Errorf("no %s", "handler") }, want: "no handler"},
		"long":  {print: func() { log.Print(strings.Repeat("x", 5000)) }, want: "text=" + strings.Repeat("x", maxLibraryLine) + " unlogged=0\n"},
	}
	flags := log.Flags()
	t.Cleanup(func() {
		log.SetFlags(flags)
		log.SetOutput(os.Stderr)
		fiberlog.SetOutput(os.Stderr)
	})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var written bytes.Buffer
			events := eventlog.New(Output{Messages: &written}.logger("info", logrus.Fields{"host": "edge-1"}))
			captureLibraries(events)
			test.print()
			ended, cancel := context.WithCancel(t.Context())
			cancel()
			assert.ErrorIs(t, events.Run(ended), context.Canceled)
			assert.Assert(t, cmp.Contains(written.String(), "event=library_message"))
			assert.Assert(t, cmp.Contains(written.String(), test.want))
			assert.Assert(t, strings.Count(written.String(), "\n") <= eventlog.MaxBurstLines, "%d lines", strings.Count(written.String(), "\n"))
		})
	}
}
