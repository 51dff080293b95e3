package eventlog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/eventlog"
)

// logger returns a log and the buffer to which it writes.
func logger() (*eventlog.Log, *bytes.Buffer) {
	var written bytes.Buffer
	target := logrus.New()
	target.SetOutput(&written)
	target.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})

	return eventlog.New(logrus.NewEntry(target)), &written
}

func TestEvents(t *testing.T) {
	tests := map[string]struct {
		fields []eventlog.Field
		line   string
	}{
		"string and number": {
			fields: []eventlog.Field{eventlog.Text("request_id", "x"), eventlog.Number("pace", 1.23456)}, line: "event=call_sent pace=1.234 request_id=x",
		},
		"duration and bool": {
			fields: []eventlog.Field{eventlog.Duration("took", 1234567*time.Nanosecond), eventlog.Flag("hedge", true)}, line: "event=call_sent hedge=true took=1.235ms",
		},
		"empty string is left out": {fields: []eventlog.Field{eventlog.Text("reason", "")}, line: "event=call_sent\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log, written := logger()
			log.Event(eventlog.Info, "call_sent", "a call was sent", test.fields...)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			assert.ErrorIs(t, log.Run(ctx), context.Canceled)
			assert.Assert(t, strings.Contains(written.String(), test.line), "%s", written)
		})
	}
}

func TestFullLogDropsAndCountsLines(t *testing.T) {
	log, _ := logger()
	for range 5000 {
		log.Event(eventlog.Info, "call_sent", "a call was sent")
	}
	assert.Assert(t, log.Dropped() > 0)
}

// stalledOutput takes no bytes until it is released.
type stalledOutput struct{ released chan struct{} }

// Write waits for the release.
func (o stalledOutput) Write(content []byte) (int, error) {
	<-o.released

	return len(content), nil
}

// Guards against a process that does not end because its log takes no lines any more.
func TestAStalledOutputDoesNotHoldUpTheEnd(t *testing.T) {
	output := stalledOutput{released: make(chan struct{})}
	defer close(output.released)
	target := logrus.New()
	target.SetOutput(output)
	log := eventlog.New(logrus.NewEntry(target))
	log.Event(eventlog.Info, "call_sent", "a call was sent")
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, log.Run(ctx), context.DeadlineExceeded)
	log.Event(eventlog.Info, "call_sent", "a call was sent")
	log.Flush()
	assert.Assert(t, time.Since(began) < time.Second, "the end took %s", time.Since(began))
}
