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
	loadProfile  = "load"
	floodProfile = "flood"
	warmUpJobs   = 20
)

// loadOptions are the settings of the load tool.
type loadOptions struct {
	entries, upstreams, agents *[]string
	profile, tasks, runTime    *string
	weights, placements        *string
	jobs, slots                *int
	rate                       *float64
	seed                       *uint64
	asJSON                     *bool
	local                      localOptions
}

// localOptions say what the tool starts itself where no entries are named.
type localOptions struct {
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
	options.entries = flags.URLs("entries", "callers' URLs of entries; without any, the tool starts everything itself on loopback")
	options.upstreams = flags.URLs("upstreams", "URLs of upstream stand-ins, to be asked for doubled starts")
	options.agents = flags.URLs("agents", "admin URLs of agents, to be asked for processor time and memory")
	options.profile = flags.Name("profile", loadProfile, "profile of the jobs")
	options.jobs = flags.BoundedInt("jobs", 200, 1, 10_000_000, "number of jobs")
	options.tasks = flags.String("tasks-per-job", "20", "tasks of a job; several sizes with commas between them are mixed")
	options.rate = flags.Float64("rate", 10, "jobs a second; below zero: the part of the slots to be filled, such as -0.8")
	options.runTime = flags.String("run-time", "lognormal:200ms:2s", "run time: a duration, uniform:LO:HI or lognormal:MEDIAN:P99")
	options.seed = flags.Uint64("seed", 1, "seed of arrivals and run times")
	options.asJSON = flags.Bool("json", false, "print JSON")
	options.weights = flags.String("weights", "", "parts of the load for each entry, with commas between them")
	options.slots = flags.BoundedInt("slots", 0, 0, 1<<20, "slots of all upstreams for the ideal (0 asks the entries); without --entries, slots of each upstream (0 is 8)")
	options.placements = flags.String("placements", string(ptplace.Leases), "policies to run side by side, with commas between them; without --entries only")
	options.local.entries = flags.BoundedInt("local-entries", 2, 1, 64, "entries that the tool starts")
	options.local.agents = flags.BoundedInt("local-agents", 10, 1, 1000, "agents that the tool starts")
	options.local.ahead = flags.BoundedInt("ahead", ptcluster.DefaultPrefetch, 0, 1<<10, "tasks that may wait at an agent beyond the slots")
	options.local.moveAfter = flags.BoundedDuration("move-after", ptcluster.DefaultMoveThreshold, 0, time.Minute, "advantage in age from which a slot moves to another entry")
	options.local.recall = flags.Bool("recall", false, "let agents take back idle leases")
	options.local.queueFor = flags.BoundedDuration("queue-for", time.Minute, time.Millisecond, 10*time.Minute, "queueFor of the profile")
	options.local.order = ptsetting.Choice(flags, "order", "which job goes first", ptorder.Orders...)
	options.local.favour = ptsetting.Choice(flags, "favour", "what the profile favours", ptprofile.FavourResponseTime, ptprofile.FavourMessages)
	options.local.faults = flags.String("faults", "", "switches of upstream stand-ins, such as upstream1={\"fail\":true}, with semicolons between them")
	options.local.flood = flags.Float64("flood", 0, "part of the slots that another team asks for at the same time; its jobs are not reported; without --entries only")
	return options
}

func runLoad(ctx context.Context, call *invocation) (err error) {
	options := loadFlags(call.flags)
	if err := call.parse(); err != nil {
		return err
	}
	setting, err := options.setting()
	if err != nil {
		return usageError{err}
	}
	if len(*options.entries) > 0 {
		return call.loadRemote(ctx, options, setting)
	}
	return call.loadLocal(ctx, options, setting)
}

func (options loadOptions) setting() (setting ptload.Setting, err error) {
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

// fill turns a rate below zero into jobs a second that fill that part of the slots.
func fill(setting *ptload.Setting, slots int) {
	if setting.JobsPerSec > 0 {
		return
	}
	sum := 0
	for _, size := range setting.TasksPerJob {
		sum += size
	}
	work := float64(sum) / float64(len(setting.TasksPerJob)) * ptload.Mean(setting.RunTime).Seconds()
	setting.JobsPerSec = -setting.JobsPerSec * float64(slots) / work
}

func (call *invocation) loadRemote(ctx context.Context, options loadOptions, setting ptload.Setting) (err error) {
	fill(&setting, *options.slots)
	report, err := ptload.Run(ctx, ptload.NewPlan(setting, len(*options.entries)), ptload.Targets{
		Entries: *options.entries, Upstreams: *options.upstreams, Agents: *options.agents, Slots: *options.slots,
	})
	if err != nil {
		return err
	}
	return call.printReport(report, *options.asJSON)
}

func (call *invocation) printReport(report *ptload.Report, asJSON bool) (err error) {
	if asJSON {
		encoded, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return errors.Wrap(err, "write the report")
		}
		call.printf("%s\n", encoded)
	} else {
		report.Print(call.output)
	}
	if report.Violations > 0 {
		return errors.Errorf("%d violations", report.Violations)
	}
	return nil
}

// loadLocal runs the same jobs on a fresh cluster for each policy.
func (call *invocation) loadLocal(ctx context.Context, options loadOptions, setting ptload.Setting) (err error) {
	slots := *options.slots
	if slots == 0 {
		slots = 8
	}
	fill(&setting, slots**options.local.agents)
	for placement := range strings.SplitSeq(*options.placements, ",") {
		if !*options.asJSON {
			call.printf("== %s\n", placement)
		}
		report, err := call.loadOnce(ctx, options, setting, ptplace.Policy(placement), slots)
		if err != nil {
			return err
		}
		if err := call.printReport(report, *options.asJSON); err != nil {
			return err
		}
	}
	return nil
}

func (call *invocation) loadOnce(ctx context.Context, options loadOptions, setting ptload.Setting, placement ptplace.Policy, slots int) (report *ptload.Report, err error) {
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
	flooding := profile
	flooding.Name, flooding.Team = floodProfile, "flood"
	if err := cluster.Apply(ctx, ptprofile.Declarations{Profiles: []ptprofile.Profile{profile, flooding}}); err != nil {
		return nil, err
	}
	if err := setFaults(cluster, *local.faults); err != nil {
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
		stop := startFlood(ctx, setting, plan, *local.flood, slots**local.agents, *local.entries, targets)
		defer stop()
	}
	return ptload.Run(ctx, plan, targets)
}

// startFlood offers the jobs of another team for as long as a plan lasts. stop ends it.
func startFlood(ctx context.Context, setting ptload.Setting, plan *ptload.Plan, part float64, slots, entries int, targets ptload.Targets) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	setting.Profile, setting.JobsPerSec, setting.Seed = floodProfile, -part, setting.Seed+2
	fill(&setting, slots)
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

// Targets returns the parts of a cluster that the load tool talks to.
func Targets(cluster *ptcluster.Cluster) (targets ptload.Targets) {
	for _, entry := range cluster.Entries {
		targets.Entries = append(targets.Entries, entry.URL())
	}
	for _, agent := range cluster.Agents {
		targets.Upstreams = append(targets.Upstreams, agent.URL)
	}
	return targets
}

func setFaults(cluster *ptcluster.Cluster, text string) (err error) {
	for item := range strings.SplitSeq(text, ";") {
		name, switches, found := strings.Cut(strings.TrimSpace(item), "=")
		if !found {
			continue
		}
		var faults ptstandin.UpstreamFaults
		if err := json.Unmarshal([]byte(switches), &faults); err != nil {
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
