// Command standin-backend runs a backend server stand-in.
package main

import (
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
)

func main() {
	standin.Main(schema.BackendFlags.Check, standin.RunBackend)
}
