//go:build review3

// Command harness-3 plays one case of the review with the project's own programs and stand-ins of the
// platform, its workers and its clients, on loopback addresses.
//
// Usage: harness-3 -case NAME -binary PATH -record FILE [-logs DIR] [-trouble=false]
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errRule is a rule that was broken.
type errRule struct{ text string }

func (err errRule) Error() string { return err.text }

func broken(format string, arguments ...any) error { return errRule{fmt.Sprintf(format, arguments...)} }

type scenario func(binary, logs string, trouble bool) error

func main() {
	name := flag.String("case", "", "the case")
	binary := flag.String("binary", "", "the project's program")
	recordPath := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	logs := flag.String("logs", "", "keep the output of the processes in this folder")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.BoolVar(&verbose, "verbose", true, "record each start and end of a run")
	flag.Parse()
	os.Exit(run(*name, *binary, *recordPath, *logs, *trouble))
}

func run(name, binary, recordPath, logs string, trouble bool) int {
	var err error
	if record, err = os.Create(recordPath); err != nil {
		fmt.Println("can't write the record:", err)
		return 2
	}
	defer func() { _ = record.Close() }()
	play := scenarios[name]
	if play == nil {
		fmt.Println("no such case:", name)
		return 2
	}
	// The script has 120 seconds.
	time.AfterFunc(115*time.Second, func() { giveUp("too slow") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		giveUp("interrupted")
	}()
	err = play(binary, logs, trouble)
	switch err := err.(type) {
	case nil:
		logf("result: the rule held")
		fmt.Println("held")
		return 0
	case errRule:
		logf("result: the rule was broken: %s", err.text)
		fmt.Println("broken:", err.text)
		return 1
	default:
		logf("result: not run: %v", err)
		fmt.Println("not run:", err)
		return 2
	}
}

// giveUp ends all processes, and this one.
func giveUp(why string) {
	killAll()
	logf("result: not run: %s", why)
	fmt.Println("not run:", why)
	os.Exit(2)
}
