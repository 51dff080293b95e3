// Command standin-2 runs a case of the review: stand-ins for the platform's store,
// upstreams and clients around real entry hosts. It exits with 1 if a rule was broken,
// 0 if all held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: CASE_DIR=DIR standin-2 CASE")
		os.Exit(couldNot)
	}
	os.Exit(play(cases[os.Args[1]]))
}

// cases are the cases by name.
var cases = map[string]func(*world) int{
	"restored-store": restoredStore,
	"stalled-log":    stalledLog,
}

// play runs a case and ends what it started.
func play(run func(*world) int) (code int) {
	var w *world
	defer func() {
		if failure := recover(); failure != nil {
			cause, ok := failure.(unable)
			if !ok {
				panic(failure)
			}
			fmt.Println("the case could not run:", cause.cause)
			code = couldNot
		}
		if w != nil {
			w.saveLogs()
			w.close()
		}
	}()
	w = newWorld()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.close()
		os.Exit(couldNot)
	}()
	return run(w)
}
