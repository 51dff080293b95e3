package host

import (
	"context"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/operatorhttp"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// States of an operator's change, as the operator API returns them.
const (
	stateAccepted  = "accepted"
	stateUnchanged = "unchanged"
	stateInForce   = "in_force_not_yet_kept"
)

// persistRequest asks the persister duty to store a change in the platform's
// table.
type persistRequest struct {
	change operator.Change
	id     string
	reply  *ring.Ring[operatorhttp.ChangeReply]
}

// runOperator handles operators' changes. An override of a data centre takes
// effect at once; the persister duty stores changes in the platform's table.
func (h *Host) runOperator(ctx context.Context) error {
	for {
		request, err := h.changes.Take(ctx)
		if err != nil {
			return err
		}
		var failure error
		switch change := request.Change.(type) {
		case operator.SetDataCentre:
			failure = h.override(ctx, change, request.Reply)
		case operator.ReplaceSheet:
			at := operator.ChangeTime(time.Now(), h.queryConfigurationState(ctx).Configuration, nil)
			failure = h.persistRequests.Offer(persistRequest{change: change, id: changeID(at), reply: request.Reply})
		}
		if failure != nil {
			h.replyChange(request.Reply, schema.ChangeResult{}, failure)
		}
	}
}

// override puts a change of a data centre in force and requests that it be
// stored. If other changes wait for the persister duty, the operator gets a reply
// at once and a later retry stores the override.
func (h *Host) override(ctx context.Context, change operator.SetDataCentre, reply *ring.Ring[operatorhttp.ChangeReply]) error {
	state, now := h.queryConfigurationState(ctx), time.Now()
	declared := func(d schema.DataCentre) bool { return d.Name == change.Name }
	if !slices.ContainsFunc(state.Configuration.DataCentres, declared) {
		return &operator.UnknownDataCentreError{Name: change.Name}
	}
	if err := operator.CheckCollision(now, state.Configuration, state.Overrides, change); err != nil {
		return err
	}
	override := schema.Override{
		DataCentre:  change.Name,
		State:       change.State,
		ChangeID:    changeID(operator.ChangeTime(now, state.Configuration, state.Overrides)),
		BaseVersion: state.Configuration.Version,
	}
	event := operator.OverridesReceived{Overrides: []schema.Override{override}}
	if err := h.configurations.Put(ctx, configurationEvent{event}); err != nil {
		return err
	}
	request := persistRequest{change: change, id: override.ChangeID, reply: reply}
	if h.persistRequests.Depth() > 0 || h.persistRequests.Offer(request) != nil {
		h.replyChange(reply, schema.ChangeResult{State: stateInForce, ChangeID: override.ChangeID}, nil)
	}

	return nil
}

// replyChange logs the result of a change and replies to the operator.
func (h *Host) replyChange(reply *ring.Ring[operatorhttp.ChangeReply], result schema.ChangeResult, failure error) {
	level, message := eventlog.Info, "processed a configuration change"
	if failure != nil {
		level, message = eventlog.Warning, failure.Error()
	}
	h.Log.Event(level, "change", message,
		eventlog.Text("state", result.State), eventlog.Integer("version", result.Version), eventlog.Text("change_id", result.ChangeID))
	if reply != nil {
		_ = reply.Offer(operatorhttp.ChangeReply{Result: result, Err: failure}) // the ring has room by contract
	}
}

// changeID returns a new change id, a ULID with the given time.
func changeID(at time.Time) string {
	return ulid.MustNewDefault(at).String()
}
