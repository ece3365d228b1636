// Command primrosetiller is the dispatcher: every process of the system and every
// tool of its operators. Package ptcmd has the commands.
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
