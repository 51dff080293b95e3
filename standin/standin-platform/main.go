// Command standin-platform runs a platform stand-in.
package main

import (
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
)

func main() {
	standin.Main(schema.PlatformFlags.Check, standin.RunPlatform)
}
