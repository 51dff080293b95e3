// Command standin-load runs the load stand-in.
package main

import (
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
)

func main() {
	standin.Main(schema.LoadFlags.Check, standin.RunLoad)
}
