package edge

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/rollout"
)

// settingsInterval is the time between reads of the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// runSettings reads the settings file at intervals and on a signal, and applies
// changes.
func (h *Host) runSettings(ctx context.Context, reload <-chan os.Signal) error {
	inForce := h.Site
	timer := time.NewTimer(settingsInterval)
	defer timer.Stop()
	for {
		signalled := false
		select {
		case <-reload:
			signalled = true
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		timer.Reset(settingsInterval)
		site, err := h.Adapter.ReadSite()
		if err != nil {
			h.Log.Event(eventlog.Error, "settings_rejected", "settings file not usable; keeping the settings in force", eventlog.Text("error", err.Error()))

			continue
		}
		if !signalled && reflect.DeepEqual(site, inForce) {
			continue
		}
		if err := h.adopt(ctx, inForce, site); err != nil {
			return err
		}
		inForce = site
	}
}

// adopt applies the settings that can change while the host runs and logs
// whether the others need a restart.
func (h *Host) adopt(ctx context.Context, before, site Site) error {
	h.grace.Store(int64(site.Grace))
	h.Log.Event(eventlog.Info, "settings_reloaded", "settings file applied",
		eventlog.Duration("grace", site.Grace), eventlog.Number("retry_ratio", site.Budget.Ratio),
		eventlog.Number("retry_slack", site.Budget.Slack), eventlog.Integer("seeds", len(site.Seeds)),
		eventlog.Flag("restart_needed", fixedSettingsOf(before) != fixedSettingsOf(site)))
	if err := h.control.Put(ctx, MembersRead{Addresses: site.Seeds}); err != nil {
		return err
	}

	return h.inputs.Put(ctx, PlacementEvent{Event: placement.BudgetChanged{Budget: site.Budget}})
}

// fixedSettings are the settings that need a restart to change.
type fixedSettings struct {
	name, dataCentre, caller, ready, directory, control, peer string
	capacity                                                  int
	rollout                                                   rollout.Limits
	tolerance                                                 allotment.Tolerance
	failClosed                                                bool
}

// fixedSettingsOf returns the fixed settings of a site.
func fixedSettingsOf(site Site) fixedSettings {
	return fixedSettings{
		name: site.Name, dataCentre: site.DataCentre, caller: site.CallerAddress, ready: site.ReadyAddress,
		directory: site.DirectoryAddress, control: site.ControlAddress, peer: site.PeerAddress, capacity: site.Capacity,
		rollout:    site.Rollout,
		tolerance:  site.Tolerance,
		failClosed: site.FailClosed,
	}
}
