package cmd

import (
	"fmt"
	"runtime/debug"
)

const versionHelp = `Shows the version of this program.

Example:
  baobabdrum version`

// Version shows the version of this program.
type Version struct {
	output Output
}

// Execute prints the module version and the Go version.
func (c *Version) Execute([]string) error {
	version := "(devel)"
	goVersion := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	_, err := fmt.Fprintf(c.output.Results, "baobabdrum %s %s\n", version, goVersion)

	return err
}
