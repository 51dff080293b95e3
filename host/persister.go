package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
)

const (
	// persistInterval is the time between checks for overrides that are not stored.
	persistInterval = time.Second
	// maxPersistAttempts is the largest number of attempts to store an override
	// when other changes conflict with it.
	maxPersistAttempts = 8
	// persistDelay is the mean time that other hosts wait before they store an
	// override, so that the host that received it from the operator stores it
	// first.
	persistDelay = 4 * time.Second
)

// persister stores changes in the platform's table.
type persister struct {
	host    *Host
	circuit *table.Circuit
	random  *rand.Rand
	retryAt map[string]time.Time
}

// runPersister stores operators' changes and retries overrides that are not
// stored yet.
func (h *Host) runPersister(ctx context.Context) error {
	p := &persister{
		host:    h,
		circuit: table.NewCircuit(h.seed + 1),
		random:  rand.New(rand.NewPCG(h.seed, 2)), //nolint:gosec // retry jitter is no secret
		retryAt: map[string]time.Time{},
	}
	ticker := time.NewTicker(persistInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case request := <-h.persistRequests.Items():
			err = p.handle(ctx, request)
		case now := <-ticker.C:
			err = p.retry(ctx, now)
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// handle stores a change and replies. An override that cannot be stored yet
// stays in force and is retried.
func (p *persister) handle(ctx context.Context, request persistRequest) error {
	_, isOverride := request.change.(operator.SetDataCentre)
	inForce := schema.ChangeResult{State: stateInForce, ChangeID: request.id}
	onLostReply := func() {
		// Reply now: the operator does not wait for the writes that follow a lost
		// reply.
		if isOverride && request.reply != nil {
			p.host.replyChange(request.reply, inForce, nil)
			request.reply = nil
		}
	}
	result, failure := p.persist(ctx, request.change, request.id, onLostReply)
	if failure != nil && isOverride && retryable(failure) {
		p.retryAt[request.id] = time.Now()
		result, failure = inForce, nil
	}
	p.host.replyChange(request.reply, result, failure)

	return ctx.Err()
}

// retryable reports whether a retry may succeed after a failure.
func retryable(failure error) bool {
	var unknown *operator.UnknownDataCentreError

	return !errors.As(failure, &unknown)
}

// retry stores the overrides whose retry is due. It schedules each new override
// with a random delay around persistDelay.
func (p *persister) retry(ctx context.Context, now time.Time) error {
	overrides := p.host.queryConfigurationState(ctx).Overrides
	due := map[string]time.Time{}
	for _, override := range overrides {
		at, scheduled := p.retryAt[override.ChangeID]
		if !scheduled {
			at = now.Add(persistDelay/2 + time.Duration(p.random.Int64N(int64(persistDelay))))
		}
		due[override.ChangeID] = at
		if now.Before(at) {
			continue
		}
		change := operator.SetDataCentre{Name: override.DataCentre, State: override.State}
		result, failure := p.persist(ctx, change, override.ChangeID, func() {})
		if failure == nil {
			p.host.replyChange(nil, result, nil)
		} else {
			p.host.Log.Event(eventlog.Debug, "override_not_kept", failure.Error(), eventlog.Text("change_id", override.ChangeID))
		}
	}
	p.retryAt = due

	return ctx.Err()
}

// persist applies a change to the configuration in the platform's table, and
// calls onLostReply for each write whose reply is lost. After a conflict an
// override is applied again; a sheet is not.
func (p *persister) persist(ctx context.Context, change operator.Change, id string, onLostReply func()) (schema.ChangeResult, error) {
	var failure error
	for range maxPersistAttempts {
		result, err := p.tryPersist(ctx, change, id, onLostReply)
		var conflict *table.ConflictError
		_, isSheet := change.(operator.ReplaceSheet)
		if isSheet || !errors.As(err, &conflict) {
			return result, err
		}
		failure = err
	}

	return schema.ChangeResult{ChangeID: id}, failure
}

// tryPersist makes one attempt: it reads the configuration, applies the change
// and writes the result.
func (p *persister) tryPersist(ctx context.Context, change operator.Change, id string, onLostReply func()) (schema.ChangeResult, error) {
	failedResult := schema.ChangeResult{ChangeID: id}
	current, err := p.read()
	if err != nil {
		return failedResult, err
	}
	state := p.host.queryConfigurationState(ctx)
	if ctx.Err() != nil {
		return failedResult, ctx.Err()
	}
	if current.Version < state.Configuration.Version {
		return failedResult, &operator.RegressedError{Found: current.Version, InForce: state.Configuration.Version}
	}
	applied, err := operator.Apply(current, change, id, state.Overrides)
	if err != nil {
		return failedResult, err
	}
	result := schema.ChangeResult{State: stateUnchanged, Version: current.Version, ChangeID: current.ChangeID}
	if applied.Changed {
		version, err := p.write(applied.Configuration, current.Version, onLostReply)
		if err != nil {
			return failedResult, err
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

	return result, p.host.configurations.Put(ctx, configurationEvent{read})
}

// read reads the configuration from the platform's table.
func (p *persister) read() (schema.Configuration, error) {
	if !p.circuit.Allow(time.Now()) {
		return schema.Configuration{}, &table.UnavailableError{}
	}
	row, err := p.host.platform.Read(table.KeyConfiguration)
	if err != nil {
		p.circuit.Failed(time.Now())

		return schema.Configuration{}, &table.UnavailableError{Cause: err}
	}
	p.circuit.Succeeded()

	return table.Decode(row)
}

// write writes the configuration and returns the version that contains it.
func (p *persister) write(next schema.Configuration, base int, onLostReply func()) (int, error) {
	transaction, err := table.Encode(next, base)
	if err != nil {
		return 0, err
	}
	writer, action := table.NewWriter(transaction)
	for {
		switch requested := action.(type) {
		case table.Write:
			result, err := p.host.platform.Write(requested.Transaction)
			if err != nil {
				onLostReply()
				action = writer.Step(table.Failed{Cause: err})
			} else {
				action = writer.Step(table.Replied{Result: result})
			}
		case table.Accept:
			return requested.Version, nil
		case table.Reject:
			return 0, requested.Err
		}
	}
}
