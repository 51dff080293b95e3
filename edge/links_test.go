package edge

import (
	"io"
	"time"

	"github.com/tinylib/msgp/msgp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// largeLink and smallLink are the rates of the links of large and small hosts in bytes
	// per second: 200 and 10 Mbit/s.
	largeLink = 25e6
	smallLink = 1.25e6
	// storeRouteBytes is the size of a route in an answer of the store, in base64.
	storeRouteBytes = 400
)

// simulatedTransfer is an answer on its way from a host, or from the store, to a host.
type simulatedTransfer struct {
	// from is nil for an answer of the store.
	from, to *simulatedHost
	// timeout is how long nothing may arrive.
	timeout time.Duration
	// progress moves ends, the time at which the transfer is given up.
	progress *tcp.Progress
	ends     time.Time
	// size and received are in bytes.
	size, received float64
	// whole and cut are the inputs of the receiver after a complete transfer and after one
	// that was given up.
	whole, cut ControlInput
}

// limitLinks gives the first hosts large links and all others small ones.
func (s *simulation) limitLinks(large int) {
	s.links = map[*simulatedHost]float64{}
	for i, host := range s.hosts {
		s.links[host] = smallLink
		if i < large {
			s.links[host] = largeLink
		}
	}
}

// transfer starts a transfer on the links.
func (s *simulation) transfer(transfer *simulatedTransfer) {
	transfer.progress = tcp.NewProgress(s.now, transfer.timeout)
	transfer.ends = transfer.progress.Deadline
	s.transfers = append(s.transfers, transfer)
}

// moveTransfers lets all transfers proceed for one step. Those that use a link at the
// same time share its rate equally.
func (s *simulation) moveTransfers() {
	sending, receiving := map[*simulatedHost]float64{}, map[*simulatedHost]float64{}
	for _, transfer := range s.transfers {
		sending[transfer.from]++
		receiving[transfer.to]++
	}
	underway := s.transfers[:0]
	for _, transfer := range s.transfers {
		rate := s.links[transfer.to] / receiving[transfer.to]
		if transfer.from != nil {
			rate = min(rate, s.links[transfer.from]/sending[transfer.from])
		}
		moved := rate * simulatedStep.Seconds()
		transfer.received += moved
		switch {
		case transfer.received >= transfer.size:
			s.deliver(transfer.to, simulatedStep, transfer.whole)
		case !s.now.Before(transfer.ends):
			s.wasted += transfer.received
			s.deliver(transfer.to, 0, transfer.cut)
		default:
			transfer.ends = transfer.progress.Received(s.now, int(moved))
			underway = append(underway, transfer)
		}
	}
	s.transfers = underway
}

// sendAnswer delivers a host's answer to a fetch over the links.
func (s *simulation) sendAnswer(from, to *simulatedHost, fetch declared.Fetch, answer schema.DeclaredAnswer) {
	versions := [2]int{fetch.Version, answer.DeclaredVersion}
	if _, known := s.sizes[versions]; !known {
		if s.sizes == nil {
			s.sizes = map[[2]int]int{}
		}
		s.sizes[versions] = encodedSize(&peerrpc.PackedDeclaredAnswer{Body: answer})
	}
	s.transfer(&simulatedTransfer{
		from: from, to: to, timeout: fetchTimeout, size: float64(s.sizes[versions]),
		whole: DeclaredEvent{Event: declared.PeerAnswered{Answer: answer}}, cut: DeclaredEvent{Event: declared.FetchFailed{}},
	})
}

// sendRows delivers an answer of the store over the link of a host.
func (s *simulation) sendRows(to *simulatedHost, table declared.Table, rows declared.Event) {
	size := 0
	if read, ok := rows.(declared.OrdersRead); ok {
		for _, declaration := range read.Declarations {
			size += storeRouteBytes * len(declaration.Routes)
		}
	}
	s.transfer(&simulatedTransfer{
		to: to, timeout: simulatedStoreTimeout, size: float64(size),
		whole: DeclaredEvent{Event: rows}, cut: DeclaredEvent{Event: declared.ReadFailed{Table: table}},
	})
}

// encodedSize returns the number of bytes of a message between hosts.
func encodedSize(message msgp.Encodable) int {
	counter := countingWriter{}
	writer := msgp.NewWriter(&counter)
	_ = message.EncodeMsg(writer) // counting does not fail
	_ = writer.Flush()            // as above

	return counter.bytes
}

// countingWriter counts what is written.
type countingWriter struct {
	bytes int
}

var _ io.Writer = (*countingWriter)(nil)

// Write counts bytes.
func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytes += len(data)

	return len(data), nil
}

// outdatedSince returns the names of the hosts whose declaration is older than a version.
func (s *simulation) outdatedSince(version int) []string {
	var names []string
	for _, host := range s.hosts {
		if host.duty.replica.Declared.Declaration.Version < version {
			names = append(names, host.duty.directory.Self.Name)
		}
	}

	return names
}

// assertInForce runs the simulation for the bound, and checks that every host then has
// the newest declaration.
func (s *simulation) assertInForce(t assert.TestingT, what string) {
	version := s.declaration.Version
	s.run(simulatedBound)
	outdated := s.outdatedSince(version)
	assert.Equal(t, len(outdated), 0, "%s: hosts without version %d after %v, %.1f MB wasted: %v", what, version, simulatedBound, s.wasted/1e6, outdated)
}
