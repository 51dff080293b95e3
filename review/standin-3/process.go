package main

import (
	"fmt"
	"os"
	"time"
)

// eventually reports whether a condition holds within a time.
func eventually(within time.Duration, condition func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}

	return false
}

// countDescriptors returns the number of open descriptors of a process.
func countDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return -1
	}

	return len(entries)
}
