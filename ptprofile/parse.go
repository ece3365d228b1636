package ptprofile

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// Kind is a kind of declaration.
type Kind string

// Kinds of declarations, as written in a file.
const (
	KindProfile  Kind = "profiles"
	KindTeam     Kind = "teams"
	KindUpstream Kind = "upstreams"
)

// Field describes one field of a declaration.
type Field struct {
	Kind        Kind
	Name        string
	Title       string
	Description string
	Allowed     string
	Since       string
	// set parses a value and stores it in target. It returns false if the value is not allowed.
	set func(target *declaration, value string) bool
}

// declaration holds a declaration of any kind while it is parsed.
type declaration struct {
	profile  Profile
	team     Team
	upstream Upstream
}

const (
	// fieldName is the name of a field that every kind of declaration has.
	fieldName = "name"

	allowedName     = "a letter, then letters, digits, '-' or '_', 63 at most"
	allowedDuration = "a duration from 1ms to 10m, such as 250ms or 2s"
	allowedCount    = "a whole number from 0"
)

var namePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]*$`)

// IsValidName reports whether text is a valid name of a process or a declaration.
func IsValidName(text string) bool {
	return len(text) <= maxNameLength && namePattern.MatchString(text)
}

// Fields lists every field of every declaration.
var Fields = []Field{
	{
		KindProfile, fieldName, "Name of the profile", "What callers put into the profile field of a job. Required.", allowedName, "1.0",
		func(d *declaration, v string) bool { d.profile.Name = ptid.ProfileName(v); return IsValidName(v) },
	},
	{
		KindProfile, "team", "Team whose quota counts", "The team that the profile's running tasks are counted for. Required.", allowedName, "1.0",
		func(d *declaration, v string) bool { d.profile.Team = ptid.TeamName(v); return IsValidName(v) },
	},
	{
		KindProfile, "service", "Service that can run it", "Only upstreams that announce this service get the profile's tasks. Required.", allowedName, "1.0",
		func(d *declaration, v string) bool { d.profile.Service = ptid.ServiceName(v); return IsValidName(v) },
	},
	{
		KindProfile, "idempotent", "Whether a task may run twice without harm", "A statement for readers and tools. The system starts a task at most once either way.", "true or false", "1.0",
		func(d *declaration, v string) bool { return setBool(&d.profile.Idempotent, v) },
	},
	{
		KindProfile, "submissions", "How submissions are kept apart", "plain: every submission is a job of its own. recorded: of all submissions with one key at most one runs; needs the platform's log.", "plain or recorded", "1.0",
		func(d *declaration, v string) bool {
			d.profile.Submissions = Submissions(v)
			return d.profile.Submissions == SubmissionsPlain || d.profile.Submissions == SubmissionsRecorded
		},
	},
	{
		KindProfile, "queueFor", "Longest wait before a start", "A task that has not started this long after its job arrived never starts.", allowedDuration, "1.0",
		func(d *declaration, v string) bool { return setDuration(&d.profile.QueueTimeout, v, maxQueueTimeout) },
	},
	{
		KindProfile, "runFor", "Longest run of one task", "A task that runs longer is cut off and counts as failed.", allowedDuration, "1.0",
		func(d *declaration, v string) bool { return setDuration(&d.profile.RunTimeout, v, maxRunTimeout) },
	},
	{
		KindProfile, "maxTasks", "Most tasks of a job", "A job with more tasks is refused.", "a whole number from 1 to 10000", "1.0",
		func(d *declaration, v string) bool {
			return setCount(&d.profile.MaxTasks, v) && d.profile.MaxTasks >= 1 && d.profile.MaxTasks <= MaxTasksLimit
		},
	},
	{
		KindProfile, "maxRunning", "Most tasks of the profile that run at once", "Counted across all entries. Zero refuses every job.", allowedCount, "1.0",
		func(d *declaration, v string) bool { return setCount(&d.profile.MaxRunning, v) },
	},
	{
		KindProfile, "favour", "What placement weighs more", "messages: an entry waits longer before it asks agents for slots. responseTime: it asks at once.", "messages or responseTime", "1.0",
		func(d *declaration, v string) bool {
			d.profile.Favour = Favour(v)
			return d.profile.Favour == FavourMessages || d.profile.Favour == FavourResponseTime
		},
	},
	{
		KindTeam, fieldName, "Name of the team", "What profiles refer to. Required.", allowedName, "1.0",
		func(d *declaration, v string) bool { d.team.Name = ptid.TeamName(v); return IsValidName(v) },
	},
	{
		KindTeam, "maxRunning", "Most tasks of the team that run at once", "Counted across all its profiles and all entries. Zero refuses every job.", allowedCount, "1.0",
		func(d *declaration, v string) bool { return setCount(&d.team.MaxRunning, v) },
	},
	{
		KindUpstream, fieldName, "Name of the upstream", "The name that its agent announces. Required.", allowedName, "1.0",
		func(d *declaration, v string) bool { d.upstream.Name = ptid.AgentName(v); return IsValidName(v) },
	},
	{
		KindUpstream, "state", "Declared state", "active: gets work. draining: finishes what it has. stopped: gets nothing.", "active, draining or stopped", "1.0",
		func(d *declaration, v string) bool {
			d.upstream.State = UpstreamState(v)
			return d.upstream.State == UpstreamActive || d.upstream.State == UpstreamDraining || d.upstream.State == UpstreamStopped
		},
	},
}

func setBool(target *bool, value string) (ok bool) {
	parsed, err := strconv.ParseBool(value)
	*target = parsed
	return err == nil && (value == "true" || value == "false")
}

func setCount(target *int, value string) (ok bool) {
	parsed, err := strconv.Atoi(value)
	*target = parsed
	return err == nil && parsed >= 0 && parsed <= Unlimited
}

func setDuration(target *time.Duration, value string, maximum time.Duration) (ok bool) {
	parsed, err := time.ParseDuration(value)
	*target = parsed
	return err == nil && parsed >= minDuration && parsed <= maximum
}

// Problem is one error in a file.
type Problem struct {
	File    string
	Line    int
	Field   string
	Message string
}

// Error implements error.
func (problem Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", problem.File, problem.Line, problem.Field, problem.Message)
}

// ProblemList holds all errors in a file.
type ProblemList []Problem

// Error implements error. It returns one line per problem.
func (problems ProblemList) Error() string {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Problems returns the problems in an error of Parse; nil if there are none.
func Problems(err error) (problems ProblemList) {
	errors.As(err, &problems)
	return problems
}

// parser holds the state of parsing one file.
type parser struct {
	file       string
	problems   ProblemList
	declaredAt map[string]int
}

func (parser *parser) addProblem(node *yaml.Node, field, format string, arguments ...any) {
	parser.problems = append(parser.problems, Problem{
		File: parser.file, Line: node.Line, Field: field, Message: fmt.Sprintf(format, arguments...),
	})
}

// Parse parses a file of declarations. An error is a [ProblemList].
func Parse(file string, text []byte) (declarations Declarations, err error) {
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		return Declarations{}, ProblemList{{File: file, Line: yamlLine(err), Field: "file", Message: "not YAML: " + err.Error()}}
	}
	parser := &parser{file: file, declaredAt: make(map[string]int)}
	if len(document.Content) == 1 {
		parser.parseDocument(document.Content[0], &declarations)
	}
	if len(parser.problems) > 0 {
		return Declarations{}, parser.problems
	}
	return declarations, nil
}

var yamlLinePattern = regexp.MustCompile(`line (\d+)`)

func yamlLine(err error) (line int) {
	if match := yamlLinePattern.FindStringSubmatch(err.Error()); match != nil {
		line, _ = strconv.Atoi(match[1])
	}
	return line
}

func (parser *parser) parseDocument(root *yaml.Node, declarations *Declarations) {
	if root.Kind != yaml.MappingNode {
		parser.addProblem(root, "file", "want a mapping with profiles, teams or upstreams")
		return
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		key, list := root.Content[i], root.Content[i+1]
		kind := Kind(key.Value)
		if kind != KindProfile && kind != KindTeam && kind != KindUpstream {
			parser.addProblem(key, key.Value, "unknown field; allowed: profiles, teams, upstreams")
			continue
		}
		if list.Kind != yaml.SequenceNode {
			parser.addProblem(list, key.Value, "want a list")
			continue
		}
		for _, item := range list.Content {
			parser.parseItem(kind, item, declarations)
		}
	}
}

func (parser *parser) parseItem(kind Kind, item *yaml.Node, declarations *Declarations) {
	if item.Kind != yaml.MappingNode {
		parser.addProblem(item, string(kind), "want a mapping with a name")
		return
	}
	target := &declaration{profile: NewProfile(), team: Team{MaxRunning: Unlimited}, upstream: Upstream{State: UpstreamActive}}
	given := make(map[string]bool)
	for i := 0; i+1 < len(item.Content); i += 2 {
		parser.parseField(kind, item.Content[i], item.Content[i+1], target, given)
	}
	for _, required := range requiredFields(kind) {
		if !given[required] {
			parser.addProblem(item, required, "missing; it is required")
		}
	}
	parser.addDeclaration(kind, item, target, declarations)
}

func requiredFields(kind Kind) []string {
	if kind == KindProfile {
		return []string{fieldName, "team", "service"}
	}
	return []string{fieldName}
}

func (parser *parser) parseField(kind Kind, key, value *yaml.Node, target *declaration, given map[string]bool) {
	field, found := lookupField(kind, key.Value)
	switch {
	case !found:
		parser.addProblem(key, key.Value, "unknown field; allowed: %s", strings.Join(fieldNames(kind), ", "))
	case given[key.Value]:
		parser.addProblem(key, key.Value, "given twice")
	case value.Kind != yaml.ScalarNode || !field.set(target, value.Value):
		parser.addProblem(value, key.Value, "%q is not allowed; allowed: %s", value.Value, field.Allowed)
	}
	given[key.Value] = true
}

func (parser *parser) addDeclaration(kind Kind, item *yaml.Node, target *declaration, declarations *Declarations) {
	var name string
	switch kind {
	case KindProfile:
		name = string(target.profile.Name)
		declarations.Profiles = append(declarations.Profiles, target.profile)
	case KindTeam:
		name = string(target.team.Name)
		declarations.Teams = append(declarations.Teams, target.team)
	case KindUpstream:
		name = string(target.upstream.Name)
		declarations.Upstreams = append(declarations.Upstreams, target.upstream)
	}
	key := string(kind) + "/" + name
	if line, duplicate := parser.declaredAt[key]; duplicate {
		parser.addProblem(item, fieldName, "%q was declared in line %d already", name, line)
	}
	parser.declaredAt[key] = item.Line
}

func lookupField(kind Kind, name string) (field Field, found bool) {
	for _, field := range Fields {
		if field.Kind == kind && field.Name == name {
			return field, true
		}
	}
	return Field{}, false
}

func fieldNames(kind Kind) (names []string) {
	for _, field := range Fields {
		if field.Kind == kind {
			names = append(names, field.Name)
		}
	}
	return names
}
