package tcp_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/tcp"
)

// Guards against large transfers that are cut off although they proceed, and against
// transfers without end.
func TestTransfersLastAsLongAsTheyProceed(t *testing.T) {
	const timeout = 700 * time.Millisecond
	tests := map[string]struct {
		// bytes arrive in each interval.
		bytes    int
		interval time.Duration
		// arrivals is how many times they arrive, the last one just before silence.
		arrivals int
		// ends is when the transfer ends after its begin.
		ends time.Duration
	}{
		"nothing arrives":                {ends: timeout},
		"a megabyte over a narrow link":  {bytes: 10 << 10, interval: 100 * time.Millisecond, arrivals: 100, ends: 10*time.Second + timeout},
		"silence after much":             {bytes: 1 << 20, interval: 100 * time.Millisecond, arrivals: 1, ends: 100*time.Millisecond + timeout},
		"single bytes":                   {bytes: 1, interval: 500 * time.Millisecond, arrivals: 1000, ends: timeout + 1*time.Second/tcp.MinTransferRate},
		"half of the least rate on mean": {bytes: tcp.MinTransferRate / 8, interval: 250 * time.Millisecond, arrivals: 1000, ends: timeout + 500*time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			progress := tcp.NewProgress(began, timeout)
			ends := progress.Deadline
			for i := range test.arrivals {
				at := began.Add(time.Duration(i+1) * test.interval)
				if at.After(ends) {
					break
				}
				ends = progress.Received(at, test.bytes)
			}
			assert.Equal(t, ends.Sub(began).Round(time.Millisecond), test.ends.Round(time.Millisecond))
		})
	}
}
