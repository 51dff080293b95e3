// Command standin-slopes measures the slopes behind docs/CAPACITY.md.
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
