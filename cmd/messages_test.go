package cmd_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/cmd"
)

// stalledOutput takes no bytes until it is released.
type stalledOutput struct{ released chan struct{} }

// Write waits for the release.
func (o stalledOutput) Write(content []byte) (int, error) {
	<-o.released

	return len(content), nil
}

// Guards against a host process that does not end, and so is not started again, because
// nobody reads its last message.
func TestHostsEndThoughNobodyReadsTheirMessages(t *testing.T) {
	tests := map[string][]string{
		"edge, unknown flag":     {"edge", "--nonsense"},
		"edge, invalid setting":  {"edge", "--senders", "0"},
		"edge, surplus argument": {"edge", "surplus"},
		"host, unknown flag":     {"host", "--nonsense"},
		"host, invalid setting":  {"host", "--senders", "0"},
	}
	for name, args := range tests {
		t.Run(name, func(t *testing.T) {
			output := stalledOutput{released: make(chan struct{})}
			defer close(output.released)
			ended := make(chan int, 1)
			go func() { ended <- cmd.Run(args, output, output) }()
			select {
			case code := <-ended:
				assert.Equal(t, code, cmd.ExitInvalid)
			case <-time.After(2 * time.Second):
				t.Fatal("the command has not ended after 2 s")
			}
		})
	}
}

// Guards against a command for operators that gives up on a slow reader of its messages.
func TestCommandsWaitForTheReaderOfTheirMessages(t *testing.T) {
	output := stalledOutput{released: make(chan struct{})}
	ended := make(chan int, 1)
	go func() { ended <- cmd.Run([]string{"dump", "--nonsense"}, output, output) }()
	select {
	case <-ended:
		t.Fatal("the command did not wait")
	case <-time.After(1500 * time.Millisecond):
	}
	close(output.released)
	assert.Equal(t, <-ended, cmd.ExitInvalid)
}
