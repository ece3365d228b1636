package ptcmd

import (
	"context"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptslope"
)

// runSlopes measures one running process. The script bench/slopes.sh starts the measured
// process and the test doubles.
func runSlopes(ctx context.Context, call *invocation) (err error) {
	if len(call.arguments) == 0 || (call.arguments[0] != "entry" && call.arguments[0] != "agent") {
		return usageError{errors.New("want: slopes entry, or slopes agent")}
	}
	role := call.arguments[0]
	call.arguments = call.arguments[1:]
	flags := call.flags
	admin := flags.URL("admin", "http://127.0.0.1:7301", "admin URL of the measured process")
	callers := flags.URL("callers", "http://127.0.0.1:7101", "URL at which the measured entry accepts jobs")
	agents := flags.Address("agents", "127.0.0.1:7201", "agents-listen address of the measured entry, or the address on which this process listens for the measured agent")
	logURL := flags.URL("log", defaultLogURL, "URL of the platform's log")
	only := flags.String("only", "", "the only measurement of an entry to run; empty runs all")
	if err := call.parse(); err != nil {
		return err
	}
	var rows []ptslope.Row
	if role == "entry" {
		rows, err = ptslope.MeasureEntry(ctx, ptslope.Target{Callers: *callers, Agents: *agents, Admin: *admin, Log: *logURL, Only: *only})
	} else {
		rows, err = ptslope.MeasureAgent(ctx, *admin, *agents, *logURL)
	}
	call.printf("%s", ptslope.Markdown(rows))
	return err
}
