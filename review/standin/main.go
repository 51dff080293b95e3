// Command standin runs one case of the review: it starts the stand-ins for the
// platform, the upstreams and the consumers, and the project's own processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to the function that runs it and returns whether the
// rule was broken.
var cases = map[string]func(log *record, trouble bool) (bool, error){
	"rolling-restart":  rollingRestart,
	"leave-and-lose":   leaveAndLose,
	"idle-connections": idleConnections,
	"half-close":       halfClose,
	"readers-cut":      readersCut,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		endAll()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		log.line("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	log.line("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
