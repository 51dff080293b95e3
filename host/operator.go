package host

import (
	"context"

	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"

	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/operatorhttp"
	"github.com/baobabdrum/baobabdrum/platform"
	"github.com/baobabdrum/baobabdrum/schema"
)

// The states of an operator's change.
const (
	stateAccepted  = "accepted"
	stateUnchanged = "unchanged"
)

// runOperator carries out operators' changes one at a time.
func (h *Host) runOperator(ctx context.Context) error {
	for {
		request, err := h.changes.Take(ctx)
		if err != nil {
			return err
		}
		result, failure := h.change(ctx, request.Change)
		fields := logrus.Fields{"event": "change", "state": result.State, "version": result.Version, "change_id": result.ChangeID}
		if failure != nil {
			h.Log.WithFields(fields).Warn(failure)
		} else {
			h.Log.WithFields(fields).Info("an operator changed the configuration")
		}
		_ = request.Reply.Offer(operatorhttp.ChangeReply{Result: result, Err: failure}) // it has room by contract
	}
}

// change applies a change to the platform's configuration and keeps it there.
func (h *Host) change(ctx context.Context, change operator.Change) (schema.ChangeResult, error) {
	row, err := h.platform.Read(platform.KeyConfiguration)
	if err != nil {
		return schema.ChangeResult{}, err
	}
	current, err := platform.Decode(row)
	if err != nil {
		return schema.ChangeResult{}, err
	}
	next, changed, err := operator.Apply(current, change)
	if err != nil {
		return schema.ChangeResult{}, err
	}
	if !changed {
		return schema.ChangeResult{State: stateUnchanged, Version: current.Version, ChangeID: current.ChangeID}, nil
	}
	next.ChangeID = ulid.Make().String()
	version, err := h.keep(next, current.Version)
	if err != nil {
		return schema.ChangeResult{ChangeID: next.ChangeID}, err
	}
	next.Version = version
	result := schema.ChangeResult{State: stateAccepted, Version: version, ChangeID: next.ChangeID}

	return result, h.configurations.Put(ctx, configurationRead{configuration: next, source: "operator"})
}

// keep writes the configuration and returns the version that holds it.
func (h *Host) keep(next schema.Configuration, base int) (int, error) {
	transaction, err := platform.Encode(next, base)
	if err != nil {
		return 0, err
	}
	writer, action := platform.NewWriter(transaction)
	for {
		switch wanted := action.(type) {
		case platform.Write:
			result, err := h.platform.Write(wanted.Transaction)
			if err != nil {
				action = writer.Step(platform.Failed{Cause: err})
			} else {
				action = writer.Step(platform.Replied{Result: result})
			}
		case platform.Accept:
			return wanted.Version, nil
		case platform.Reject:
			return 0, wanted.Err
		}
	}
}
