package tcp

import "time"

// MinTransferRate is the least mean rate in bytes per second of a transfer that proceeds:
// a fortieth of a link of 10 Mbit/s.
const MinTransferRate = 32 << 10

// Progress bounds the time of a transfer by what has arrived rather than by its length: it
// ends if nothing arrives for a while, or less than MinTransferRate on average. Its zero
// value allows no time.
type Progress struct {
	// StallTimeout is the longest time without a byte.
	StallTimeout time.Duration
	// Deadline is when the transfer ends if nothing more arrives at the mean rate.
	Deadline time.Time
}

// NewProgress returns the bound of a transfer that begins now and of which the first byte
// must arrive within the timeout.
func NewProgress(now time.Time, timeout time.Duration) *Progress {
	return &Progress{StallTimeout: timeout, Deadline: now.Add(timeout)}
}

// Received notes that bytes arrived and returns when the transfer ends unless more do.
func (p *Progress) Received(now time.Time, bytes int) time.Time {
	p.Deadline = p.Deadline.Add(time.Duration(bytes) * time.Second / MinTransferRate)
	if stalled := now.Add(p.StallTimeout); stalled.Before(p.Deadline) {
		return stalled
	}

	return p.Deadline
}
