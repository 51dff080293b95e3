package cmd

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/baobabdrum/baobabdrum/edge"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/platform"
	"github.com/baobabdrum/baobabdrum/schema"
)

const edgeHelp = `Runs an entry host on the users' platform until it is interrupted, which starts a planned stop.
The platform writes the settings file whose path is in the environment variable ` + platform.SettingsVariable + `.

Example:
  ` + platform.SettingsVariable + `=local.json baobabdrum edge --check`

// memoryLimitShare is the share of the memory of the process from which the
// collector works harder. The rest is for what it does not count, such as stacks of
// the C library.
const memoryLimitShare = 0.8

// Edge runs an entry host on the users' platform.
type Edge struct {
	schema.EdgeFlags
	CheckOnly bool `long:"check" description:"check the settings and exit"`

	output Output
}

// Execute validates all settings and runs the host until it stops.
func (c *Edge) Execute([]string) error {
	settings, faults := c.Check()
	path := os.Getenv(platform.SettingsVariable)
	site, store, err := platform.ReadSite(path)
	if err != nil {
		faults = append(faults, schema.Fault{Place: platform.SettingsVariable, Value: path, Problem: err.Error()})
	}
	if err := invalid("settings", faults); err != nil || c.CheckOnly {
		return err
	}
	if site.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(site.MemoryBytes)))
	}
	log := eventlog.New(Output{Messages: c.output.Results}.logger(settings.LogLevel, logrus.Fields{"host": site.Name, "data_centre": site.DataCentre}))
	captureLibraries(log)
	c.output.noteBlocking(log)
	ctx, cancel := signalContext()
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	return edge.New(settings, site, platform.New(path, store, log), log).Run(ctx, reload)
}
