// Package ptcmd is the command line: one table of commands, each a function of its
// arguments.
//
// # Usage
//
//	os.Exit(ptcmd.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
//
// # Rules
//
//  1. The exit status is 0 for done, 1 for failed, 2 for wrong usage, 3 for a
//     conflict.
//  2. Results go to standard output, logs and errors to standard error.
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

// usageError is a fault of the command line or of a settings file.
type usageError struct{ cause error }

// Error implements error.
func (usage usageError) Error() string { return usage.cause.Error() }

// conflictError is a change that lost against another one.
type conflictError struct{ text string }

// Error implements error.
func (conflict conflictError) Error() string { return conflict.text }

// invocation is one call of a command.
type invocation struct {
	arguments []string
	output    io.Writer
	errors    io.Writer
	flags     *ptsetting.Flags
	verbose   *bool
}

// command is one entry of the table.
type command struct {
	name  string
	brief string
	run   func(ctx context.Context, call *invocation) error
}

// commands lists every command. It is a function, since commands refer to it.
func commands() []command {
	return []command{
		{"entry", "run an entry: take jobs, place tasks, return answers", runEntry},
		{"agent", "run the agent beside one upstream", runAgent},
		{"platform", "run a role on the users' platform: platform entry, platform agent", runPlatform},
		{"apply", "publish a file of declarations: apply -f FILE", runApply},
		{"validate", "check a file of declarations without publishing it: validate -f FILE", runValidate},
		{"get", "print the declarations in force", runGet},
		{"drain", "let an upstream finish what it has and give it nothing new: drain UPSTREAM", runDrain},
		{"undrain", "give an upstream work again: undrain UPSTREAM", runUndrain},
		{"status", "print the revision, the upstreams' declared states and the entries", runStatus},
		{"explain", "explain a reason, a profile field or a metric: explain NAME", runExplain},
		{"demo", "run the whole path in one process and show what comes back", runDemo},
		{"load", "offer load and compare the response with the ideal", runLoad},
		{"soak", "drive the decisions through long seeded runs with faults", runSoak},
		{"slopes", "measure what sessions, tasks and records cost, for docs/CAPACITY.md", runSlopes},
		{"standin", "run a stand-in: standin log, standin upstream", runStandin},
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
			return report(command.run(ctx, call), errorOutput)
		}
	}
	_, _ = fmt.Fprintf(errorOutput, "unknown command %q\n", arguments[0])
	printCommands(errorOutput)
	return StatusUsage
}

func newInvocation(name string, arguments []string, output, errorOutput io.Writer) *invocation {
	flags := ptsetting.NewFlags(name, errorOutput)
	return &invocation{
		arguments: arguments, output: output, errors: errorOutput, flags: flags,
		verbose: flags.Bool("verbose", false, "log details"),
	}
}

func printCommands(output io.Writer) {
	var text strings.Builder
	text.WriteString("primrosetiller COMMAND [settings]\n\n")
	for _, command := range commands() {
		fmt.Fprintf(&text, "  %-10s %s\n", command.name, command.brief)
	}
	text.WriteString("\nEvery command lists its settings with -h.\n")
	_, _ = io.WriteString(output, text.String())
}

// report prints an error and returns its exit status.
func report(err error, output io.Writer) (status int) {
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

// parse reads the settings; a fault is one of usage.
func (call *invocation) parse() (err error) {
	err = call.flags.Parse(call.arguments)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return usageError{err}
	}
	return err
}

// logger returns the process's structured log, and sends broken invariants there.
func (call *invocation) logger(name string) logr.Logger { return call.loggerTo(call.errors, name) }

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

// argument returns the single positional argument of a command.
func (call *invocation) argument(what string) (argument string, err error) {
	if call.flags.NArg() != 1 {
		return "", usageError{errors.Errorf("want one argument: %s", what)}
	}
	return call.flags.Arg(0), nil
}

func (call *invocation) printf(format string, details ...any) {
	_, _ = fmt.Fprintf(call.output, format, details...)
}
