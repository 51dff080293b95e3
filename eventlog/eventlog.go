// Package eventlog writes one line of key=value pairs for each event without
// blocking the duty that logs it: lines wait in a bounded ring, and those that do
// not fit are dropped and counted. Change this package to change how log lines are
// written.
package eventlog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/ring"
)

// Level is the severity of an event.
type Level = logrus.Level

// The levels.
const (
	// Debug is for what is expected under faults and ends by itself.
	Debug = logrus.DebugLevel
	// Info is for decisions and changes of state.
	Info = logrus.InfoLevel
	// Warning is for conditions that an operator may have to investigate.
	Warning = logrus.WarnLevel
	// Error is for defects.
	Error = logrus.ErrorLevel
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written: one
	// second of output of the busiest host.
	maxQueuedLines = 2048
	// droppedInterval is the minimum time between lines that report dropped lines.
	droppedInterval = time.Second
	// flushTimeout bounds the time for which the end of the process waits for lines to be
	// written.
	flushTimeout = 100 * time.Millisecond
)

// Field is a key=value pair of a line.
type Field struct {
	// Key is the name in snake case.
	Key string
	// Value is a string, a number or a bool. An empty string is left out of the line.
	Value any
}

// Text returns a field with a string.
func Text(key, value string) Field { return Field{Key: key, Value: value} }

// Integer returns a field with a whole number.
func Integer(key string, value int) Field { return Field{Key: key, Value: value} }

// Count returns a field with the value of a counter.
func Count(key string, value uint64) Field { return Field{Key: key, Value: value} }

// Number returns a field with a number, truncated to three decimal places.
func Number(key string, value float64) Field {
	return Field{Key: key, Value: float64(int(value*1000)) / 1000}
}

// Flag returns a field with a bool.
func Flag(key string, value bool) Field { return Field{Key: key, Value: value} }

// Duration returns a field with a duration, rounded to microseconds.
func Duration(key string, value time.Duration) Field {
	return Field{Key: key, Value: value.Round(time.Microsecond).String()}
}

// line is an event that has not been written.
type line struct {
	at      time.Time
	level   Level
	event   string
	message string
	fields  []Field
}

// Log queues events from any duty and writes them in Run.
type Log struct {
	// Writing measures the write of a line in progress.
	Writing group.Step

	entry   *logrus.Entry
	lines   *ring.Ring[line]
	dropped atomic.Uint64
}

// New returns a log that writes to the entry's logger with the entry's fields.
func New(entry *logrus.Entry) *Log {
	return &Log{entry: entry, lines: ring.New[line]("log", maxQueuedLines)}
}

// Event queues an event, or drops it if the queue is full.
func (l *Log) Event(level Level, event, message string, fields ...Field) {
	if !l.entry.Logger.IsLevelEnabled(level) {
		return
	}
	if l.lines.Offer(line{at: time.Now(), level: level, event: event, message: message, fields: fields}) != nil {
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() uint64 {
	return l.dropped.Load()
}

// Run writes lines until the context ends, and then those still queued, but no longer than
// flushTimeout: nothing ends a write to a pipe that nobody reads, and the process must not
// wait for it.
func (l *Log) Run(ctx context.Context) error {
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.writeQueued(ctx)
	}()
	<-ctx.Done()
	select {
	case <-written:
	case <-time.After(flushTimeout):
	}

	return ctx.Err()
}

// Flush writes the lines that are queued, as Run does at its end.
func (l *Log) Flush() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.Run(ended) // it only returns the end of the context
}

// writeQueued writes lines until the context ends, and then those still queued.
func (l *Log) writeQueued(ctx context.Context) {
	reported, reportedAt := uint64(0), time.Now()
	for {
		next, err := l.lines.Take(ctx)
		if err != nil {
			break
		}
		l.write(next)
		if dropped := l.dropped.Load(); dropped > reported && time.Since(reportedAt) > droppedInterval {
			l.write(line{at: time.Now(), level: Warning, event: "log_lines_dropped", message: "log queue was full; lines were dropped",
				fields: []Field{{Key: "lines", Value: dropped - reported}}})
			reported, reportedAt = dropped, time.Now()
		}
	}
	for next, ok := l.lines.Poll(); ok; next, ok = l.lines.Poll() {
		l.write(next)
	}
}

// write writes one line, and waits as long as the output does not take it.
func (l *Log) write(next line) {
	fields := make(logrus.Fields, len(next.fields)+1)
	fields["event"] = next.event
	for _, field := range next.fields {
		if field.Value != "" {
			fields[field.Key] = field.Value
		}
	}
	l.Writing.Begin()
	l.entry.WithTime(next.at).WithFields(fields).Log(next.level, next.message)
	l.Writing.End()
}
