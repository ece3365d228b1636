package ptslope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptclaim"
	"github.com/primrosetiller/primrosetiller/ptconfig"
	"github.com/primrosetiller/primrosetiller/ptfollow"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlog"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// Target is the measured entry, and the log that it uses.
type Target struct {
	Callers string
	Agents  string
	Admin   string
	Log     string
	// Only names the one measurement to take; empty takes all.
	Only string
}

// bench holds what this process runs for the measured one.
type bench struct {
	target   Target
	log      ptlog.Log
	upstream *ptstandin.Upstream
	url      string
	client   fasthttp.Client
	rows     []Row
}

var (
	sessionSizes = []int{85, 170, 340, 680}
	waitingSizes = []int{5_000, 10_000, 20_000, 40_000}
	answerSizes  = []int{1, 2, 4, 7}
	profileSizes = []int{100, 200, 400, 800}
	changeSizes  = []int{10, 20, 40, 80}
	claimSizes   = []int{25, 50, 100, 200}
)

// MeasureEntry measures an entry that has just been started and has no agents.
func MeasureEntry(ctx context.Context, target Target) (rows []Row, err error) {
	defer func() { err = errors.Wrap(err, "measure an entry") }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bench, err := newBench(target)
	if err != nil {
		return nil, err
	}
	for _, measure := range []struct {
		name string
		take func(context.Context) error
	}{
		{"sessions", bench.sessions}, {"profiles", bench.profiles}, {"changes", bench.changes},
		{"answers", bench.answers}, {"claims", bench.claims}, {"waiting", bench.waiting},
	} {
		if target.Only != "" && target.Only != measure.name {
			continue
		}
		if err := measure.take(ctx); err != nil {
			return bench.rows, err
		}
	}
	return bench.rows, nil
}

func newBench(target Target) (made *bench, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	made = &bench{target: target, log: ptlog.New(target.Log), upstream: ptstandin.NewUpstream(), url: "http://" + listener.Addr().String()}
	made.client.MaxConnsPerHost = 1 << 14
	go func() { _ = made.upstream.Serve(listener) }()
	return made, nil
}

func (bench *bench) add(what, per, unit string, sizes, values []float64) {
	bench.rows = append(bench.rows, fit(what, per, unit, sizes, values))
}

func floats(sizes []int) (values []float64) {
	for _, size := range sizes {
		values = append(values, float64(size))
	}
	return values
}

// publishSet appends a change of declarations and returns its revision.
func (bench *bench) publishSet(ctx context.Context, set ptprofile.Declarations) (revision ptid.Revision, err error) {
	reader, err := ptfollow.Load(ctx, bench.log)
	if err != nil {
		return 0, err
	}
	decided, err := ptfollow.Apply(ctx, bench.log, reader, &ptconfig.Change{
		ID: ptconfig.NewChangeID(), BasedOn: reader.State().Revision, Set: set,
	})
	return decided.Revision, err
}

// apply publishes declarations and waits until the entry has them in force.
func (bench *bench) apply(ctx context.Context, set ptprofile.Declarations) (took time.Duration, err error) {
	started := time.Now()
	revision, err := bench.publishSet(ctx, set)
	if err != nil {
		return 0, err
	}
	_, err = until(ctx, bench.target.Admin, func(taken sample) bool {
		return taken.values[string(ptmetric.Revision)] >= float64(revision)
	})
	return time.Since(started), err
}

func profileSet(count int) (set ptprofile.Declarations) {
	for i := range count {
		profile := ptprofile.NewProfile()
		profile.Name, profile.Team, profile.Service = ptid.ProfileName(fmt.Sprintf("profile%d", i)), ptid.TeamName(fmt.Sprintf("team%d", i%68)), "service"
		profile.QueueTimeout, profile.RunTimeout = 5*time.Minute, time.Minute
		set.Profiles = append(set.Profiles, profile)
	}
	recorded := set.Profiles[0]
	recorded.Name, recorded.Submissions = "recorded", ptprofile.SubmissionsRecorded
	set.Profiles = append(set.Profiles, recorded)
	return set
}

// profiles measures memory and snapshot size by profile.
func (bench *bench) profiles(ctx context.Context) (err error) {
	var heap, snapshot []float64
	for _, size := range profileSizes {
		set := profileSet(size)
		if _, err := bench.apply(ctx, set); err != nil {
			return err
		}
		state := ptconfig.NewState()
		data, err := ptconfig.EncodeChange(&ptconfig.Change{ID: "x", Set: set})
		if err != nil {
			return err
		}
		state, _ = ptconfig.Fold(state, 0, data)
		encoded, err := ptconfig.EncodeSnapshot(state)
		if err != nil {
			return err
		}
		snapshot = append(snapshot, float64(len(encoded)))
		_, after, err := watch(ctx, bench.target.Admin)
		if err != nil {
			return err
		}
		heap = append(heap, after.values[residentBytes]/kilobyte)
	}
	bench.add("entry: resident memory by profile", "profile", "KB", floats(profileSizes), heap)
	bench.add("log, entry, agent: snapshot by profile", "profile", "bytes", floats(profileSizes), snapshot)
	return nil
}

// changes measures processor time by change, and how long one takes to be in force.
func (bench *bench) changes(ctx context.Context) (err error) {
	var cpu, record []float64
	longest := time.Duration(0)
	for _, size := range changeSizes {
		before, err := take(bench.target.Admin)
		if err != nil {
			return err
		}
		bytesSum := 0
		for i := range size {
			set := ptprofile.Declarations{Teams: []ptprofile.Team{{Name: ptid.TeamName(fmt.Sprintf("team%d", i%68)), MaxRunning: 1000 + i}}}
			data, err := ptconfig.EncodeChange(&ptconfig.Change{ID: ptconfig.NewChangeID(), Set: set})
			if err != nil {
				return err
			}
			bytesSum += len(data)
			took, err := bench.apply(ctx, set)
			if err != nil {
				return err
			}
			longest = max(longest, took)
		}
		after, err := take(bench.target.Admin)
		if err != nil {
			return err
		}
		cpu = append(cpu, growth(before, after, cpuSeconds)*1000)
		record = append(record, float64(bytesSum))
	}
	bench.add("entry: processor time by change, the reading of its metrics included", "change", "ms", floats(changeSizes), cpu)
	bench.add("log: bytes by change of one declaration", "change", "bytes", floats(changeSizes), record)
	bench.add("longest time from apply to force", "size", "ms", []float64{1, 2}, []float64{float64(longest.Milliseconds()), float64(longest.Milliseconds())})
	return nil
}

// sessions measures idle sessions with agents.
func (bench *bench) sessions(ctx context.Context) (err error) {
	var cpu, sent, received, messages, resident []float64
	started := 0
	for _, size := range sessionSizes {
		for ; started < size; started++ {
			if err := startAgent(ctx, fmt.Sprintf("agent%d", started), bench.target.Agents, bench.url, 1); err != nil {
				return err
			}
		}
		if _, err := until(ctx, bench.target.Admin, func(taken sample) bool {
			return taken.values[string(ptmetric.Sessions)] >= float64(size)
		}); err != nil {
			return err
		}
		before, after, err := watch(ctx, bench.target.Admin)
		if err != nil {
			return err
		}
		cpu = append(cpu, rate(before, after, cpuSeconds)*100)
		sent = append(sent, rate(before, after, bytesSeries("sent")))
		received = append(received, rate(before, after, bytesSeries("received")))
		messages = append(messages, rate(before, after, string(ptmetric.ControlMessages)+`{kind="heartbeat"}`)+
			rate(before, after, string(ptmetric.ControlMessages)+`{kind="acknowledgement"}`))
		resident = append(resident, after.values[residentBytes]/kilobyte)
	}
	sizes := floats(sessionSizes)
	bench.add("entry: processor time of idle sessions", "session", "% of a core", sizes, cpu)
	bench.add("entry: bytes sent to idle sessions", "session", "bytes/s", sizes, sent)
	bench.add("entry: bytes received from idle sessions", "session", "bytes/s", sizes, received)
	bench.add("entry: messages of idle sessions", "session", "messages/s", sizes, messages)
	bench.add("entry: resident memory of idle sessions", "session", "KB", sizes, resident)
	return nil
}

// post sends a job and does not look at the reply.
func (bench *bench) post(profile, key string, tasks int, payload string) (err error) {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"profile":%q,"submission":%q,"tasks":[`, profile, key)
	for i := range tasks {
		if i > 0 {
			body.WriteByte(',')
		}
		body.WriteString(`{"payload":` + payload + `}`)
	}
	body.WriteString("]}")
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(bench.target.Callers + "/v1/jobs")
	request.SetBodyRaw(body.Bytes())
	return bench.client.Do(request, response)
}

// answers measures the memory of kept answers.
func (bench *bench) answers(ctx context.Context) (err error) {
	var resident []float64
	done := 0
	for _, size := range answerSizes {
		for ; done < size*10; done++ {
			if err := bench.post("profile1", "", 1, `{"answerBytes":104857}`); err != nil {
				return err
			}
		}
		_, after, err := watch(ctx, bench.target.Admin)
		if err != nil {
			return err
		}
		resident = append(resident, after.values[residentBytes]/kilobyte)
	}
	bench.add("entry: resident memory by kept answers", "MB", "KB", floats(answerSizes), resident)
	return nil
}

// claims measures what recorded submissions cost the log.
func (bench *bench) claims(ctx context.Context) (err error) {
	var appends, sizes []float64
	at, claimed := ptid.Offset(0), 0
	for _, size := range claimSizes {
		var group sync.WaitGroup
		for i := range size {
			group.Go(func() { _ = bench.post("recorded", fmt.Sprintf("key-%d-%d", claimed, i), 1, `{"runMillis":1}`) })
		}
		group.Wait()
		claimed += size
		records, total := 0, 0
		for {
			batch, err := bench.log.Read(ctx, ptclaim.Stream, at, 1000, 0)
			if err != nil {
				return err
			}
			if len(batch.Records) == 0 {
				break
			}
			for _, record := range batch.Records {
				var decoded ptclaim.Record
				if json.Unmarshal(record.Data, &decoded) == nil {
					records++
					total += len(record.Data)
				}
				at = record.Offset + 1
			}
		}
		appends, sizes = append(appends, float64(records)), append(sizes, float64(total))
	}
	bench.add("log: appends by claims made at once", "claim", "appends", floats(claimSizes), appends)
	bench.add("log: bytes by claims", "claim", "bytes", floats(claimSizes), sizes)
	return nil
}

const (
	waitingJob = 200
	waitingRun = `{"runMillis":200000}`
	extraTasks = 800
)

// waiting measures the memory of tasks that wait at the entry.
func (bench *bench) waiting(ctx context.Context) (err error) {
	var resident []float64
	posted := 0
	for _, size := range waitingSizes {
		for ; posted < size+extraTasks; posted += waitingJob {
			go func() { _ = bench.post("profile2", "", waitingJob, waitingRun) }()
		}
		if _, err := until(ctx, bench.target.Admin, func(taken sample) bool {
			return taken.values[string(ptmetric.QueuedTasks)] >= float64(size-extraTasks)
		}); err != nil {
			return err
		}
		_, after, err := watch(ctx, bench.target.Admin)
		if err != nil {
			return err
		}
		resident = append(resident, after.values[residentBytes]/kilobyte)
	}
	bench.add("entry: resident memory by waiting task in jobs of 200", "task", "KB", floats(waitingSizes), resident)
	return nil
}
