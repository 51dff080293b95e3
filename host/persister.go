package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
)

const (
	// persistInterval is the time between looks for overrides that are not kept.
	persistInterval = time.Second
	// maxPersistAttempts bounds how often a data centre's change is applied again after
	// a conflict.
	maxPersistAttempts = 8
	// persistDelay is the mean time for which hosts leave the keeping of an
	// override to the host that took it from the operator.
	persistDelay = 4 * time.Second
)

// persister keeps changes in the platform's table.
type persister struct {
	host    *Host
	circuit *table.Circuit
	random  *rand.Rand
	retryAt map[string]time.Time
}

// runPersister keeps operators' changes and retries overrides that are not kept.
func (h *Host) runPersister(ctx context.Context) error {
	k := &persister{
		host:    h,
		circuit: table.NewCircuit(h.seed + 1),
		random:  rand.New(rand.NewPCG(h.seed, 2)), //nolint:gosec // the spreading of retries is no secret
		retryAt: map[string]time.Time{},
	}
	ticker := time.NewTicker(persistInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case request := <-h.persistRequests.Items():
			err = k.handle(ctx, request)
		case now := <-ticker.C:
			err = k.retry(ctx, now)
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// handle keeps a change and replies. A data centre's change that cannot be kept
// yet stays in force and is retried.
func (k *persister) handle(ctx context.Context, request persistRequest) error {
	_, override := request.change.(operator.SetDataCentre)
	inForce := schema.ChangeResult{State: stateInForce, ChangeID: request.id}
	lost := func() {
		// The operator does not wait for the writes that follow a lost reply.
		if override && request.reply != nil {
			k.host.replyChange(request.reply, inForce, nil)
			request.reply = nil
		}
	}
	result, failure := k.persist(ctx, request.change, request.id, lost)
	if failure != nil && override && retryable(failure) {
		k.retryAt[request.id] = time.Now()
		result, failure = inForce, nil
	}
	k.host.replyChange(request.reply, result, failure)

	return ctx.Err()
}

// retryable reports whether a failure leaves hope that a retry succeeds.
func retryable(failure error) bool {
	var unknown *operator.UnknownDataCentreError

	return !errors.As(failure, &unknown)
}

// retry keeps the overrides that are due.
func (k *persister) retry(ctx context.Context, now time.Time) error {
	overrides := k.host.inForce(ctx).Overrides
	due := map[string]time.Time{}
	for _, override := range overrides {
		at, known := k.retryAt[override.ChangeID]
		if !known {
			at = now.Add(persistDelay/2 + time.Duration(k.random.Int64N(int64(persistDelay))))
		}
		due[override.ChangeID] = at
		if now.Before(at) {
			continue
		}
		change := operator.SetDataCentre{Name: override.DataCentre, State: override.State}
		result, failure := k.persist(ctx, change, override.ChangeID, func() {})
		if failure == nil {
			k.host.replyChange(nil, result, nil)
		} else {
			k.host.Log.WithField("event", "override_not_kept").WithField("change_id", override.ChangeID).Debug(failure)
		}
	}
	k.retryAt = due

	return ctx.Err()
}

// persist applies a change to the configuration in the platform's table, and calls
// lost at each write whose reply is lost. A data centre's change is applied
// again after a conflict; a sheet is not.
func (k *persister) persist(ctx context.Context, change operator.Change, id string, lost func()) (schema.ChangeResult, error) {
	var failure error
	for range maxPersistAttempts {
		result, err := k.tryPersist(ctx, change, id, lost)
		var conflict *table.ConflictError
		_, sheet := change.(operator.ReplaceSheet)
		if sheet || !errors.As(err, &conflict) {
			return result, err
		}
		failure = err
	}

	return schema.ChangeResult{ChangeID: id}, failure
}

// tryPersist reads the configuration, applies the change and writes the result once.
func (k *persister) tryPersist(ctx context.Context, change operator.Change, id string, lost func()) (schema.ChangeResult, error) {
	failed := schema.ChangeResult{ChangeID: id}
	current, err := k.read()
	if err != nil {
		return failed, err
	}
	register := k.host.inForce(ctx)
	if ctx.Err() != nil {
		return failed, ctx.Err()
	}
	if current.Version < register.Configuration.Version {
		return failed, &operator.RegressedError{Found: current.Version, InForce: register.Configuration.Version}
	}
	applied, err := operator.Apply(current, change, id, register.Overrides)
	if err != nil {
		return failed, err
	}
	result := schema.ChangeResult{State: stateUnchanged, Version: current.Version, ChangeID: current.ChangeID}
	if applied.Changed {
		version, err := k.write(applied.Configuration, current.Version, lost)
		if err != nil {
			return failed, err
		}
		result = schema.ChangeResult{State: stateAccepted, Version: version, ChangeID: id}
		if version != current.Version+1 {
			return result, nil
		}
		applied.Configuration.Version = version
	}
	if applied.Configuration.Version == 0 {
		return result, nil
	}
	read := operator.ConfigurationRead{Configuration: applied.Configuration, Source: "operator"}

	return result, k.host.configurations.Put(ctx, configurationEvent{read})
}

// read reads the configuration from the platform's table.
func (k *persister) read() (schema.Configuration, error) {
	if !k.circuit.Allow(time.Now()) {
		return schema.Configuration{}, &table.UnavailableError{}
	}
	row, err := k.host.platform.Read(table.KeyConfiguration)
	if err != nil {
		k.circuit.Failed(time.Now())

		return schema.Configuration{}, &table.UnavailableError{Cause: err}
	}
	k.circuit.Succeeded()

	return table.Decode(row)
}

// write writes the configuration and returns the version that holds it.
func (k *persister) write(next schema.Configuration, base int, lost func()) (int, error) {
	transaction, err := table.Encode(next, base)
	if err != nil {
		return 0, err
	}
	writer, action := table.NewWriter(transaction)
	for {
		switch wanted := action.(type) {
		case table.Write:
			result, err := k.host.platform.Write(wanted.Transaction)
			if err != nil {
				lost()
				action = writer.Step(table.Failed{Cause: err})
			} else {
				action = writer.Step(table.Replied{Result: result})
			}
		case table.Accept:
			return wanted.Version, nil
		case table.Reject:
			return 0, wanted.Err
		}
	}
}
