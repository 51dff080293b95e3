package cmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/operatorhttp"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/sheetcsv"
)

const sheetHelp = `Checks, applies or shows the morning sheet.

Examples:
  baobabdrum sheet check examples/mauritius/sheet.csv
  baobabdrum sheet apply --host-address 127.0.0.1:8082 examples/mauritius/sheet.csv
  baobabdrum sheet apply --base-version 12 --host-address 127.0.0.1:8082 examples/mauritius/sheet.csv
  baobabdrum sheet show --host-address 127.0.0.1:8082`

// Sheet groups the commands for the morning sheet.
type Sheet struct {
	// Check validates a sheet without applying it.
	Check SheetCheck `command:"check" description:"Name every fault of a sheet"`
	// Apply puts a sheet in force.
	Apply SheetApply `command:"apply" description:"Put a sheet in force, all or nothing"`
	// Show prints the configuration in force.
	Show SheetShow `command:"show" description:"Show the configuration in force at a host"`
}

// newSheet returns the sheet commands with their output.
func newSheet(output Output) *Sheet {
	return &Sheet{
		Check: SheetCheck{output: output}, Apply: SheetApply{output: output}, Show: SheetShow{output: output},
	}
}

// Execute is never called because a subcommand is required.
func (*Sheet) Execute([]string) error {
	return nil
}

// SheetFile is the argument that names a sheet.
type SheetFile struct {
	// File is the path of the sheet.
	File string `positional-arg-name:"FILE" required:"true"`
}

// SheetCheck reports every fault of a sheet.
type SheetCheck struct {
	// Args names the file.
	Args SheetFile `positional-args:"true"`

	output Output
}

// Execute parses the sheet and prints the configuration that it declares.
func (c *SheetCheck) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return eris.Wrap(err, "reading the sheet")
	}
	configuration, err := sheetcsv.Parse(c.Args.File, data)
	if err != nil {
		return err
	}

	return c.output.print(configuration)
}

// SheetApply puts a sheet in force.
type SheetApply struct {
	schema.ClientFlags
	schema.ApplyFlags

	// Args names the file.
	Args SheetFile `positional-args:"true"`

	output Output
}

// Execute validates the sheet locally and applies it at a host.
func (c *SheetApply) Execute([]string) error {
	host, err := client(c.ClientFlags)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return eris.Wrap(err, "reading the sheet")
	}
	if _, err := sheetcsv.Parse(c.Args.File, data); err != nil {
		return err
	}
	settings, faults := c.ApplyFlags.Check()
	if err := invalid("settings", faults); err != nil {
		return err
	}
	path := fmt.Sprintf("%s?%s=%d", operatorhttp.PathSheet, operatorhttp.QueryBaseVersion, settings.BaseVersion)
	raw, err := host.Exchange(http.MethodPost, path, data)
	if err != nil {
		return err
	}
	var result schema.ChangeResult
	if err := json.Unmarshal(raw, &result); err != nil {
		return eris.Wrap(err, "decoding the result")
	}

	return c.output.print(result)
}

// SheetShow prints the configuration in force.
type SheetShow struct {
	schema.ClientFlags

	output Output
}

// Execute requests the configuration and prints it.
func (c *SheetShow) Execute([]string) error {
	host, err := client(c.ClientFlags)
	if err != nil {
		return err
	}
	configuration, err := jsonhttp.Get[schema.Configuration](host, operatorhttp.PathConfiguration)
	if err != nil {
		return err
	}

	return c.output.print(configuration)
}
