// Package ptprofile defines the YAML format of the declarations that operators write:
// profiles, teams and upstreams.
//
// # Usage
//
//	declarations, err := ptprofile.Parse("profiles.yaml", text)
//	for _, problem := range ptprofile.Problems(err) { fmt.Println(problem) }
//
// # Rules
//
//  1. Every error names the file, the line, the field and the allowed values. All errors in
//     a file are reported together.
//  2. Fields are described once, in [Fields]; the parser, the explain command and
//     the reference page use this table.
//  3. Parsed declarations are complete: omitted fields have their default values.
package ptprofile

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// Submissions is the deduplication mode of a profile's submissions.
type Submissions string

const (
	// SubmissionsPlain creates a separate job for every submission.
	SubmissionsPlain Submissions = "plain"
	// SubmissionsRecorded runs at most one of all submissions with the same key.
	SubmissionsRecorded Submissions = "recorded"
)

// Favour is the optimization goal for the placement of a profile's tasks.
type Favour string

const (
	// FavourMessages prefers fewer messages over shorter response times.
	FavourMessages Favour = "messages"
	// FavourResponseTime prefers shorter response times over fewer messages.
	FavourResponseTime Favour = "responseTime"
)

// UpstreamState is the declared state of an upstream.
type UpstreamState string

const (
	// UpstreamActive means that the upstream receives tasks.
	UpstreamActive UpstreamState = "active"
	// UpstreamDraining means that the upstream finishes its tasks and receives no new ones.
	UpstreamDraining UpstreamState = "draining"
	// UpstreamStopped means that the upstream receives no tasks.
	UpstreamStopped UpstreamState = "stopped"
)

// Profile defines how the tasks of one type are scheduled.
type Profile struct {
	Name         ptid.ProfileName `json:"name" yaml:"name"`
	Team         ptid.TeamName    `json:"team" yaml:"team"`
	Service      ptid.ServiceName `json:"service" yaml:"service"`
	Idempotent   bool             `json:"idempotent" yaml:"idempotent"`
	Submissions  Submissions      `json:"submissions" yaml:"submissions"`
	QueueTimeout time.Duration    `json:"queueFor" yaml:"queueFor"`
	RunTimeout   time.Duration    `json:"runFor" yaml:"runFor"`
	MaxTasks     int              `json:"maxTasks" yaml:"maxTasks"`
	MaxRunning   int              `json:"maxRunning" yaml:"maxRunning"`
	Favour       Favour           `json:"favour" yaml:"favour"`
}

// Team declares a quota for all profiles of a team.
type Team struct {
	Name       ptid.TeamName `json:"name" yaml:"name"`
	MaxRunning int           `json:"maxRunning" yaml:"maxRunning"`
}

// Upstream declares the state of an upstream.
type Upstream struct {
	Name  ptid.AgentName `json:"name" yaml:"name"`
	State UpstreamState  `json:"state" yaml:"state"`
}

// Declarations is a set of declarations.
type Declarations struct {
	Profiles  []Profile  `json:"profiles,omitempty" yaml:"profiles,omitempty"`
	Teams     []Team     `json:"teams,omitempty" yaml:"teams,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty" yaml:"upstreams,omitempty"`
}

// Limits and defaults of the fields.
const (
	// Unlimited is the default of maxRunning.
	Unlimited           = 1 << 20
	MaxTasksLimit       = 10_000
	DefaultMaxTasks     = 220
	DefaultQueueTimeout = 10 * time.Second
	DefaultRunTimeout   = 10 * time.Second
	maxQueueTimeout     = 10 * time.Minute
	maxRunTimeout       = 10 * time.Minute
	minDuration         = time.Millisecond
	maxNameLength       = 63
)

// NewProfile returns a profile with default values.
func NewProfile() Profile {
	return Profile{
		Submissions: SubmissionsPlain, QueueTimeout: DefaultQueueTimeout, RunTimeout: DefaultRunTimeout,
		MaxTasks: DefaultMaxTasks, MaxRunning: Unlimited, Favour: FavourResponseTime,
	}
}
