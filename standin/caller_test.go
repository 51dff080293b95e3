package standin

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
)

func TestOrderIdentityPrepareRetry(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		results []requestResult
		renew   bool
		want    orderIdentity
	}{
		"keeps its id and increments the attempt": {
			results: []requestResult{{outcome: outcomeNotRun}}, want: orderIdentity{id: "id", attempt: 1},
		},
		"drops its id for a new one if it was not run": {
			results: []requestResult{{outcome: outcomeNotRun}}, renew: true, want: orderIdentity{attempt: 1, renewed: true},
		},
		"drops its number if it could not be claimed": {
			results: []requestResult{{outcome: outcomeNotRun, reason: "platform_unavailable"}},
			want:    orderIdentity{attempt: 1, renewed: true},
		},
		"keeps its id if it may have run": {
			results: []requestResult{{outcome: outcomeUnknown}}, renew: true, want: orderIdentity{id: "id", attempt: 1, mayHaveRun: true},
		},
		"keeps its id if an earlier request may have run": {
			results: []requestResult{{outcome: outcomeUnknown}, {outcome: outcomeNotRun}}, renew: true,
			want: orderIdentity{id: "id", attempt: 2, mayHaveRun: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			identity := orderIdentity{id: "id"}
			for _, result := range test.results {
				identity.prepareRetry(result, test.renew)
			}
			assert.Equal(t, identity, test.want)
		})
	}
}

func TestFailureResult(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		err  error
		want string
	}{
		"a refused connection":             {err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, want: outcomeNotRun},
		"a dial time-out":                  {err: fasthttp.ErrDialTimeout, want: outcomeNotRun},
		"a connection reset while reading": {err: &net.OpError{Op: "read", Err: syscall.ECONNRESET}, want: outcomeUnknown},
		"a late response":                  {err: fasthttp.ErrTimeout, want: outcomeUnknown},
		"a closed connection":              {err: fasthttp.ErrConnectionClosed, want: outcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, failureResult(test.err).outcome, test.want)
		})
	}
}

func TestTryDeadline(t *testing.T) {
	t.Parallel()
	now := time.UnixMilli(0)
	for name, test := range map[string]struct {
		left time.Duration
		try  int
		want time.Duration
	}{
		"a third for the first try":           {left: 3 * time.Second, try: 0, want: time.Second},
		"half of the rest for the second try": {left: 2 * time.Second, try: 1, want: time.Second},
		"all of the rest for the last try":    {left: time.Second, try: 2, want: time.Second},
		"none after the deadline":             {left: 0, try: 1, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, tryDeadline(now, now.Add(test.left), test.try), now.Add(test.want))
		})
	}
}

func TestPhaseAt(t *testing.T) {
	t.Parallel()
	settings := schema.LoadSettings{FaultAfter: 2 * time.Second, FaultFor: 3 * time.Second}
	for name, test := range map[string]struct {
		since time.Duration
		want  phase
	}{
		"before the fault":                {since: 2*time.Second - 1, want: phaseBefore},
		"from the injection of the fault": {since: 2 * time.Second, want: phaseDuring},
		"from the end of the fault":       {since: 5 * time.Second, want: phaseAfter},
		"until the end of the run":        {since: time.Hour, want: phaseAfter},
		"at the start of the run":         {since: 0, want: phaseBefore},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, phaseAt(settings, test.since), test.want)
		})
	}
}
