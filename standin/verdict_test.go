package standin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
)

func TestJudge(t *testing.T) {
	t.Parallel()
	ran := func(orders ...string) schema.RunRecord {
		record := schema.RunRecord{Address: "127.0.0.1:9000"}
		for _, order := range orders {
			record.Orders = append(record.Orders, schema.Run{Order: order})
		}

		return record
	}
	called := func(fromMs int) schema.RunRecord {
		return schema.RunRecord{Address: "127.0.0.1:9000", Intervals: []schema.CallInterval{{FromMs: fromMs, Calls: 2}}}
	}
	for name, test := range map[string]struct {
		run     schema.LoadRun
		records []schema.RunRecord
		want    schema.Verdict
		broken  bool
	}{
		"an order that ran once": {
			run:     schema.LoadRun{OrdersAnswered: []string{"a"}},
			records: []schema.RunRecord{ran("a")}, want: schema.Verdict{Orders: 1},
		},
		"an order that ran twice": {
			records: []schema.RunRecord{ran("a"), ran("a")}, want: schema.Verdict{Orders: 1, OrdersTwice: 1}, broken: true,
		},
		"an order that ran but was reported as not_run": {
			run:     schema.LoadRun{OrdersNotRun: []string{"a"}},
			records: []schema.RunRecord{ran("a")}, want: schema.Verdict{Orders: 1, NotRunButRun: 1}, broken: true,
		},
		"an order that did not run but was reported as answered": {
			run: schema.LoadRun{OrdersAnswered: []string{"a"}}, want: schema.Verdict{AnsweredButNotRun: 1}, broken: true,
		},
		"an order that was reported as unknown": {
			run:     schema.LoadRun{OrdersUnknown: []string{"a"}},
			records: []schema.RunRecord{ran("a")}, want: schema.Verdict{Orders: 1, OrdersUnknown: 1},
		},
		"a call without an outcome": {
			run:  schema.LoadRun{Started: 3, Services: []schema.LoadReportService{{Answered: 1, NotRun: 1}}},
			want: schema.Verdict{Started: 3, Answered: 1, NotRun: 1, Lost: 1}, broken: true,
		},
		"an answer to another request": {
			run:  schema.LoadRun{Started: 1, Services: []schema.LoadReportService{{Misdirected: 1}}},
			want: schema.Verdict{Started: 1, Misdirected: 1}, broken: true,
		},
		"calls within the permitted time after the data centre was taken out": {records: []schema.RunRecord{called(15_000)}, want: schema.Verdict{LastCallAfterOutMs: 5000}},
		"calls after the permitted time":                                      {records: []schema.RunRecord{called(17_000)}, want: schema.Verdict{LastCallAfterOutMs: 7000, CallsAfterOut: 2}, broken: true},
		"calls after the data centre was put back":                            {records: []schema.RunRecord{called(20_000)}},
		"calls before the data centre was taken out":                          {records: []schema.RunRecord{called(9_000)}},
		"as many probes as allowed": {
			records: []schema.RunRecord{{Address: "127.0.0.1:9000", Probes: 6, UpMs: 10_000}}, want: schema.Verdict{Probes: 6},
		},
		"more probes than allowed": {
			records: []schema.RunRecord{{Address: "127.0.0.1:9000", Probes: 7, UpMs: 10_000}},
			want:    schema.Verdict{Probes: 7, OverProbes: 1}, broken: true,
		},
		"connections above a backend server's limit": {records: []schema.RunRecord{{ConnectionsRefused: 1}}, want: schema.Verdict{OverConnections: 1}, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			criteria := standin.Criteria{
				ProbeRateMilli: map[string]int{"127.0.0.1:9000": 500}, TakenOut: map[string]bool{"127.0.0.1:9000": true},
				OutAtMs: 10_000, InAtMs: 20_000, Permitted: 6 * time.Second,
			}
			verdict := standin.Judge(test.run, test.records, criteria)
			assert.DeepEqual(t, verdict, test.want)
			assert.Equal(t, standin.HasViolations(verdict), test.broken)
		})
	}
}
