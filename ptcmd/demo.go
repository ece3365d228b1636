package ptcmd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	ptexamples "github.com/primrosetiller/primrosetiller/examples"
	"github.com/primrosetiller/primrosetiller/ptcluster"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptload"
	"github.com/primrosetiller/primrosetiller/ptprofile"
)

const (
	demoEntries = 2
	demoAgents  = 3
	demoSlots   = 8
	shownBytes  = 160
)

// demoJob is one job that the demo shows.
type demoJob struct {
	profile   string
	key       string
	tasks     int
	runMillis int
}

var demoJobs = []demoJob{
	{"callbackBooking", "booking-4711", 3, 60},
	{"callbackBooking", "booking-4711", 3, 60},
	{"controllerCheck", "", 1, 50},
	{"windingAnalysis", "", 12, 200},
	{"hallSensorReading", "", 4, 80},
	{"partOrder", "order-815", 1, 70},
	{"noSuchProfile", "", 1, 1},
}

// runDemo runs the whole path in one process.
func runDemo(ctx context.Context, call *invocation) (err error) {
	seed := call.flags.Uint64("seed", 1, "seed of the load at the end")
	if err := call.parse(); err != nil {
		return err
	}
	report, err := call.demo(ctx, *seed)
	if err != nil {
		return err
	}
	return call.printReport(report, false)
}

// demo shows some jobs, and returns the report of a load on the same processes, which have
// ended then.
func (call *invocation) demo(ctx context.Context, seed uint64) (report *ptload.Report, err error) {
	call.printf("starting the log stand-in, %d entries, %d agents with a stand-in upstream each\n", demoEntries, demoAgents)
	log := &closable{output: call.errors}
	cluster, err := ptcluster.Start(ptcluster.Setting{
		Entries: demoEntries, Agents: demoAgents, Slots: demoSlots, Prefetch: ptcluster.DefaultPrefetch,
		Services: []ptid.ServiceName{"callbackDesk", "benchDiagnostics", "benchDiagnostics"}, Seed: seed, Log: call.loggerTo(log, "demo"),
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		// What the processes say of their end would stand between the reader and the figures.
		log.close()
		cluster.Stop()
	}()
	for _, file := range []struct {
		name string
		text []byte
	}{{"examples/gwasanaeth.yaml", ptexamples.Gwasanaeth}, {"examples/gulong.yaml", ptexamples.Gulong}} {
		set, err := ptprofile.Parse(file.name, file.text)
		if err != nil {
			return nil, err
		}
		if err := cluster.Apply(ctx, set); err != nil {
			return nil, err
		}
		call.printf("applied %s: revision %d in force at every entry\n", file.name, cluster.Entries[0].Entry.Revision())
	}
	for i, job := range demoJobs {
		if err := call.demoJob(cluster, cluster.Entries[i%demoEntries], job); err != nil {
			return nil, err
		}
	}
	return call.demoLoad(ctx, cluster, seed)
}

func (call *invocation) demoJob(cluster *ptcluster.Cluster, entry *ptcluster.Entry, job demoJob) (err error) {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"profile":%q,"submission":%q,"tasks":[`, job.profile, job.key)
	for i := range job.tasks {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"payload":{"runMillis":%d,"nonce":"%s-%d"}}`, job.runMillis, job.profile, i)
	}
	body.WriteString("]}")
	started := time.Now()
	response, err := cluster.Client.Post(entry.URL()+"/v1/jobs", "application/json", &body)
	if err != nil {
		return errors.Wrap(err, "send a job")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read a reply")
	}
	call.printf("%s: %-18s %2d tasks of %3d ms -> %d after %4d ms: %s\n", entry.Name, job.profile, job.tasks, job.runMillis,
		response.StatusCode, time.Since(started).Milliseconds(), shorten(text))
	if (response.StatusCode == http.StatusOK) != (job.profile != "noSuchProfile") {
		return errors.Errorf("%s: unexpected status %d", job.profile, response.StatusCode)
	}
	return nil
}

func shorten(text []byte) string {
	text = bytes.TrimSpace(text)
	if len(text) > shownBytes {
		return string(text[:shownBytes]) + "…"
	}
	return string(text)
}

func (call *invocation) demoLoad(ctx context.Context, cluster *ptcluster.Cluster, seed uint64) (report *ptload.Report, err error) {
	setting := ptload.Setting{
		Profile: "windingAnalysis", Jobs: 60, TasksPerJob: []int{1, 5, 20}, JobsPerSec: 12,
		RunTime: ptload.Lognormal{Median: 80 * time.Millisecond, P99: 400 * time.Millisecond}, Seed: seed,
	}
	call.printf("offering %d jobs of windingAnalysis to both entries\n", setting.Jobs)
	targets := Targets(cluster)
	// Two of the three upstreams run this service.
	targets.Slots = 2 * demoSlots
	return ptload.Run(ctx, ptload.NewPlan(setting, demoEntries), targets)
}

// closable is an output that can be closed; what is written later is dropped. It is safe
// for concurrent use.
type closable struct {
	mu     sync.Mutex
	output io.Writer
	closed bool
}

// Write implements io.Writer.
func (closable *closable) Write(text []byte) (size int, err error) {
	closable.mu.Lock()
	defer closable.mu.Unlock()
	if closable.closed {
		return len(text), nil
	}
	return closable.output.Write(text)
}

func (closable *closable) close() {
	closable.mu.Lock()
	defer closable.mu.Unlock()
	closable.closed = true
}
