package table_test

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
	"github.com/baobabdrum/baobabdrum/table"
)

// value returns an encoded configuration that lists the changes as recent.
func value(ids ...string) string {
	configuration := schema.Configuration{}
	for _, id := range ids {
		configuration.RecentChanges = append(configuration.RecentChanges, schema.ChangeRecord{ChangeID: id})
	}
	raw, _ := json.Marshal(configuration) //nolint:errchkjson // plain texts always encode

	return string(raw)
}

func TestWriterOutcomes(t *testing.T) {
	lost := table.Failed{Cause: &table.MalformedError{}}
	found := func(version int, id string, ids ...string) table.Event {
		return table.Replied{Result: schema.TransactionResult{Rows: []schema.Row{
			{Key: table.KeyConfiguration, Version: version, ChangeID: id, Value: value(ids...)},
		}}}
	}
	tests := map[string]struct {
		events []table.Event
		want   string
	}{
		"committed": {
			events: []table.Event{table.Replied{Result: schema.TransactionResult{
				Committed: true, Rows: []schema.Row{{Version: 4, ChangeID: "ours"}},
			}}},
			want: "accept 4",
		},
		"lost reply of a committed write":         {events: []table.Event{lost, found(4, "ours", "ours")}, want: "accept 4"},
		"lost reply, then another change on top":  {events: []table.Event{lost, found(5, "theirs", "ours", "theirs")}, want: "accept 5"},
		"lost reply, then another change instead": {events: []table.Event{lost, found(5, "theirs", "theirs")}, want: "conflict"},
		"no reply to any attempt":                 {events: []table.Event{lost, lost, lost, lost, lost}, want: "unsettled"},
		"rejected although the base is current":   {events: []table.Event{found(3, "theirs"), lost, lost, lost, lost}, want: "unsettled"},
		"reply without rows, then no replies":     {events: []table.Event{table.Replied{}, lost, lost, lost, lost}, want: "unsettled"},
		"reply without rows, then committed":      {events: []table.Event{table.Replied{}, found(4, "ours", "ours")}, want: "accept 4"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			transaction := schema.Transaction{Rows: []schema.Row{{Key: table.KeyConfiguration, Version: 3, ChangeID: "ours"}}}
			writer, action := table.NewWriter(transaction)
			for _, event := range test.events {
				assert.DeepEqual(t, action, table.Action(table.Write{Transaction: transaction}))
				action = writer.Step(event)
			}
			assert.Equal(t, changeOutcome(action), test.want)
		})
	}
}

// changeOutcome describes how a change ended.
func changeOutcome(action table.Action) string {
	var (
		conflict  *table.ConflictError
		unsettled *table.UnsettledError
	)
	switch action := action.(type) {
	case table.Accept:
		return "accept " + strconv.Itoa(action.Version)
	case table.Reject:
		if errors.As(action.Err, &conflict) {
			return "conflict"
		}
		if errors.As(action.Err, &unsettled) {
			return "unsettled"
		}
	case table.Write:
		return "write"
	}

	return "other"
}

// registerInput is one change: a compare-and-swap of the base version.
type registerInput struct {
	base int
	id   string
}

// registerOutput is the outcome that the writer reported.
type registerOutput struct {
	outcome string
}

// registerState is the state of the register: its version and last change.
type registerState struct {
	version int
	id      string
}

// registerModel specifies the configuration as a register with compare-and-swap.
// An unsettled change may or may not have taken effect.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		return stepRegister(state.(registerState), input.(registerInput), output.(registerOutput))
	},
}

// stepRegister returns the states that a change may lead to.
func stepRegister(state registerState, input registerInput, output registerOutput) []any {
	swapped := registerState{version: input.base + 1, id: input.id}
	switch {
	case output.outcome == "unsettled" && state.version == input.base:
		return []any{state, swapped}
	case output.outcome == "unsettled", output.outcome == "conflict" && state.version != input.base:
		return []any{state}
	case output.outcome == "accept" && state.version == input.base:
		return []any{swapped}
	}

	return nil
}

// client is one planner with a change in progress.
type client struct {
	input     registerInput
	writer    *table.Writer
	startedAt int64
}

// registerRun simulates concurrent planners on a table that loses replies and
// receives writes late.
type registerRun struct {
	table      *standin.Table
	ids        []string
	lateWrites []schema.Transaction
	history    []porcupine.Operation
	clock      int64
	random     *rand.Rand
}

// commit writes the row if its version is still the expected one.
func (r *registerRun) commit(transaction schema.Transaction) schema.TransactionResult {
	result := r.table.Commit(transaction)
	if result.Committed {
		r.ids = append(r.ids, transaction.Rows[0].ChangeID)
	}

	return result
}

// begin reads the row and starts a change on top of it.
func (r *registerRun) begin(id string) (*client, table.Action) {
	base := r.table.Read(table.KeyConfiguration).Version
	transaction := schema.Transaction{Rows: []schema.Row{{
		Key: table.KeyConfiguration, Version: base, ChangeID: id, Value: value(append(slices.Clone(r.ids), id)...),
	}}}
	writer, action := table.NewWriter(transaction)

	return &client{input: registerInput{base: base, id: id}, writer: writer, startedAt: r.clock}, action
}

// write sends a write. In faultPercent of the cases its reply is lost, or the
// write itself is lost or arrives late.
func (r *registerRun) write(c *client, transaction schema.Transaction, faultPercent int) table.Action {
	lost := table.Failed{Cause: &table.MalformedError{}}
	if r.random.IntN(100) >= faultPercent {
		return c.writer.Step(table.Replied{Result: r.commit(transaction)})
	}
	switch r.random.IntN(3) {
	case 0:
		r.commit(transaction)
	case 1:
		r.lateWrites = append(r.lateWrites, transaction)
	}

	return c.writer.Step(lost)
}

// end records the outcome of a change. An unsettled change has an open end,
// because it may still take effect.
func (r *registerRun) end(i int, c *client, outcome string) {
	returned := r.clock
	if outcome == "unsettled" {
		returned = int64(1) << 40
	}
	r.history = append(r.history, porcupine.Operation{
		ClientId: i, Input: c.input, Call: c.startedAt, Output: registerOutput{outcome: outcome}, Return: returned,
	})
}

func TestConfigurationIsARegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)) //nolint:gosec // a test's seed
		run := registerRun{table: standin.NewTable(0), random: random}
		faultPercent := rapid.IntRange(0, 80).Draw(t, "fault percent")
		planners := rapid.IntRange(2, 5).Draw(t, "planners")
		clients, actions := make([]*client, planners), make([]table.Action, planners)
		for step := range 120 {
			run.clock++
			if len(run.lateWrites) > 0 && run.random.IntN(4) == 0 {
				run.commit(run.lateWrites[0])
				run.lateWrites = run.lateWrites[1:]
			}
			i := run.random.IntN(planners)
			if clients[i] == nil {
				clients[i], actions[i] = run.begin(strconv.Itoa(step))

				continue
			}
			switch action := actions[i].(type) {
			case table.Write:
				actions[i] = run.write(clients[i], action.Transaction, faultPercent)
			case table.Accept:
				run.end(i, clients[i], "accept")
				clients[i] = nil
			case table.Reject:
				run.end(i, clients[i], changeOutcome(action))
				clients[i] = nil
			}
		}
		for i, c := range clients {
			if c != nil {
				run.end(i, c, "unsettled")
			}
		}
		result := porcupine.CheckOperationsTimeout(registerModel.ToModel(), run.history, 10*time.Second)
		assert.Equal(t, result, porcupine.Ok, "%v", run.history)
	})
}
