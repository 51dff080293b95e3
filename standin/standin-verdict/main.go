// Command standin-verdict compares the outcomes that callers received with the
// calls that backend servers ran.
package main

import (
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
)

func main() {
	standin.Main(schema.VerdictFlags.Check, standin.RunVerdict)
}
