package ptslope

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptentry"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptlog"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptorder"
	"github.com/primrosetiller/primrosetiller/ptplace"
)

var (
	entrySizes  = []int{4, 8, 16, 28}
	recordSizes = []int{5_000, 10_000, 20_000, 40_000}
)

// MeasureAgent measures an agent. The only entry in the settings of the agent must be
// firstEntry, the address on which this process runs the first entry; the agent learns the
// addresses of the other entries from it. The upstream of the agent is a test double in
// another process.
func MeasureAgent(ctx context.Context, admin, firstEntry, logURL string) (rows []Row, err error) {
	defer func() { err = errors.Wrap(err, "measure agent") }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bench := &bench{target: Target{Admin: admin, Log: logURL}, log: ptlog.New(logURL)}
	if _, err := bench.publish(ctx, testDeclarations(3)); err != nil {
		return nil, err
	}
	var entries []*ptentry.Entry
	var cpu, sent, received, resident []float64
	for _, size := range entrySizes {
		for len(entries) < size {
			entry, err := startEntry(ctx, len(entries), firstEntry, logURL)
			if err != nil {
				return nil, err
			}
			entries = append(entries, entry)
		}
		if _, err := waitFor(ctx, admin, func(current sample) bool {
			return current.values[string(ptmetric.Sessions)] >= float64(size)
		}); err != nil {
			return nil, err
		}
		before, after, err := sampleWindow(ctx, admin)
		if err != nil {
			return nil, err
		}
		cpu = append(cpu, rate(before, after, cpuSeconds)*100)
		sent = append(sent, rate(before, after, bytesSeries("sent")))
		received = append(received, rate(before, after, bytesSeries("received")))
		resident = append(resident, after.values[residentBytes]/kilobyte)
	}
	sizes := toFloats(entrySizes)
	bench.add("agent: processor time of idle sessions", "entry", "% of a core", sizes, cpu)
	bench.add("agent: bytes sent to idle entries", "entry", "bytes/s", sizes, sent)
	bench.add("agent: bytes received from idle entries", "entry", "bytes/s", sizes, received)
	bench.add("agent: resident memory of idle sessions", "entry", "KB", sizes, resident)
	if err := bench.measureStartRecords(ctx, entries[0]); err != nil {
		return bench.rows, err
	}
	return bench.rows, nil
}

// startEntry runs an entry in this process until ctx ends. Entry 0 listens on firstEntry.
func startEntry(ctx context.Context, number int, firstEntry, logURL string) (entry *ptentry.Entry, err error) {
	address := firstEntry
	if number > 0 {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	address = listener.Addr().String()
	entry = ptentry.New(ptentry.Setting{
		Name: ptid.EntryName(fmt.Sprintf("entry%d", number)), Zone: "zone1", Region: "region1", AgentsListen: address,
		Peers: strings.Split(firstEntry, ","), Placement: ptplace.Leases, Order: ptorder.FirstCome,
		MaxQueued: 1 << 20, LogRetention: time.Hour, Seed: 1,
	}, ptentry.Dependencies{Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Store: ptlog.New(logURL)})
	go func() { _ = entry.RunOnListener(ctx, listener) }()
	return entry, nil
}

// measureStartRecords measures the resident memory of the agent at each number of records in
// the start table that recordSizes lists.
func (bench *bench) measureStartRecords(ctx context.Context, entry *ptentry.Entry) (err error) {
	var resident []float64
	sent := 0
	for _, size := range recordSizes {
		for ; sent < size; sent += tasksPerJob {
			submission := &ptentry.Submission{Profile: "profile2", Tasks: make([]ptjob.Payload, tasksPerJob)}
			for i := range submission.Tasks {
				submission.Tasks[i] = ptjob.Payload{ContentType: "application/json", Data: []byte(`{"runMillis":0}`)}
			}
			ticket, err := entry.Submit(submission)
			if err != nil {
				return err
			}
			<-ticket.Done()
		}
		_, after, err := sampleWindow(ctx, bench.target.Admin)
		if err != nil {
			return err
		}
		resident = append(resident, after.values[residentBytes]/kilobyte)
	}
	bench.add("agent: resident memory by start record", "record", "KB", toFloats(recordSizes), resident)
	return nil
}
