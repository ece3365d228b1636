// Package ptcmd implements the command line: a table of commands, each of which is a
// function of its arguments.
//
// # Usage
//
//	os.Exit(ptcmd.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
//
// # Rules
//
//  1. The exit status is 0 for success, 1 for failure, 2 for incorrect usage and 3 for
//     a conflict.
//  2. Results are written to standard output, logs and errors to standard error.
package ptcmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptsetting"
)

// Exit statuses.
const (
	StatusDone     = 0
	StatusFailed   = 1
	StatusUsage    = 2
	StatusConflict = 3
)

// usageError is an error in the command line or in a settings file.
type usageError struct{ cause error }

// Error implements error.
func (usage usageError) Error() string { return usage.cause.Error() }

// conflictError reports a change of the configuration that was rejected because another
// change was accepted first.
type conflictError struct{ text string }

// Error implements error.
func (conflict conflictError) Error() string { return conflict.text }

// invocation is one execution of a command, with its arguments and outputs.
type invocation struct {
	arguments   []string
	output      io.Writer
	errorOutput io.Writer
	flags       *ptsetting.Flags
	verbose     *bool
}

// command is one row of the table of commands.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, call *invocation) error
}

// commands returns the table of commands. A variable would cause an initialization cycle,
// because the commands refer to the table.
func commands() []command {
	return []command{
		{"entry", "run an entry: accept jobs, place tasks, return answers", runEntry},
		{"agent", "run the agent of one upstream", runAgent},
		{"platform", "run an entry or an agent on the users' platform: platform entry, platform agent", runPlatform},
		{"apply", "apply a file of declarations: apply -f FILE", runApply},
		{"validate", "check a file of declarations without applying it: validate -f FILE", runValidate},
		{"get", "print the declarations in force", runGet},
		{"drain", "place no new tasks on an upstream and let it complete its tasks: drain UPSTREAM", runDrain},
		{"undrain", "place tasks on an upstream again: undrain UPSTREAM", runUndrain},
		{"status", "print the revision, the declared states of the upstreams, and the entries", runStatus},
		{"explain", "explain a reason, a profile field or a metric: explain NAME", runExplain},
		{"demo", "run a complete system in one process and print its responses", runDemo},
		{"load", "offer load and compare the response times with an ideal schedule", runLoad},
		{"soak", "simulate the scheduling of entries and agents in long seeded runs with injected faults", runSoak},
		{"slopes", "measure the resource cost of sessions, tasks and records, for docs/CAPACITY.md", runSlopes},
		{"standin", "run a test double of the log or of an upstream: standin log, standin upstream", runStandin},
	}
}

// Run executes a command line and returns the exit status.
func Run(ctx context.Context, arguments []string, output, errorOutput io.Writer) (status int) {
	if len(arguments) == 0 || slices.Contains([]string{"help", "-h", "--help"}, arguments[0]) {
		printCommands(output)
		if len(arguments) == 0 {
			return StatusUsage
		}
		return StatusDone
	}
	for _, command := range commands() {
		if command.name == arguments[0] {
			call := newInvocation(command.name, arguments[1:], output, errorOutput)
			return reportError(command.run(ctx, call), errorOutput)
		}
	}
	_, _ = fmt.Fprintf(errorOutput, "unknown command %q\n", arguments[0])
	printCommands(errorOutput)
	return StatusUsage
}

func newInvocation(name string, arguments []string, output, errorOutput io.Writer) *invocation {
	flags := ptsetting.NewFlags(name, errorOutput)
	return &invocation{
		arguments: arguments, output: output, errorOutput: errorOutput, flags: flags,
		verbose: flags.Bool("verbose", false, "log details"),
	}
}

func printCommands(output io.Writer) {
	var text strings.Builder
	text.WriteString("primrosetiller COMMAND [settings]\n\n")
	for _, command := range commands() {
		fmt.Fprintf(&text, "  %-10s %s\n", command.name, command.summary)
	}
	text.WriteString("\nEvery command lists its settings with -h.\n")
	_, _ = io.WriteString(output, text.String())
}

// reportError prints err to output and returns its exit status. It prints nothing if err is nil
// or flag.ErrHelp.
func reportError(err error, output io.Writer) (status int) {
	var usage usageError
	var conflict conflictError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return StatusDone
	case errors.As(err, &usage), ptprofile.Problems(err) != nil:
		status = StatusUsage
	case errors.As(err, &conflict):
		status = StatusConflict
	default:
		status = StatusFailed
	}
	_, _ = fmt.Fprintln(output, err)
	return status
}

// parse reads the settings. It returns flag.ErrHelp if help was requested; all other errors
// are of type usageError.
func (call *invocation) parse() (err error) {
	err = call.flags.Parse(call.arguments)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return usageError{err}
	}
	return err
}

// logger returns a structured logger that writes to the error output, and makes ptassert
// report broken invariants to it.
func (call *invocation) logger(name string) logr.Logger { return call.loggerTo(call.errorOutput, name) }

// loggerTo is like logger, but the returned logger writes to output.
func (call *invocation) loggerTo(output io.Writer, name string) logr.Logger {
	level := slog.LevelInfo
	if *call.verbose {
		level = slog.LevelDebug
	}
	logger := logr.FromSlogHandler(slog.NewJSONHandler(output, &slog.HandlerOptions{Level: level})).WithName(name)
	ptassert.SetReporter(func(invariant string, details []any) {
		logger.Error(errors.New(invariant), "invariant broken", details...)
	})
	return logger
}

// singleArgument returns the only positional argument of a command. description names the
// argument in the error message.
func (call *invocation) singleArgument(description string) (argument string, err error) {
	if call.flags.NArg() != 1 {
		return "", usageError{errors.Errorf("want one argument: %s", description)}
	}
	return call.flags.Arg(0), nil
}

func (call *invocation) printf(format string, details ...any) {
	_, _ = fmt.Fprintf(call.output, format, details...)
}
