//go:build review2

// Command harness-2 plays the scripts of the second review. It starts the programs of the project as
// separate processes on loopback addresses, and has stand-ins for the platform's store, the workers
// and the clients.
//
//	harness-2 SCENARIO RECORD
//
// The scenarios "emptied" and "pending" belong to no case; REPORT-2.md tells of them.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// it does the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// errBroken is the result of a scenario in which the rule was broken.
var errBroken = errors.New("BROKEN")

// timeLimit is how long a script may take, all processes ended.
const timeLimit = 118 * time.Second

// scenario plays a case.
type scenario func(record *record, trouble bool) (verdict string, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 SCENARIO RECORD")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		stopAll()
		os.Exit(2)
	}()
	time.AfterFunc(timeLimit, func() {
		killAll()
		fmt.Println("could not run: it took too long")
		os.Exit(2)
	})
	kept := &record{}
	verdict, err := scenarios[os.Args[1]](kept, os.Getenv("TROUBLE") != "0")
	stopAll()
	code := 0
	switch {
	case errors.Is(err, errBroken):
		verdict, code = "BROKEN: "+verdict, 1
	case err != nil:
		verdict, code = "could not run: "+err.Error(), 2
	default:
		verdict = "held: " + verdict
	}
	if writeErr := kept.write(os.Args[2], verdict); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		code = 2
	}
	fmt.Println(verdict)
	os.Exit(code)
}

// running is the deployment that has to be stopped at the end.
var running []*cluster

func stopAll() {
	for _, cluster := range running {
		cluster.stop()
	}
	running = nil
}

// killAll ends the processes without waiting for their ends.
func killAll() {
	for _, cluster := range running {
		for _, process := range slices.Concat(cluster.entries, cluster.agents) {
			if process.command != nil {
				_ = process.command.Process.Kill()
			}
		}
	}
}

// startCluster starts a deployment of entries, of which all but the last late ones are started, and
// workers.
func startCluster(record *record, entries, late, workers int) (started *cluster, err error) {
	if started, err = newCluster(record, entries, workers, min(entries-late, 3)); err != nil {
		return nil, err
	}
	running = append(running, started)
	if err := started.startAll(entries - late); err != nil {
		return nil, err
	}
	record.event("all entries are ready")
	return started, nil
}
