// Package cmd implements the command-line interface with one file for each
// command. Commands validate their settings, call the packages that do the work
// and choose the exit code.
package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Exit codes of every command.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitInvalid means that a setting, an argument or a file is invalid.
	ExitInvalid = 2
	// ExitNotRun means that a call was not run.
	ExitNotRun = 3
	// ExitUnknown means that a call or a change may have taken effect.
	ExitUnknown = 4
	// ExitConflict means that another change was accepted first.
	ExitConflict = 5
)

// exitCodes is appended to the help of every command.
const exitCodes = `Exit codes: 0 done, 1 failed, 2 invalid setting, argument or file,
3 the call was not run, 4 it may have taken effect, 5 conflict with another change.`

// Output holds the writers for results and messages of a command.
type Output struct {
	// Results receives the requested output.
	Results io.Writer
	// Messages receives log lines and errors.
	Messages io.Writer
	// Blocking is why writes of the runtime to the standard error may wait, or nil.
	Blocking error
}

// Command is a subcommand with its help.
type Command struct {
	// Name selects the command on the command line.
	Name string
	// Short is the summary in the list of commands.
	Short string
	// Long is the help text with examples.
	Long string
	// Options defines the flags and executes the command.
	Options flags.Commander
}

// Run parses the command line, executes the command and returns the exit code.
func Run(args []string, results, messages io.Writer) int {
	output, last := Output{Results: results, Messages: messages}, messages
	if len(args) > 0 && hostCommands[args[0]] {
		output = hostOutput(output)
		last = boundedWriter{target: output.Messages, timeout: messageTimeout}
	}
	parser := flags.NewNamedParser("baobabdrum", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A load balancer for servers whose load shifts in milliseconds.\n" + exitCodes
	for _, command := range commands(output) {
		if _, err := parser.AddCommand(command.Name, command.Short, command.Long+"\n"+exitCodes, command.Options); err != nil {
			fmt.Fprintln(messages, err)

			return ExitFailed
		}
	}
	parser.CommandHandler = execute
	_, err := parser.ParseArgs(args)

	return exit(Output{Results: results, Messages: last}, err)
}

// execute runs a command and rejects surplus arguments.
func execute(command flags.Commander, rest []string) error {
	faults := make([]schema.Fault, 0, len(rest))
	for _, argument := range rest {
		faults = append(faults, schema.Fault{Place: "argument", Value: argument, Problem: "is not expected"})
	}
	if err := invalid("arguments", faults); err != nil || command == nil {
		return err
	}

	return command.Execute(nil)
}

// commands returns the commands in the order in which help lists them.
func commands(output Output) []Command {
	return []Command{
		{"host", "Run an entry host", hostHelp, &Host{output: output}},
		{"edge", "Run an entry host on the users' platform", edgeHelp, &Edge{output: output}},
		{"sheet", "Check, apply or show the morning sheet", sheetHelp, newSheet(output)},
		{"data-centre", "Take a data centre out or in", dataCentreHelp, &DataCentre{output: output}},
		{"stop", "Stop an entry host as planned", stopHelp, &Stop{output: output}},
		{"ask", "Ask which hosts to use for a service", askHelp, &Ask{output: output}},
		{"call", "Call a service", callHelp, &Call{output: output}},
		{"order", "Place an order that runs at most once", orderHelp, &Order{output: output}},
		{"dump", "Show the state of an entry host", dumpHelp, &Dump{output: output}},
		{"version", "Show the version", versionHelp, &Version{output: output}},
	}
}

// exit prints an error and returns its exit code.
func exit(output Output, err error) int {
	var (
		help    *flags.Error
		invalid *schema.InvalidError
		status  *jsonhttp.StatusError
		outcome *OutcomeError
	)
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		fmt.Fprintln(output.Results, help.Message)

		return ExitDone
	case errors.As(err, &help):
		fmt.Fprintln(output.Messages, help.Message)

		return ExitInvalid
	case errors.As(err, &invalid):
		fmt.Fprintln(output.Messages, invalid)

		return ExitInvalid
	case errors.As(err, &status):
		return exitStatus(output, status)
	case errors.As(err, &outcome):
		fmt.Fprintln(output.Messages, outcome)

		return outcome.Code
	default:
		fmt.Fprintln(output.Messages, err)

		return ExitFailed
	}
}

// exitStatus prints a failure that an entry host returned and returns its exit
// code.
func exitStatus(output Output, status *jsonhttp.StatusError) int {
	var failure schema.Failure
	if json.Unmarshal(status.Body, &failure) != nil {
		fmt.Fprintln(output.Messages, status)

		return ExitFailed
	}
	fmt.Fprintf(output.Messages, "%s: %s: %s\n", failure.Outcome, failure.Reason, failure.Detail)
	switch {
	case failure.Reason == "invalid":
		return ExitInvalid
	case status.Status == http.StatusConflict:
		return ExitConflict
	case failure.Outcome == "unknown":
		return ExitUnknown
	default:
		return ExitNotRun
	}
}

// OutcomeError reports a call without a successful answer, with its exit code.
type OutcomeError struct {
	// Code is the exit code of the command.
	Code int
	// Message describes the outcome.
	Message string
}

// Error returns the message.
func (e *OutcomeError) Error() string {
	return e.Message
}

// invalid returns a *schema.InvalidError for the faults, or nil without faults.
func invalid(input string, faults []schema.Fault) error {
	if len(faults) == 0 {
		return nil
	}

	return &schema.InvalidError{Input: input, Faults: faults}
}

// client validates the flags and returns a client of the entry host.
func client(flags schema.ClientFlags) (*jsonhttp.Client, error) {
	settings, faults := flags.Check()
	if err := invalid("settings", faults); err != nil {
		return nil, err
	}

	return jsonhttp.NewClient(settings.HostAddress, settings.Token, settings.Timeout), nil
}

// print writes a message as indented JSON.
func (o Output) print(message any) error {
	encoder := json.NewEncoder(o.Results)
	encoder.SetIndent("", "  ")

	return encoder.Encode(message)
}

// logger returns a logger that writes one key=value line for each event.
func (o Output) logger(level string, fields logrus.Fields) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(o.Messages)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}

	return logger.WithFields(fields)
}

// signalContext returns a context that ends on an interrupt or termination signal. A host
// goes on without its log if the reader of the log has ended, so the signal that says so is
// ignored.
func signalContext() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGPIPE)

	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
