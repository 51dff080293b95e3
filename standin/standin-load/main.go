// Command standin-load generates calls to the hosts and reports their outcomes.
package main

import (
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
)

func main() {
	standin.Main(schema.LoadFlags.Check, standin.RunLoad)
}
