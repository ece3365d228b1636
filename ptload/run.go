package ptload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptstandin"
)

const (
	responseTimeout = 3 * time.Minute
	settleTime      = 300 * time.Millisecond
	nonceBatchSize  = 5000
	maxConnections  = 20_000
	scrapeTimeout   = 5 * time.Second
)

// Targets are the processes that a run uses.
type Targets struct {
	// Entries are the URLs of the entries for callers, Upstreams the URLs of the test doubles
	// of the upstreams, Agents the admin URLs of the agents.
	Entries   []string
	Upstreams []string
	Agents    []string
	// Slots is the number of slots of the ideal scheduler; zero means the number of slots in
	// the metrics of the entries.
	Slots int
}

// check returns an error if the host of a target is not a loopback IP address.
func (targets Targets) check() (err error) {
	for _, target := range append(append(append([]string(nil), targets.Entries...), targets.Upstreams...), targets.Agents...) {
		parsed, err := url.Parse(target)
		if err != nil {
			return errors.Wrap(err, "target")
		}
		if address := net.ParseIP(parsed.Hostname()); address == nil || !address.IsLoopback() {
			return errors.Errorf("target %s is not a loopback address", target)
		}
	}
	return nil
}

// result is the outcome of one job and the violations found in the reply to the job.
type result struct {
	status       int
	outcome      string
	reason       string
	responseTime time.Duration
	violations   []string
	// notRun contains the nonces of the tasks that were reported as not run.
	notRun []string
}

// runner is the state of one run.
type runner struct {
	plan    *Plan
	targets Targets
	client  *fasthttp.Client
	results []result
}

// Run submits the jobs of a plan to the targets and returns the measurements.
func Run(ctx context.Context, plan *Plan, targets Targets) (report *Report, err error) {
	defer func() { err = errors.Wrap(err, "load") }()
	if err := targets.check(); err != nil {
		return nil, err
	}
	runner := &runner{
		plan: plan, targets: targets, results: make([]result, len(plan.Jobs)),
		client: &fasthttp.Client{MaxConnsPerHost: maxConnections, ReadTimeout: responseTimeout, MaxResponseBodySize: 1 << 30, MaxIdemponentCallAttempts: 1},
	}
	before, err := runner.scrape()
	if err != nil {
		return nil, err
	}
	startsBefore, err := runner.starts()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	runner.submitJobs(ctx, started)
	elapsed := time.Since(started)
	time.Sleep(settleTime)
	after, err := runner.scrape()
	if err != nil {
		return nil, err
	}
	startsAfter, err := runner.starts()
	if err != nil {
		return nil, err
	}
	violations, err := runner.checkNotRun()
	if err != nil {
		return nil, err
	}
	for range startsAfter.Duplicates - startsBefore.Duplicates {
		violations = append(violations, "a task started twice")
	}
	return runner.report(elapsed, after.minus(before), violations), nil
}

// submitJobs submits every job at its scheduled arrival and waits for all replies.
func (runner *runner) submitJobs(ctx context.Context, started time.Time) {
	var group sync.WaitGroup
	for i := range runner.plan.Jobs {
		job := &runner.plan.Jobs[i]
		delay := time.Until(started.Add(job.At))
		if delay > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
		}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { runner.results[i] = runner.send(job, started.Add(job.At)) })
	}
	group.Wait()
}

func (runner *runner) send(job *Job, arrival time.Time) (got result) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(runner.targets.Entries[job.Entry] + "/v1/jobs")
	request.SetBodyRaw(encodeJob(string(runner.plan.Setting.Profile), job))
	err := runner.client.Do(request, response)
	got.responseTime = time.Since(arrival)
	if err != nil {
		got.outcome, got.reason = "lost", err.Error()
		return got
	}
	got.status = response.StatusCode()
	got.decode(job, response.Body())
	return got
}

// encodeJob returns the request body of a job.
func encodeJob(profile string, job *Job) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"profile":%q,"submission":%q,"tasks":[`, profile, job.Nonce)
	for i, runTime := range job.RunTimes {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"payload":{"runMillis":%g,"nonce":"%s"}}`, float64(runTime)/float64(time.Millisecond), taskNonce(job, i))
	}
	body.WriteString("]}")
	return body.Bytes()
}

func taskNonce(job *Job, index int) string { return fmt.Sprintf("%s-%d", job.Nonce, index) }

// decode decodes the reply to a job and checks it.
func (got *result) decode(job *Job, body []byte) {
	var reply struct {
		Job     string                   `json:"job"`
		Outcome string                   `json:"outcome"`
		Reason  string                   `json:"reason"`
		Answers []ptstandin.EchoResponse `json:"answers"`
		Tasks   []struct {
			State string `json:"state"`
		} `json:"tasks"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		got.outcome = "lost"
		got.violations = append(got.violations, "a reply is not valid JSON: "+err.Error())
		return
	}
	got.outcome, got.reason = reply.Outcome, reply.Reason
	switch reply.Outcome {
	case "complete":
		if len(reply.Answers) != len(job.RunTimes) {
			got.violations = append(got.violations, "a complete job has too few or too many answers")
			return
		}
		for i, answer := range reply.Answers {
			if answer.Nonce != taskNonce(job, i) || answer.Job != reply.Job || answer.Task != uint64(i) {
				got.violations = append(got.violations, "an answer belongs to another task")
			}
		}
	case "notRun":
		for i := range job.RunTimes {
			got.notRun = append(got.notRun, taskNonce(job, i))
		}
	default:
		for i, task := range reply.Tasks {
			if task.State == "notRun" {
				got.notRun = append(got.notRun, taskNonce(job, i))
			}
		}
	}
}

// checkNotRun queries the upstreams for tasks that were reported as not run but have started.
func (runner *runner) checkNotRun() (violations []string, err error) {
	var nonces []string
	for i := range runner.results {
		nonces = append(nonces, runner.results[i].notRun...)
	}
	for _, upstream := range runner.targets.Upstreams {
		for start := 0; start < len(nonces); start += nonceBatchSize {
			batch := nonces[start:min(start+nonceBatchSize, len(nonces))]
			var counts []int
			if err := runner.query(upstream+"/v1/nonces", batch, &counts); err != nil {
				return nil, err
			}
			for i, count := range counts {
				if count > 0 {
					violations = append(violations, "a task was reported as not run but has started: "+batch[i])
				}
			}
		}
	}
	return violations, nil
}

func (runner *runner) query(target string, body, reply any) (err error) {
	defer func() { err = errors.Wrapf(err, "query %s", target) }()
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(target)
	request.SetBodyRaw(encoded)
	if err := runner.client.DoTimeout(request, response, scrapeTimeout); err != nil {
		return err
	}
	return json.Unmarshal(response.Body(), reply)
}

// starts returns the sum of the start counts of all upstreams.
func (runner *runner) starts() (sum ptstandin.StartCounts, err error) {
	for _, upstream := range runner.targets.Upstreams {
		var counts ptstandin.StartCounts
		if err := runner.query(upstream+"/starts", nil, &counts); err != nil {
			return sum, err
		}
		sum.Starts += counts.Starts
		sum.Duplicates += counts.Duplicates
	}
	return sum, nil
}
