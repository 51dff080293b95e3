package cmd

import (
	"runtime"

	"github.com/sirupsen/logrus"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/host"
	"github.com/baobabdrum/baobabdrum/schema"
)

const hostHelp = `Runs an entry host until it is interrupted, which starts a planned stop.

Example:
  baobabdrum host --name mu-north-1 --data-centre mu-north --caller-address 127.0.0.1:8080`

// Host runs an entry host.
type Host struct {
	schema.HostFlags

	output Output
}

// Execute validates all settings and runs the host until it stops.
func (c *Host) Execute([]string) error {
	settings, faults := c.Check()
	if err := invalid("settings", append(faults, host.Check(settings)...)); err != nil {
		return err
	}
	log := eventlog.New(c.output.logger(settings.LogLevel, logrus.Fields{"host": settings.Name, "data_centre": settings.DataCentre}))
	captureLibraries(log)
	c.output.noteBlocking(log)
	runtime.GOMAXPROCS(min(settings.Processors, runtime.NumCPU()))
	ctx, cancel := signalContext()
	defer cancel()

	return host.New(settings, log).Run(ctx)
}
