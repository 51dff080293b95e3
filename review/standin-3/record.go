package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// add adds a line: the time since the start in seconds, what happened, and details.
func (r *record) add(event string, details ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%8.3f %s", time.Since(r.started).Seconds(), event)
	for _, detail := range details {
		fmt.Fprintf(r.writer, " %v", detail)
	}
	fmt.Fprintln(r.writer)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
