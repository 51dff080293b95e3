// Command baobabdrum is a load balancer for servers whose load shifts in
// milliseconds. See docs/ for the documentation.
package main

import (
	"os"

	"github.com/baobabdrum/baobabdrum/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
