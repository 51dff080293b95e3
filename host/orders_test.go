package host_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/iter"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/host"
	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
	"github.com/baobabdrum/baobabdrum/table"
	"github.com/baobabdrum/baobabdrum/tablehttp"
)

const (
	orderCount     = 120
	serversPerCell = 2
	testService    = "orders"
	requestLimit   = 2 * time.Second
)

// nextPort numbers the ports that freeAddress tries.
var nextPort atomic.Int32

// freeAddress returns a loopback address that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 900 {
		address := fmt.Sprintf("127.0.0.1:%d", 21000+nextPort.Add(1))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			assert.NilError(t, listener.Close())

			return address
		}
	}
	t.Fatal("no port is free")

	return ""
}

// deployment runs three hosts, their backend servers and a platform in this
// process.
type deployment struct {
	platform        string
	platformControl string
	callerAddresses []string
	serverAddresses []string
	serverControls  []string
	stops           []context.CancelFunc
	hosts           []*conc.WaitGroup
	settings        []schema.HostSettings
	running         conc.WaitGroup
}

// deploy starts the stand-ins and the hosts and waits until every host lists all
// three.
func deploy(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{platform: freeAddress(t), platformControl: freeAddress(t)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		d.stop()
		cancel()
		d.running.Wait()
	})
	d.running.Go(func() {
		_ = standin.RunPlatform(ctx, schema.PlatformSettings{Address: d.platform, ControlAddress: d.platformControl})
	})
	for i, dataCentre := range []string{"north", "centre", "south"} {
		for range serversPerCell {
			d.addServer(ctx, t)
		}
		d.settings = append(d.settings, schema.HostSettings{
			Name: "host-" + dataCentre, DataCentre: dataCentre,
			CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), OperatorAddress: freeAddress(t),
			PlatformAddress: d.platform, ConfiguredHosts: 3, CallTimeout: requestLimit, AnswerKeep: 100 * time.Millisecond,
			OrderLifetime: time.Minute, OrderCapacity: 10000, Senders: 32, DispatchRing: 1024, QueueLength: 128,
			BodyLimit: 1 << 20, DigestInterval: 20 * time.Millisecond, PlatformInterval: 50 * time.Millisecond,
		})
		d.callerAddresses = append(d.callerAddresses, d.settings[i].CallerAddress)
		d.stops = append(d.stops, nil)
		d.hosts = append(d.hosts, &conc.WaitGroup{})
	}
	d.declare(t)
	for i := range d.settings {
		d.start(t, i)
	}
	for _, address := range d.callerAddresses {
		eventually(t, func() bool {
			answer, err := jsonhttp.Get[schema.AskAnswer](jsonhttp.NewClient(address, "", requestLimit), "/ask/"+testService)

			return err == nil && len(answer.Addresses) == 3
		})
	}

	return d
}

func (d *deployment) addServer(ctx context.Context, t *testing.T) {
	t.Helper()
	settings := schema.BackendSettings{
		Address: freeAddress(t), ControlAddress: freeAddress(t), Slots: 4, ServiceTime: 2 * time.Millisecond,
		ShiftInterval: time.Second, Connections: 240, Seed: 1 + len(d.serverAddresses),
	}
	d.serverAddresses = append(d.serverAddresses, settings.Address)
	d.serverControls = append(d.serverControls, settings.ControlAddress)
	d.running.Go(func() { _ = standin.RunBackend(ctx, settings) })
}

// declare writes the configuration and the list of hosts to the platform.
func (d *deployment) declare(t *testing.T) {
	t.Helper()
	configuration := schema.Configuration{ChangeID: "test", Services: []schema.Service{{Name: testService}}}
	list := schema.HostList{}
	for i, settings := range d.settings {
		configuration.DataCentres = append(configuration.DataCentres, schema.DataCentre{
			Name: settings.DataCentre, State: schema.DataCentreStateIn,
		})
		for _, server := range d.serverAddresses[serversPerCell*i : serversPerCell*(i+1)] {
			configuration.BackendServers = append(configuration.BackendServers, schema.BackendServer{
				Service: testService, DataCentre: settings.DataCentre, Address: server, Slots: 4, Connections: 240,
			})
		}
		list.Hosts = append(list.Hosts, schema.ListedHost{
			Name: settings.Name, PeerAddress: settings.PeerAddress, State: schema.HostStateLive,
		})
	}
	transaction, err := table.Encode(configuration, 0)
	assert.NilError(t, err)
	eventually(t, func() bool {
		_, err := tablehttp.New(d.platform, requestLimit).Write(transaction)

		return err == nil && inject(d.platformControl, "/hosts", list)
	})
}

// start runs a host until its stop function is called.
func (d *deployment) start(t *testing.T, at int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d.stops[at] = cancel
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	started := host.New(d.settings[at], eventlog.New(logrus.NewEntry(logger)))
	d.hosts[at].Go(func() {
		if err := started.Run(ctx); err != nil {
			t.Errorf("host %d: %v", at, err)
		}
	})
}

// restart replaces a host by a new incarnation.
func (d *deployment) restart(t *testing.T, at int) {
	t.Helper()
	d.stops[at]()
	d.hosts[at].Wait()
	d.start(t, at)
}

func (d *deployment) stop() {
	for _, stop := range d.stops {
		if stop != nil {
			stop()
		}
	}
	for _, running := range d.hosts {
		running.Wait()
	}
}

// runs returns how often each order ran, from the backend servers' run records.
func (d *deployment) runs(t *testing.T) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for _, control := range d.serverControls {
		record, err := jsonhttp.Get[schema.RunRecord](jsonhttp.NewClient(control, "", requestLimit), "/runs")
		assert.NilError(t, err)
		for _, run := range record.Orders {
			counts[run.Order]++
		}
	}

	return counts
}

// inject posts a message to a stand-in's control address.
func inject(control, path string, message any) bool {
	body, err := json.Marshal(message)
	if err != nil {
		return false
	}
	_, err = jsonhttp.NewClient(control, "", requestLimit).Exchange(http.MethodPost, path, body)

	return err == nil
}

// eventually waits up to 10 s for the condition to hold.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the condition did not hold within 10 s")
}

// orderInput is a request for an order, or a read of its run record.
type orderInput struct {
	order        string
	attempt      int
	readsRecords bool
}

// orderOutput is the outcome of a request, or the number of runs on record.
type orderOutput struct {
	outcome string
	reason  string
	runs    int
}

// orderObject is the state of an at-most-once object: whether the order ran, and
// the highest attempt whose outcome was not_run.
type orderObject struct {
	hasRun  bool
	refused int
}

// orderModel is the sequential specification of an order for porcupine.
var orderModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{orderObject{refused: -1}} },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byOrder := map[string][]porcupine.Operation{}
		for _, operation := range history {
			order := operation.Input.(orderInput).order
			byOrder[order] = append(byOrder[order], operation)
		}
		parts := make([][]porcupine.Operation, 0, len(byOrder))
		for _, part := range byOrder {
			parts = append(parts, part)
		}

		return parts
	},
	Step: func(state, input, output any) []any {
		return stepOrder(state.(orderObject), input.(orderInput), output.(orderOutput))
	},
}).ToModel()

// stepOrder returns the possible states after an operation, or none if the
// output contradicts the state.
func stepOrder(state orderObject, input orderInput, output orderOutput) []any {
	if input.readsRecords {
		if output.runs > 1 || (output.runs == 1) != state.hasRun {
			return nil
		}

		return []any{state}
	}
	after := state
	after.hasRun = state.hasRun || input.attempt > state.refused
	switch output.outcome {
	case backendhttp.OutcomeAnswered:
		if !after.hasRun {
			return nil
		}

		return []any{after}
	case backendhttp.OutcomeNotRun:
		if state.hasRun {
			return nil
		}
		state.refused = max(state.refused, input.attempt)

		return []any{state}
	default:
		return []any{state, after}
	}
}

// orderClient places one order with concurrent or sequential requests.
type orderClient struct {
	deployment *deployment
	order      string
	random     *rand.Rand
	id         string
	history    []porcupine.Operation
}

func newOrderClient(d *deployment, at int) *orderClient {
	random := rand.New(rand.NewPCG(uint64(at), 9)) //nolint:gosec // the choice of hosts is no secret

	return &orderClient{deployment: d, order: fmt.Sprintf("order-%d", at), random: random}
}

// place sends requests for the order until it is answered or the client gives up.
func (c *orderClient) place() {
	switch c.random.IntN(4) {
	case 0:
		c.sendInSequence(0)
	case 1:
		if c.ask() {
			c.sendInSequence(0)
		}
	case 2:
		c.sendConcurrently()
	default:
		if c.ask() {
			c.sendConcurrently()
		}
	}
}

// ask requests an order id. Without an id, the client uses an order number.
func (c *orderClient) ask() bool {
	answer, err := jsonhttp.Get[schema.AskAnswer](c.client(), "/ask/"+testService)
	c.id = answer.OrderID

	return err == nil
}

// sendInSequence sends one request at a time with its attempt number.
func (c *orderClient) sendInSequence(first int) {
	for attempt := first; attempt < first+4; attempt++ {
		operation := c.send(c.client(), attempt, true)
		c.history = append(c.history, operation)
		if operation.Output.(orderOutput).outcome == backendhttp.OutcomeAnswered {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sendConcurrently sends three requests at once and then up to four in sequence.
func (c *orderClient) sendConcurrently() {
	clients := []*jsonhttp.Client{c.client(), c.client(), c.client()}
	c.history = append(c.history, iter.Map(clients, func(client **jsonhttp.Client) porcupine.Operation {
		return c.send(*client, 0, false)
	})...)
	c.sendInSequence(3)
}

// client returns a client of a random host.
func (c *orderClient) client() *jsonhttp.Client {
	callers := c.deployment.callerAddresses

	return jsonhttp.NewClient(callers[c.random.IntN(len(callers))], "", requestLimit)
}

// send sends one request and returns it with its outcome as an operation.
func (c *orderClient) send(client *jsonhttp.Client, attempt int, withAttempt bool) porcupine.Operation {
	headers := []jsonhttp.Header{{Name: standin.HeaderOrder, Value: c.order}, {Name: backendhttp.HeaderDeadline, Value: "1000"}}
	if withAttempt {
		headers = append(headers, jsonhttp.Header{Name: backendhttp.HeaderOrderAttempt, Value: strconv.Itoa(attempt)})
	}
	if c.id == "" {
		headers = append(headers, jsonhttp.Header{Name: backendhttp.HeaderOrderNumber, Value: "number " + c.order})
	} else {
		headers = append(headers, jsonhttp.Header{Name: backendhttp.HeaderOrderID, Value: c.id})
	}
	operation := porcupine.Operation{Input: orderInput{order: c.order, attempt: attempt}, Call: time.Now().UnixNano()}
	_, err := client.Exchange(http.MethodPost, "/order/"+testService+"/place", []byte(c.order), headers...)
	operation.Output, operation.Return = outcomeOf(err), time.Now().UnixNano()

	return operation
}

// outcomeOf returns the outcome that a response states.
func outcomeOf(err error) orderOutput {
	var status *jsonhttp.StatusError
	var failure schema.Failure
	switch {
	case err == nil:
		return orderOutput{outcome: backendhttp.OutcomeAnswered}
	case errors.As(err, &status) && json.Unmarshal(status.Body, &failure) == nil && failure.Outcome != "":
		return orderOutput{outcome: failure.Outcome, reason: failure.Reason}
	default:
		return orderOutput{outcome: backendhttp.OutcomeUnknown, reason: "transport"}
	}
}

// injectFaults injects faults into backend servers and the platform until the
// context ends.
func (d *deployment) injectFaults(ctx context.Context, random *rand.Rand) {
	kinds := []string{"cut", "shed", "cut", "late"}
	for at := 0; ctx.Err() == nil; at++ {
		fault := schema.BackendFault{Kind: kinds[at%len(kinds)], ForMs: 200, Value: 1200}
		for server, control := range d.serverControls {
			if fault.Kind == "shed" || server%len(kinds) == at%len(kinds) {
				inject(control, "/fault", fault)
			}
		}
		inject(d.platformControl, "/fault", schema.PlatformFault{
			Kind: []string{"outage", "lost_reply", "slow"}[random.IntN(3)], ForMs: 100 * (random.IntN(10) / 9), DelayMs: 350,
		})
		time.Sleep(150 * time.Millisecond)
	}
}

func TestOrdersRunAtMostOnce(t *testing.T) {
	d := deploy(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var faults conc.WaitGroup
	restarts := 0
	faults.Go(func() { d.injectFaults(ctx, rand.New(rand.NewPCG(5, 5))) }) //nolint:gosec // the choice of faults is no secret
	faults.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(300 * time.Millisecond)
			d.restart(t, restarts%3)
			restarts++
		}
	})
	clients := make([]*orderClient, orderCount)
	for i := range clients {
		clients[i] = newOrderClient(d, i)
	}
	iter.Iterator[*orderClient]{MaxGoroutines: 12}.ForEach(clients, func(c **orderClient) { (*c).place() })
	cancel()
	faults.Wait()
	time.Sleep(requestLimit) // no order starts to run after its deadline

	history := d.history(t, clients)
	t.Logf("%d restarts", restarts)
	result, info := porcupine.CheckOperationsVerbose(orderModel, history, 30*time.Second)
	if result != porcupine.Ok {
		t.Logf("%+v", info.PartialLinearizationsOperations())
		for _, operation := range history {
			t.Logf("%+v", operation)
		}
	}
	assert.Equal(t, result, porcupine.Ok)
}

// history joins the clients' histories with the run records of the backend
// servers. A request with an unknown outcome may take effect until these records
// are read.
func (d *deployment) history(t *testing.T, clients []*orderClient) []porcupine.Operation {
	t.Helper()
	var history []porcupine.Operation
	counts := map[orderOutput]int{}
	runs, readAt := d.runs(t), time.Now().UnixNano()
	for i, client := range clients {
		for _, operation := range client.history {
			output := operation.Output.(orderOutput)
			counts[output]++
			if output.outcome == backendhttp.OutcomeUnknown {
				operation.Return = readAt - 1
			}
			operation.ClientId = i
			history = append(history, operation)
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: orderInput{order: client.order, readsRecords: true},
			Output: orderOutput{runs: runs[client.order]}, Call: readAt, Return: readAt + 1,
		})
	}
	t.Logf("outcomes: %+v", counts)
	assert.Assert(t, counts[orderOutput{outcome: backendhttp.OutcomeAnswered}] >= orderCount/4)
	assert.Assert(t, len(counts) > 3)

	return history
}
