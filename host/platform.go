package host

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/platform"
)

// runPlatform reads the configuration and the list of hosts at an interval.
func (h *Host) runPlatform(ctx context.Context) error {
	ticker := time.NewTicker(h.Settings.PlatformInterval)
	defer ticker.Stop()
	for {
		if err := h.readPlatform(ctx); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readPlatform reads once. A platform that does not answer is logged and costs
// nothing else.
func (h *Host) readPlatform(ctx context.Context) error {
	list, err := h.platform.Hosts()
	if err != nil {
		h.Log.WithField("event", "platform_unavailable").Warn(err)

		return nil
	}
	if err := h.peers.Put(ctx, peerEvent{peer.ListRead{List: list}}); err != nil {
		return err
	}
	row, err := h.platform.Read(platform.KeyConfiguration)
	if err != nil {
		h.Log.WithField("event", "platform_unavailable").Warn(err)

		return nil
	}
	configuration, err := platform.Decode(row)
	if err != nil {
		h.Log.WithField("event", "configuration_invalid").Error(err)

		return nil
	}
	if configuration.Version == 0 {
		return nil
	}

	return h.configurations.Put(ctx, configurationRead{configuration: configuration, source: "platform"})
}
