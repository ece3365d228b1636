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
	replyTimeout  = 3 * time.Minute
	settleWait    = 300 * time.Millisecond
	nonceBatch    = 5000
	mostConns     = 20_000
	scrapeTimeout = 5 * time.Second
)

// Targets are the processes that a run talks to.
type Targets struct {
	// Entries are the callers' URLs of entries, Upstreams the URLs of stand-ins,
	// Agents the admin URLs of agents.
	Entries   []string
	Upstreams []string
	Agents    []string
	// Slots is the number of slots for the ideal; zero takes the entries' metric.
	Slots int
}

// check refuses targets that are not on this machine.
func (targets Targets) check() (err error) {
	for _, target := range append(append(append([]string(nil), targets.Entries...), targets.Upstreams...), targets.Agents...) {
		parsed, err := url.Parse(target)
		if err != nil {
			return errors.Wrap(err, "target")
		}
		if address := net.ParseIP(parsed.Hostname()); address == nil || !address.IsLoopback() {
			return errors.Errorf("target %s: only loopback addresses are allowed", target)
		}
	}
	return nil
}

// result is what became of one job.
type result struct {
	status     int
	outcome    string
	reason     string
	response   time.Duration
	violations []string
	// notRun lists the nonces that the reply says have not run.
	notRun []string
}

// runner carries one run.
type runner struct {
	plan    *Plan
	targets Targets
	client  *fasthttp.Client
	results []result
}

// Run offers a plan and reports what came back.
func Run(ctx context.Context, plan *Plan, targets Targets) (report *Report, err error) {
	defer func() { err = errors.Wrap(err, "load") }()
	if err := targets.check(); err != nil {
		return nil, err
	}
	run := &runner{
		plan: plan, targets: targets, results: make([]result, len(plan.Jobs)),
		client: &fasthttp.Client{MaxConnsPerHost: mostConns, ReadTimeout: replyTimeout, MaxResponseBodySize: 1 << 30, MaxIdemponentCallAttempts: 1},
	}
	before, err := run.scrape()
	if err != nil {
		return nil, err
	}
	startsBefore, err := run.starts()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	run.offer(ctx, started)
	elapsed := time.Since(started)
	time.Sleep(settleWait)
	after, err := run.scrape()
	if err != nil {
		return nil, err
	}
	startsAfter, err := run.starts()
	if err != nil {
		return nil, err
	}
	violations, err := run.checkNotRun()
	if err != nil {
		return nil, err
	}
	for range startsAfter.Duplicates - startsBefore.Duplicates {
		violations = append(violations, "a task was started twice")
	}
	return run.report(elapsed, after.minus(before), violations), nil
}

// offer sends every job at its time and waits for all replies.
func (run *runner) offer(ctx context.Context, started time.Time) {
	var group sync.WaitGroup
	for i := range run.plan.Jobs {
		job := &run.plan.Jobs[i]
		wait := time.Until(started.Add(job.At))
		if wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { run.results[i] = run.send(job, started.Add(job.At)) })
	}
	group.Wait()
}

func (run *runner) send(job *Job, arrival time.Time) (got result) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(run.targets.Entries[job.Entry] + "/v1/jobs")
	request.SetBodyRaw(encodeJob(string(run.plan.Setting.Profile), job))
	err := run.client.Do(request, response)
	got.response = time.Since(arrival)
	if err != nil {
		got.outcome, got.reason = "lost", err.Error()
		return got
	}
	got.status = response.StatusCode()
	got.read(job, response.Body())
	return got
}

// encodeJob writes the body of a job.
func encodeJob(profile string, job *Job) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"profile":%q,"submission":%q,"tasks":[`, profile, job.Nonce)
	for i, run := range job.RunTimes {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"payload":{"runMillis":%g,"nonce":"%s"}}`, float64(run)/float64(time.Millisecond), taskNonce(job, i))
	}
	body.WriteString("]}")
	return body.Bytes()
}

func taskNonce(job *Job, index int) string { return fmt.Sprintf("%s-%d", job.Nonce, index) }

// read checks a reply against the job that it answers.
func (got *result) read(job *Job, body []byte) {
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
		got.violations = append(got.violations, "a reply is not whole: "+err.Error())
		return
	}
	got.outcome, got.reason = reply.Outcome, reply.Reason
	switch reply.Outcome {
	case "complete":
		if len(reply.Answers) != len(job.RunTimes) {
			got.violations = append(got.violations, "an answer is missing")
			return
		}
		for i, answer := range reply.Answers {
			if answer.Nonce != taskNonce(job, i) || answer.Job != reply.Job || answer.Task != uint64(i) {
				got.violations = append(got.violations, "an answer is not the caller's own")
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

// checkNotRun asks the upstreams whether tasks have started that were reported as
// not run.
func (run *runner) checkNotRun() (violations []string, err error) {
	var nonces []string
	for i := range run.results {
		nonces = append(nonces, run.results[i].notRun...)
	}
	for _, upstream := range run.targets.Upstreams {
		for start := 0; start < len(nonces); start += nonceBatch {
			batch := nonces[start:min(start+nonceBatch, len(nonces))]
			var counts []int
			if err := run.query(upstream+"/v1/nonces", batch, &counts); err != nil {
				return nil, err
			}
			for i, count := range counts {
				if count > 0 {
					violations = append(violations, "a task reported as not run has started: "+batch[i])
				}
			}
		}
	}
	return violations, nil
}

func (run *runner) query(target string, body, reply any) (err error) {
	defer func() { err = errors.Wrapf(err, "ask %s", target) }()
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
	if err := run.client.DoTimeout(request, response, scrapeTimeout); err != nil {
		return err
	}
	return json.Unmarshal(response.Body(), reply)
}

// starts sums the counts of all upstreams.
func (run *runner) starts() (sum ptstandin.StartCounts, err error) {
	for _, upstream := range run.targets.Upstreams {
		var counts ptstandin.StartCounts
		if err := run.query(upstream+"/starts", nil, &counts); err != nil {
			return sum, err
		}
		sum.Starts += counts.Starts
		sum.Duplicates += counts.Duplicates
	}
	return sum, nil
}
