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
	// maxShownBytes is how many bytes of a response the demo prints.
	maxShownBytes = 160
)

// demoJob describes one job that the demo submits.
type demoJob struct {
	profile   string
	key       string
	tasks     int
	runMillis int
}

// demoJobs are submitted in this order. The first two have the same key, so that the demo shows
// a repeated submission.
var demoJobs = []demoJob{
	{"callbackBooking", "booking-4711", 3, 60},
	{"callbackBooking", "booking-4711", 3, 60},
	{"controllerCheck", "", 1, 50},
	{"windingAnalysis", "", 12, 200},
	{"hallSensorReading", "", 4, 80},
	{"partOrder", "order-815", 1, 70},
	{"noSuchProfile", "", 1, 1},
}

// runDemo runs a complete system in one process.
func runDemo(ctx context.Context, call *invocation) (err error) {
	seed := call.flags.Uint64("seed", 1, "seed of the load at the end")
	if err := call.parse(); err != nil {
		return err
	}
	report, err := call.runDemoCluster(ctx, *seed)
	if err != nil {
		return err
	}
	return call.printReport(report, false)
}

// runDemoCluster starts a cluster, submits the demo jobs, offers a load and stops the cluster.
// It returns the report of the load.
func (call *invocation) runDemoCluster(ctx context.Context, seed uint64) (report *ptload.Report, err error) {
	call.printf("starting a test double of the log, %d entries, and %d agents with a test double of an upstream each\n", demoEntries, demoAgents)
	logOutput := &closableWriter{output: call.errorOutput}
	cluster, err := ptcluster.Start(ptcluster.Setting{
		Entries: demoEntries, Agents: demoAgents, Slots: demoSlots, Prefetch: ptcluster.DefaultPrefetch,
		Services: []ptid.ServiceName{"callbackDesk", "benchDiagnostics", "benchDiagnostics"}, Seed: seed, Log: call.loggerTo(logOutput, "demo"),
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		// Discard the log lines of the shutdown: they would appear between the demo's output
		// and the report.
		logOutput.close()
		cluster.Stop()
	}()
	for _, file := range []struct {
		name string
		text []byte
	}{{"examples/gwasanaeth.yaml", ptexamples.Gwasanaeth}, {"examples/gulong.yaml", ptexamples.Gulong}} {
		declarations, err := ptprofile.Parse(file.name, file.text)
		if err != nil {
			return nil, err
		}
		if err := cluster.Apply(ctx, declarations); err != nil {
			return nil, err
		}
		call.printf("applied %s: revision %d in force at every entry\n", file.name, cluster.Entries[0].Entry.Revision())
	}
	for i, job := range demoJobs {
		if err := call.submitDemoJob(cluster, cluster.Entries[i%demoEntries], job); err != nil {
			return nil, err
		}
	}
	return call.offerDemoLoad(ctx, cluster, seed)
}

// submitDemoJob submits a job to an entry and prints the response. It returns an error if the
// status of the response is not 200. The profile noSuchProfile is not declared: a job with this
// profile must be refused, and submitDemoJob returns an error if its status is 200.
func (call *invocation) submitDemoJob(cluster *ptcluster.Cluster, entry *ptcluster.Entry, job demoJob) (err error) {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"profile":%q,"submission":%q,"tasks":[`, job.profile, job.key)
	for i := range job.tasks {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"payload":{"runMillis":%d,"nonce":"%s-%d"}}`, job.runMillis, job.profile, i)
	}
	body.WriteString("]}")
	startTime := time.Now()
	response, err := cluster.Client.Post(entry.URL()+"/v1/jobs", "application/json", &body)
	if err != nil {
		return errors.Wrap(err, "submit job")
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read response body")
	}
	call.printf("%s: %-18s %2d tasks of %3d ms -> %d after %4d ms: %s\n", entry.Name, job.profile, job.tasks, job.runMillis,
		response.StatusCode, time.Since(startTime).Milliseconds(), truncate(responseBody))
	if (response.StatusCode == http.StatusOK) != (job.profile != "noSuchProfile") {
		return errors.Errorf("%s: unexpected status %d", job.profile, response.StatusCode)
	}
	return nil
}

func truncate(text []byte) string {
	text = bytes.TrimSpace(text)
	if len(text) > maxShownBytes {
		return string(text[:maxShownBytes]) + "…"
	}
	return string(text)
}

// offerDemoLoad offers a load to the entries of the cluster and returns its report.
func (call *invocation) offerDemoLoad(ctx context.Context, cluster *ptcluster.Cluster, seed uint64) (report *ptload.Report, err error) {
	setting := ptload.Setting{
		Profile: "windingAnalysis", Jobs: 60, TasksPerJob: []int{1, 5, 20}, JobsPerSec: 12,
		RunTime: ptload.Lognormal{Median: 80 * time.Millisecond, P99: 400 * time.Millisecond}, Seed: seed,
	}
	call.printf("offering %d jobs of windingAnalysis to both entries\n", setting.Jobs)
	targets := Targets(cluster)
	// The profile windingAnalysis needs the service benchDiagnostics, which two of the three
	// upstreams offer.
	targets.Slots = 2 * demoSlots
	return ptload.Run(ctx, ptload.NewPlan(setting, demoEntries), targets)
}

// closableWriter is an io.Writer that can be closed. Data written after close is discarded. It
// is safe for concurrent use.
type closableWriter struct {
	mu     sync.Mutex
	output io.Writer
	closed bool
}

// Write implements io.Writer.
func (writer *closableWriter) Write(text []byte) (size int, err error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if writer.closed {
		return len(text), nil
	}
	return writer.output.Write(text)
}

func (writer *closableWriter) close() {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	writer.closed = true
}
