// Package ptprofile is the format of declarations: profiles, teams and upstreams
// as operators write them in YAML.
//
// # Usage
//
//	set, err := ptprofile.Parse("profiles.yaml", text)
//	for _, problem := range ptprofile.Problems(err) { fmt.Println(problem) }
//
// # Rules
//
//  1. Every error names file, line, field and what is allowed. All errors of a
//     file are reported at once.
//  2. Fields are described once, in [Fields]; the parser, the explain command and
//     the reference page are made from that table.
//  3. A parsed set is complete: every default has been filled in.
package ptprofile

import (
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// Submissions says how submissions of a profile are kept apart.
type Submissions string

const (
	// SubmissionsPlain makes every submission a job of its own.
	SubmissionsPlain Submissions = "plain"
	// SubmissionsRecorded runs at most one submission of each key.
	SubmissionsRecorded Submissions = "recorded"
)

// Favour says what the placement of a profile's tasks weighs more.
type Favour string

const (
	// FavourMessages weighs few messages more than response time.
	FavourMessages Favour = "messages"
	// FavourResponseTime weighs response time more than few messages.
	FavourResponseTime Favour = "responseTime"
)

// UpstreamState is the declared state of an upstream.
type UpstreamState string

const (
	// UpstreamActive upstreams get work.
	UpstreamActive UpstreamState = "active"
	// UpstreamDraining upstreams finish what they have and get nothing new.
	UpstreamDraining UpstreamState = "draining"
	// UpstreamStopped upstreams get nothing.
	UpstreamStopped UpstreamState = "stopped"
)

// Profile states how a kind of work is treated.
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

// Team holds a quota over all its profiles.
type Team struct {
	Name       ptid.TeamName `json:"name" yaml:"name"`
	MaxRunning int           `json:"maxRunning" yaml:"maxRunning"`
}

// Upstream declares the state of one upstream by its name.
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
	longestQueueFor     = 10 * time.Minute
	longestRunFor       = 10 * time.Minute
	shortestSpan        = time.Millisecond
	longestNameLength   = 63
)

// NewProfile returns a profile with every default.
func NewProfile() Profile {
	return Profile{
		Submissions: SubmissionsPlain, QueueTimeout: DefaultQueueTimeout, RunTimeout: DefaultRunTimeout,
		MaxTasks: DefaultMaxTasks, MaxRunning: Unlimited, Favour: FavourResponseTime,
	}
}
