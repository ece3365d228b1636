package ptcmd

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptcluster"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptload"
	"github.com/primrosetiller/primrosetiller/ptorder"
	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptsetting"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

const (
	loadProfile      = "load"
	competingProfile = "flood"
	warmUpJobs       = 20
)

// loadOptions are the settings of the load command.
type loadOptions struct {
	entries, upstreams, agents *[]string
	profile, tasks, runTime    *string
	weights, placements        *string
	jobs, slots                *int
	rate                       *float64
	seed                       *uint64
	asJSON                     *bool
	local                      localClusterOptions
}

// localClusterOptions are the settings of the cluster that the load command starts itself if
// --entries is empty.
type localClusterOptions struct {
	entries, agents, ahead *int
	moveAfter              *time.Duration
	queueFor               *time.Duration
	order                  *ptorder.Order
	favour                 *ptprofile.Favour
	recall                 *bool
	faults                 *string
	flood                  *float64
}

func loadFlags(flags *ptsetting.Flags) (options loadOptions) {
	options.entries = flags.URLs("entries", "URLs at which entries accept jobs; if empty, the command starts a cluster of its own on loopback")
	options.upstreams = flags.URLs("upstreams", "URLs of upstream test doubles, from which the command reads the number of duplicate starts")
	options.agents = flags.URLs("agents", "admin URLs of agents, from which the command reads processor time and memory")
	options.profile = flags.Name("profile", loadProfile, "profile of the jobs")
	options.jobs = flags.BoundedInt("jobs", 200, 1, 10_000_000, "number of jobs")
	options.tasks = flags.String("tasks-per-job", "20", "number of tasks of a job, or a comma-separated list of numbers from which each job draws one")
	options.rate = flags.Float64("rate", 10, "jobs per second; a negative number is a target utilization of the slots, such as -0.8 for 80 percent")
	options.runTime = flags.String("run-time", "lognormal:200ms:2s", "run time: a duration, uniform:LO:HI or lognormal:MEDIAN:P99")
	options.seed = flags.Uint64("seed", 1, "seed of the random arrivals and run times")
	options.asJSON = flags.Bool("json", false, "print JSON")
	options.weights = flags.String("weights", "", "relative weights of the load on each entry, comma-separated")
	options.slots = flags.BoundedInt("slots", 0, 0, 1<<20, "slots of all upstreams in the ideal schedule (0 reads them from the entries); without --entries, slots of each upstream (0 means 8)")
	options.placements = flags.String("placements", string(ptplace.Leases), "placement policies to compare, comma-separated; only without --entries")
	options.local.entries = flags.BoundedInt("local-entries", 2, 1, 64, "number of entries that the command starts")
	options.local.agents = flags.BoundedInt("local-agents", 10, 1, 1000, "number of agents that the command starts")
	options.local.ahead = flags.BoundedInt("ahead", ptcluster.DefaultPrefetch, 0, 1<<10, "number of tasks that may wait at an agent in addition to the tasks in its slots")
	options.local.moveAfter = flags.BoundedDuration("move-after", ptcluster.DefaultMoveThreshold, 0, time.Minute, "a lease moves to another entry if the first waiting task of that entry is older by more than this duration")
	options.local.recall = flags.Bool("recall", false, "let agents recall idle leases")
	options.local.queueFor = flags.BoundedDuration("queue-for", time.Minute, time.Millisecond, 10*time.Minute, "queueFor of the profile")
	options.local.order = ptsetting.Choice(flags, "order", "order in which jobs are placed", ptorder.Orders...)
	options.local.favour = ptsetting.Choice(flags, "favour", "optimization goal of the profile", ptprofile.FavourResponseTime, ptprofile.FavourMessages)
	options.local.faults = flags.String("faults", "", "injected faults of upstream test doubles, such as upstream1={\"fail\":true}, separated by semicolons")
	options.local.flood = flags.Float64("flood", 0, "target utilization of the slots by a competing team, whose jobs are not reported; only without --entries")
	return options
}

func runLoad(ctx context.Context, call *invocation) (err error) {
	options := loadFlags(call.flags)
	if err := call.parse(); err != nil {
		return err
	}
	setting, err := options.loadSetting()
	if err != nil {
		return usageError{err}
	}
	if len(*options.entries) > 0 {
		return call.loadRunningEntries(ctx, options, setting)
	}
	return call.loadLocalClusters(ctx, options, setting)
}

func (options loadOptions) loadSetting() (setting ptload.Setting, err error) {
	setting = ptload.Setting{Profile: ptid.ProfileName(*options.profile), Jobs: *options.jobs, JobsPerSec: *options.rate, Seed: *options.seed}
	if setting.RunTime, err = ptload.ParseDistribution(*options.runTime); err != nil {
		return setting, errors.Wrap(err, "--run-time")
	}
	for text := range strings.SplitSeq(*options.tasks, ",") {
		size, err := strconv.Atoi(text)
		if err != nil || size < 1 || size > ptprofile.MaxTasksLimit {
			return setting, errors.Errorf("--tasks-per-job: %q is not allowed; allowed: whole numbers from 1 to %d", text, ptprofile.MaxTasksLimit)
		}
		setting.TasksPerJob = append(setting.TasksPerJob, size)
	}
	if *options.weights != "" {
		for text := range strings.SplitSeq(*options.weights, ",") {
			weight, err := strconv.ParseFloat(text, 64)
			if err != nil || weight < 0 {
				return setting, errors.Errorf("--weights: %q is not allowed; allowed: numbers from 0", text)
			}
			setting.Weights = append(setting.Weights, weight)
		}
	}
	return setting, nil
}

// resolveArrivalRate replaces a negative rate, which is a target utilization of the slots, by
// the number of jobs per second that gives this utilization.
func resolveArrivalRate(setting *ptload.Setting, slots int) {
	if setting.JobsPerSec > 0 {
		return
	}
	totalTasks := 0
	for _, size := range setting.TasksPerJob {
		totalTasks += size
	}
	slotSecondsPerJob := float64(totalTasks) / float64(len(setting.TasksPerJob)) * ptload.Mean(setting.RunTime).Seconds()
	setting.JobsPerSec = -setting.JobsPerSec * float64(slots) / slotSecondsPerJob
}

// loadRunningEntries offers the load to the entries named by --entries.
func (call *invocation) loadRunningEntries(ctx context.Context, options loadOptions, setting ptload.Setting) (err error) {
	resolveArrivalRate(&setting, *options.slots)
	report, err := ptload.Run(ctx, ptload.NewPlan(setting, len(*options.entries)), ptload.Targets{
		Entries: *options.entries, Upstreams: *options.upstreams, Agents: *options.agents, Slots: *options.slots,
	})
	if err != nil {
		return err
	}
	return call.printReport(report, *options.asJSON)
}

// printReport prints a report and returns an error if the report has violations.
func (call *invocation) printReport(report *ptload.Report, asJSON bool) (err error) {
	if asJSON {
		encoded, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode report")
		}
		call.printf("%s\n", encoded)
	} else {
		report.Print(call.output)
	}
	if report.Violations > 0 {
		return errors.Errorf("the report has %d violations", report.Violations)
	}
	return nil
}

// loadLocalClusters runs the same jobs once for each placement policy, each time on a new
// cluster.
func (call *invocation) loadLocalClusters(ctx context.Context, options loadOptions, setting ptload.Setting) (err error) {
	slots := *options.slots
	if slots == 0 {
		slots = 8
	}
	resolveArrivalRate(&setting, slots**options.local.agents)
	for placement := range strings.SplitSeq(*options.placements, ",") {
		if !*options.asJSON {
			call.printf("== %s\n", placement)
		}
		report, err := call.loadLocalCluster(ctx, options, setting, ptplace.Policy(placement), slots)
		if err != nil {
			return err
		}
		if err := call.printReport(report, *options.asJSON); err != nil {
			return err
		}
	}
	return nil
}

// loadLocalCluster starts a cluster with one placement policy, runs warm-up jobs and then the
// measured jobs, and stops the cluster.
func (call *invocation) loadLocalCluster(ctx context.Context, options loadOptions, setting ptload.Setting, placement ptplace.Policy, slots int) (report *ptload.Report, err error) {
	local := options.local
	cluster, err := ptcluster.Start(ptcluster.Setting{
		Entries: *local.entries, Agents: *local.agents, Slots: slots, Prefetch: *local.ahead, MoveThreshold: *local.moveAfter, Recall: *local.recall,
		Placement: placement, Order: *local.order, Seed: setting.Seed, Log: call.logger("load"),
	})
	if err != nil {
		return nil, err
	}
	defer cluster.Stop()
	profile := ptprofile.NewProfile()
	profile.Name, profile.Team, profile.Service = setting.Profile, "load", "service"
	profile.MaxTasks, profile.QueueTimeout, profile.Favour = ptprofile.MaxTasksLimit, *local.queueFor, *local.favour
	profile.RunTimeout = time.Minute
	competing := profile
	competing.Name, competing.Team = competingProfile, "flood"
	if err := cluster.Apply(ctx, ptprofile.Declarations{Profiles: []ptprofile.Profile{profile, competing}}); err != nil {
		return nil, err
	}
	if err := setUpstreamFaults(cluster, *local.faults); err != nil {
		return nil, usageError{err}
	}
	targets := Targets(cluster)
	warmUp := setting
	warmUp.Jobs, warmUp.RunTime, warmUp.Seed = warmUpJobs, ptload.Constant{RunTime: time.Millisecond}, setting.Seed+1
	warmUp.JobsPerSec = 100
	if _, err := ptload.Run(ctx, ptload.NewPlan(warmUp, *local.entries), targets); err != nil {
		return nil, err
	}
	plan := ptload.NewPlan(setting, *local.entries)
	if *local.flood > 0 {
		stop := startCompetingLoad(ctx, setting, plan, *local.flood, slots**local.agents, *local.entries, targets)
		defer stop()
	}
	return ptload.Run(ctx, plan, targets)
}

// startCompetingLoad offers jobs of another team in the background for the duration of plan.
// stop ends the load and waits for its goroutine.
func startCompetingLoad(ctx context.Context, setting ptload.Setting, plan *ptload.Plan, utilization float64, slots, entries int, targets ptload.Targets) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	setting.Profile, setting.JobsPerSec, setting.Seed = competingProfile, -utilization, setting.Seed+2
	resolveArrivalRate(&setting, slots)
	setting.Jobs = int(setting.JobsPerSec*plan.Jobs[len(plan.Jobs)-1].At.Seconds()) + 1
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = ptload.Run(ctx, ptload.NewPlan(setting, entries), targets)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Targets returns the URLs of the entries and the upstreams of a cluster for the load command.
func Targets(cluster *ptcluster.Cluster) (targets ptload.Targets) {
	for _, entry := range cluster.Entries {
		targets.Entries = append(targets.Entries, entry.URL())
	}
	for _, agent := range cluster.Agents {
		targets.Upstreams = append(targets.Upstreams, agent.URL)
	}
	return targets
}

// setUpstreamFaults injects faults into the upstreams of a cluster. assignments has the format
// of the flag --faults.
func setUpstreamFaults(cluster *ptcluster.Cluster, assignments string) (err error) {
	for assignment := range strings.SplitSeq(assignments, ";") {
		name, encoded, found := strings.Cut(strings.TrimSpace(assignment), "=")
		if !found {
			continue
		}
		var faults ptstandin.UpstreamFaults
		if err := json.Unmarshal([]byte(encoded), &faults); err != nil {
			return errors.Wrapf(err, "--faults: %s", name)
		}
		for _, agent := range cluster.Agents {
			if string(agent.Name) == name {
				agent.Upstream.SetFaults(faults)
			}
		}
	}
	return nil
}
