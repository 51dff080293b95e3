// Command standin-slopes measures how state and decision times grow with size,
// for docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/baobabdrum/baobabdrum/scaling"
)

func main() {
	fmt.Printf("cores=%d go=%s\n", runtime.NumCPU(), runtime.Version())
	if err := scaling.Print(os.Stdout, scaling.Measure()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
