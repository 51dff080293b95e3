package edge_test

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/edge"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/rollout"
)

func TestPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "## On the users' platform")
	assert.Assert(t, found)
	metrics := edge.NewMetrics()
	metrics.Gauge("baobabdrum_dropped_log_lines", func() float64 { return 0 })
	metrics.Sent(placement.Choice{Service: "s", PaceAge: time.Millisecond})
	metrics.Finished(placement.Finish{Service: "s", Outcome: placement.NoRoute{}, Took: time.Millisecond})
	metrics.Crossed("s", 1)
	metrics.OutdatedRefusals(placement.RefusalsOutdated{Routes: 1, Keys: 1})
	metrics.Cancelled(placement.CancelTimeout)
	metrics.ArrivedStopping()
	metrics.StateChanged("ejected")
	metrics.Store("orders", "read", time.Millisecond)
	metrics.StoreRead("orders", 1, time.Millisecond)
	metrics.Fetched("fetched", 1, time.Millisecond)
	metrics.PeerAnswered("Declared", 1, time.Millisecond)
	metrics.Dropped("loads")
	metrics.Declared(1, 2)
	metrics.InForce(time.Millisecond)
	metrics.Invalid("orders", 1)
	metrics.Outdated("orders")
	metrics.Restored("orders")
	metrics.Exhausted("answers")
	metrics.Rollout(placement.RolloutChanged{Service: "s", Phase: rollout.PhaseObserving, Reason: rollout.ReasonOrdered})
	metrics.Gauge(`baobabdrum_store_read_in_progress_seconds{table="orders"}`, func() float64 { return 0 })
	metrics.Gauge(`baobabdrum_step_in_progress_seconds{duty="control"}`, func() float64 { return 0 })
	metrics.Gauge("baobabdrum_log_write_in_progress_seconds", func() float64 { return 0 })
	metrics.Gauge("baobabdrum_body_bytes", func() float64 { return 0 })
	metrics.Gauge(`baobabdrum_open_connections{listener="caller"}`, func() float64 { return 0 })
	metrics.ReadAhead()
	metrics.UnusedAhead()
	metrics.Rejected("malformed")
	metrics.AcceptFailed("caller")
	metrics.ConnectionEvicted("caller")
	metrics.ConnectionRejected("caller")
	metrics.QuotaRefused("acme")
	metrics.Sharers(3)
	metrics.Shares(1, 2)
	var text bytes.Buffer
	metrics.Write(&text)

	names := func(pattern, text string) []string {
		matches := regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1)
		list := make([]string, 0, len(matches))
		for _, match := range matches {
			list = append(list, regexp.MustCompile(`_(bucket|sum|count)$`).ReplaceAllString(match[1], ""))
		}
		slices.Sort(list)

		return slices.Compact(list)
	}
	assert.DeepEqual(t, names(`(?m)^(baobabdrum_\w+)`, text.String()), names("(?m)^\\| `(\\w+)`", section))
}
