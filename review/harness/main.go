//go:build review

// Command harness plays the scripts of the review: it runs the project's programs as separate
// processes with stand-ins for the platform, and checks one rule of the users' pages.
//
//	review/bin/harness CASE FOLDER on|off
//
// The last word tells whether the disruption happens; the scripts set it from TROUBLE.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxDuration is how long a case may run.
const maxDuration = 115 * time.Second

// scenario plays a case and returns the first broken rule; empty if it held.
type scenario struct {
	entries, agents int
	play            func(c *cluster, trouble bool) (broken string, err error)
}

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 4 || scenarios[os.Args[1]].play == nil || os.Args[3] != "on" && os.Args[3] != "off" {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER on|off")
		return 2
	}
	// A closed standard output must not end the harness before it has ended its processes.
	signal.Ignore(syscall.SIGPIPE)
	played, folder := scenarios[os.Args[1]], os.Args[2]
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	record := &record{file: file, startAt: time.Now()}
	trouble := os.Args[3] == "on"
	record.line("case %s, disruption %t", os.Args[1], trouble)
	c, err := newCluster(record, folder, played.entries, played.agents)
	defer c.close()
	if err == nil {
		err = c.start()
	}
	if err != nil {
		record.line("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type result struct {
		broken string
		err    error
	}
	results, signals := make(chan result, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		broken, err := played.play(c, trouble)
		results <- result{broken, err}
	}()
	select {
	case got := <-results:
		switch {
		case got.err != nil:
			record.line("the case can't run: %v", got.err)
			fmt.Println("the case can't run:", got.err)
			return 2
		case got.broken != "":
			record.line("BROKEN: %s", got.broken)
			fmt.Println("broken:", got.broken)
			return 1
		}
		record.line("the rule held")
		fmt.Println("held")
		return 0
	case <-signals:
	case <-time.After(maxDuration):
	}
	record.line("the case can't run: ended before its time")
	return 2
}
