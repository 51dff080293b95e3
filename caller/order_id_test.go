package caller_test

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	incarnationA = "01JEAAAAAAAAAAAAAAAAAAAAAA"
	incarnationB = "01JEBBBBBBBBBBBBBBBBBBBBBB"
	orderText    = incarnationA + "-01JEV5XQ8R9W3N4K5M6P7Q8R9S"
)

func TestParseOrderID(t *testing.T) {
	for name, test := range map[string]struct {
		raw     string
		problem string
	}{
		"valid":           {raw: orderText},
		"empty":           {raw: "", problem: "joined by a dash"},
		"lower case":      {raw: incarnationA + strings.ToLower(orderText[26:]), problem: "end with"},
		"no dash":         {raw: strings.ReplaceAll(orderText, "-", "0"), problem: "joined by a dash"},
		"invalid letter":  {raw: "U" + orderText[1:], problem: "start with"},
		"overflow":        {raw: incarnationA + "-81JEV5XQ8R9W3N4K5M6P7Q8R9S", problem: "end with"},
		"trailing text":   {raw: orderText + "0", problem: "joined by a dash"},
		"line break":      {raw: orderText[:52] + "\n", problem: "end with"},
		"second dash":     {raw: incarnationA + "--1JEV5XQ8R9W3N4K5M6P7Q8R9S", problem: "end with"},
		"no incarnation":  {raw: orderText[26:], problem: "joined by a dash"},
		"two byte letter": {raw: incarnationA + "-é1JEV5XQ8R9W3N4K5M6P7Q8R9", problem: "end with"},
	} {
		t.Run(name, func(t *testing.T) {
			id, err := caller.ParseOrderID(test.raw)
			if test.problem == "" {
				assert.NilError(t, err)
				assert.Equal(t, id.String(), test.raw)

				return
			}
			var invalid *schema.InvalidError
			assert.Assert(t, errors.As(err, &invalid))
			assert.Equal(t, invalid.Faults[0].Place, caller.PlaceOrderID)
			assert.Equal(t, invalid.Faults[0].Value, test.raw)
			assert.ErrorContains(t, err, test.problem)
		})
	}
}

func FuzzParseOrderID(f *testing.F) {
	for _, seed := range []string{"", orderText, orderText[:53], strings.ToLower(orderText), "-", "é-" + orderText} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		id, err := caller.ParseOrderID(raw)
		if err == nil {
			assert.Equal(t, id.String(), raw)
		}
	})
}

func TestNewOrderIDRoundTrip(t *testing.T) {
	issued := time.UnixMilli(1_765_000_000_123)
	id, err := caller.NewOrderID(incarnationA, issued, rand.NewChaCha8([32]byte{1}))
	assert.NilError(t, err)
	parsed, err := caller.ParseOrderID(id.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, id)
	assert.Assert(t, parsed.Time().Equal(issued))
}

func TestAskIssuesOrderIDForFirstHost(t *testing.T) {
	router := caller.NewRouter("a", time.Second)
	router.Random = rand.NewChaCha8([32]byte{1})
	router.Step(time.Now(), caller.ConfigurationChanged{Configuration: schema.Configuration{
		Version:        1,
		Services:       []schema.Service{{Name: "orders"}},
		DataCentres:    []schema.DataCentre{{Name: "north", State: schema.DataCentreStateIn}},
		BackendServers: []schema.BackendServer{{Service: "orders", DataCentre: "north", Slots: 4}},
	}})
	hosts := []schema.Host{
		{Name: "a", DataCentre: "centre", Incarnation: incarnationA, CallerAddress: "127.0.0.1:1"},
		{Name: "b", DataCentre: "north", Incarnation: incarnationB, CallerAddress: "127.0.0.1:2"},
	}
	router.Step(time.Now(), caller.HostsChanged{Hosts: hosts})
	answer, ok := router.Step(time.Now(), caller.Asked{Service: "orders"})[0].(caller.AnswerAsk)
	assert.Assert(t, ok)
	assert.Equal(t, answer.Answer.Addresses[0], "127.0.0.1:2")
	id, err := caller.ParseOrderID(answer.Answer.OrderID)
	assert.NilError(t, err)
	assert.Equal(t, id.Incarnation, incarnationB)
}
