package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in the folder of the case that tells what was sent, answered
// and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)

	return &record{file: file, started: time.Now()}, err
}

func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}
