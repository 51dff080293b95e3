// Command standin-verdict compares what callers were told with what backend servers ran.
package main

import (
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
)

func main() {
	standin.Main(schema.VerdictFlags.Check, standin.RunVerdict)
}
