// Command review-3 plays the stand-ins of the cases of this review: the platform's store,
// upstreams, consumers and the platform's readiness checks. Each case is a scenario.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
)

// scenario plays a case and returns whether the rule held.
type scenario func(s *setting) (held bool, err error)

var scenarios = map[string]scenario{}

// setting is what a scenario gets.
type setting struct {
	trouble bool
	store   *store
	record  *record
	// front, ready and directory are addresses of the host, and hostPID is its process.
	front, ready, directory string
	hostPID                 int
	upstreamPort            int
	// settings is the path of the host's settings file.
	settings string
}

func main() {
	var (
		name    = flag.String("case", "", "scenario")
		trouble = flag.Bool("trouble", true, "play the disruption")
		folder  = flag.String("folder", ".", "folder of the case, with config.json")
		words   = flag.String("names", "names.json", "names of the platform")
		address = flag.String("store", "", "address of the store")
	)
	s := &setting{}
	flag.StringVar(&s.front, "front", "", "address of the host for consumers")
	flag.StringVar(&s.ready, "ready", "", "address of the host for readiness checks")
	flag.StringVar(&s.directory, "directory", "", "address of the host's directory")
	flag.IntVar(&s.hostPID, "pid", 0, "process of the host")
	flag.IntVar(&s.upstreamPort, "upstream-port", 0, "port of the upstreams")
	flag.StringVar(&s.settings, "settings", "", "settings file of the host")
	flag.Parse()
	if *name == "free-ports" {
		os.Exit(printFreePorts())
	}
	s.trouble = *trouble
	os.Exit(play(s, *name, *folder, *words, *address))
}

// play plays a scenario and returns the exit code of the case.
func play(s *setting, name, folder, words, address string) int {
	const held, broken, failed = 0, 1, 2
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)

		return failed
	}
	text, err := os.ReadFile(words)
	if err != nil {
		return fail(err)
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fail(err)
	}
	config, err := os.ReadFile(filepath.Join(folder, "config.json"))
	if err != nil {
		return fail(err)
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fail(err)
	}
	if s.record, err = newRecord(filepath.Join(folder, "record.txt")); err != nil {
		return fail(err)
	}
	defer s.record.close()
	s.store = newStore()
	s.store.put("op", "config", string(config))
	go s.store.serve(listener)
	kept, err := scenarios[name](s)
	switch {
	case err != nil:
		s.record.add("failed", err)

		return fail(err)
	case kept:
		return held
	default:
		return broken
	}
}

// printFreePorts prints ports of TCP and UDP that nobody uses.
func printFreePorts() int {
	const count = 7
	var ports []any
	for len(ports) < count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 2
		}
		defer listener.Close()
		socket, err := net.ListenPacket("udp4", listener.Addr().String())
		if err != nil {
			continue
		}
		defer socket.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	fmt.Println(ports...)

	return 0
}
