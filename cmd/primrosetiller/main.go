// Command primrosetiller runs the processes of the dispatcher and the tools for
// operators. Package ptcmd implements the subcommands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/primrosetiller/primrosetiller/ptcmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := ptcmd.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
