// Command standin-policies compares placement policies over simulated backend
// servers.
package main

import (
	"github.com/baobabdrum/baobabdrum/bench"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
)

func main() {
	standin.Main(schema.PoliciesFlags.Check, bench.Run)
}
