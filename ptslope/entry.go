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

// Target contains the addresses of the measured entry and of the log that it uses. Callers, Admin
// and Log are base URLs; Agents is the address that agents dial.
type Target struct {
	Callers string
	Agents  string
	Admin   string
	Log     string
	// Only is the name of the only measurement to take; empty means all.
	Only string
}

// bench contains the clients and servers that this process runs for the measured process.
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

// MeasureEntry measures an entry that was just started and has no agents.
func MeasureEntry(ctx context.Context, target Target) (rows []Row, err error) {
	defer func() { err = errors.Wrap(err, "measure entry") }()
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
		{"sessions", bench.measureSessions}, {"profiles", bench.measureProfiles}, {"changes", bench.measureChanges},
		{"answers", bench.measureAnswers}, {"claims", bench.measureClaims}, {"waiting", bench.measureWaiting},
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

func newBench(target Target) (created *bench, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created = &bench{target: target, log: ptlog.New(target.Log), upstream: ptstandin.NewUpstream(), url: "http://" + listener.Addr().String()}
	created.client.MaxConnsPerHost = 1 << 14
	go func() { _ = created.upstream.Serve(listener) }()
	return created, nil
}

func (bench *bench) add(cost, per, unit string, sizes, values []float64) {
	bench.rows = append(bench.rows, fit(cost, per, unit, sizes, values))
}

func toFloats(sizes []int) (values []float64) {
	for _, size := range sizes {
		values = append(values, float64(size))
	}
	return values
}

// publish appends a change of declarations to the log and returns its revision.
func (bench *bench) publish(ctx context.Context, set ptprofile.Declarations) (revision ptid.Revision, err error) {
	reader, err := ptfollow.Load(ctx, bench.log)
	if err != nil {
		return 0, err
	}
	decided, err := ptfollow.Apply(ctx, bench.log, reader, &ptconfig.Change{
		ID: ptconfig.NewChangeID(), BasedOn: reader.State().Revision, Set: set,
	})
	return decided.Revision, err
}

// apply publishes declarations, waits until the entry has applied them, and returns the elapsed
// time.
func (bench *bench) apply(ctx context.Context, set ptprofile.Declarations) (elapsed time.Duration, err error) {
	started := time.Now()
	revision, err := bench.publish(ctx, set)
	if err != nil {
		return 0, err
	}
	_, err = waitFor(ctx, bench.target.Admin, func(current sample) bool {
		return current.values[string(ptmetric.Revision)] >= float64(revision)
	})
	return time.Since(started), err
}

func testDeclarations(count int) (set ptprofile.Declarations) {
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

// measureProfiles measures resident memory and snapshot size by the number of profiles.
func (bench *bench) measureProfiles(ctx context.Context) (err error) {
	var resident, snapshot []float64
	for _, size := range profileSizes {
		set := testDeclarations(size)
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
		_, after, err := sampleWindow(ctx, bench.target.Admin)
		if err != nil {
			return err
		}
		resident = append(resident, after.values[residentBytes]/kilobyte)
	}
	bench.add("entry: resident memory by profile", "profile", "KB", toFloats(profileSizes), resident)
	bench.add("log, entry, agent: snapshot by profile", "profile", "bytes", toFloats(profileSizes), snapshot)
	return nil
}

// measureChanges measures processor time and log bytes by the number of changes, and the longest
// time until a change is applied.
func (bench *bench) measureChanges(ctx context.Context) (err error) {
	var cpu, recordBytes []float64
	longest := time.Duration(0)
	for _, size := range changeSizes {
		before, err := scrape(bench.target.Admin)
		if err != nil {
			return err
		}
		totalBytes := 0
		for i := range size {
			set := ptprofile.Declarations{Teams: []ptprofile.Team{{Name: ptid.TeamName(fmt.Sprintf("team%d", i%68)), MaxRunning: 1000 + i}}}
			data, err := ptconfig.EncodeChange(&ptconfig.Change{ID: ptconfig.NewChangeID(), Set: set})
			if err != nil {
				return err
			}
			totalBytes += len(data)
			elapsed, err := bench.apply(ctx, set)
			if err != nil {
				return err
			}
			longest = max(longest, elapsed)
		}
		after, err := scrape(bench.target.Admin)
		if err != nil {
			return err
		}
		cpu = append(cpu, increase(before, after, cpuSeconds)*1000)
		recordBytes = append(recordBytes, float64(totalBytes))
	}
	bench.add("entry: processor time by change, including metric scrapes", "change", "ms", toFloats(changeSizes), cpu)
	bench.add("log: bytes by change of one declaration", "change", "bytes", toFloats(changeSizes), recordBytes)
	bench.add("longest time until a change is applied", "size", "ms", []float64{1, 2}, []float64{float64(longest.Milliseconds()), float64(longest.Milliseconds())})
	return nil
}

// measureSessions measures the cost of idle sessions by the number of agents.
func (bench *bench) measureSessions(ctx context.Context) (err error) {
	var cpu, sent, received, messages, resident []float64
	started := 0
	for _, size := range sessionSizes {
		for ; started < size; started++ {
			if err := startAgent(ctx, fmt.Sprintf("agent%d", started), bench.target.Agents, bench.url, 1); err != nil {
				return err
			}
		}
		if _, err := waitFor(ctx, bench.target.Admin, func(current sample) bool {
			return current.values[string(ptmetric.Sessions)] >= float64(size)
		}); err != nil {
			return err
		}
		before, after, err := sampleWindow(ctx, bench.target.Admin)
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
	sizes := toFloats(sessionSizes)
	bench.add("entry: processor time of idle sessions", "session", "% of a core", sizes, cpu)
	bench.add("entry: bytes sent to idle sessions", "session", "bytes/s", sizes, sent)
	bench.add("entry: bytes received from idle sessions", "session", "bytes/s", sizes, received)
	bench.add("entry: messages of idle sessions", "session", "messages/s", sizes, messages)
	bench.add("entry: resident memory of idle sessions", "session", "KB", sizes, resident)
	return nil
}

// post submits a job and ignores the reply.
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

// measureAnswers measures resident memory by the size of the retained answers.
func (bench *bench) measureAnswers(ctx context.Context) (err error) {
	var resident []float64
	done := 0
	for _, size := range answerSizes {
		for ; done < size*10; done++ {
			if err := bench.post("profile1", "", 1, `{"answerBytes":104857}`); err != nil {
				return err
			}
		}
		_, after, err := sampleWindow(ctx, bench.target.Admin)
		if err != nil {
			return err
		}
		resident = append(resident, after.values[residentBytes]/kilobyte)
	}
	bench.add("entry: resident memory by retained answers", "MB", "KB", toFloats(answerSizes), resident)
	return nil
}

// measureClaims measures the number and size of the log records by the number of claims. The
// claims are made by concurrent submissions with different keys to a profile with recorded
// submissions. A log record contains the claims of one group commit.
func (bench *bench) measureClaims(ctx context.Context) (err error) {
	var appends, sizes []float64
	offset, claimed := ptid.Offset(0), 0
	for _, size := range claimSizes {
		var group sync.WaitGroup
		for i := range size {
			group.Go(func() { _ = bench.post("recorded", fmt.Sprintf("key-%d-%d", claimed, i), 1, `{"runMillis":1}`) })
		}
		group.Wait()
		claimed += size
		records, total := 0, 0
		for {
			batch, err := bench.log.Read(ctx, ptclaim.Stream, offset, 1000, 0)
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
				offset = record.Offset + 1
			}
		}
		appends, sizes = append(appends, float64(records)), append(sizes, float64(total))
	}
	bench.add("log: appends by concurrent claims", "claim", "appends", toFloats(claimSizes), appends)
	bench.add("log: bytes by claims", "claim", "bytes", toFloats(claimSizes), sizes)
	return nil
}

const (
	tasksPerJob = 200
	longPayload = `{"runMillis":200000}`
	// extraTasks are submitted in addition to the tasks that have to wait, since the agents of
	// measureSessions run up to 680 tasks.
	extraTasks = 800
)

// measureWaiting measures resident memory by the number of tasks that wait at the entry.
func (bench *bench) measureWaiting(ctx context.Context) (err error) {
	var resident []float64
	posted := 0
	for _, size := range waitingSizes {
		for ; posted < size+extraTasks; posted += tasksPerJob {
			go func() { _ = bench.post("profile2", "", tasksPerJob, longPayload) }()
		}
		if _, err := waitFor(ctx, bench.target.Admin, func(current sample) bool {
			return current.values[string(ptmetric.QueuedTasks)] >= float64(size-extraTasks)
		}); err != nil {
			return err
		}
		_, after, err := sampleWindow(ctx, bench.target.Admin)
		if err != nil {
			return err
		}
		resident = append(resident, after.values[residentBytes]/kilobyte)
	}
	bench.add("entry: resident memory by waiting task in jobs of 200", "task", "KB", toFloats(waitingSizes), resident)
	return nil
}
