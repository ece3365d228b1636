package ptcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/primrosetiller/primrosetiller/ptconfig"
	"github.com/primrosetiller/primrosetiller/ptexplain"
	"github.com/primrosetiller/primrosetiller/ptfollow"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlog"
	"github.com/primrosetiller/primrosetiller/ptpresence"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptsetting"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// operateTimeout bounds a command of an operator.
const operateTimeout = 30 * time.Second

func applyFaults(served standin, text string) (err error) {
	if text == "" {
		return nil
	}
	switch served := served.(type) {
	case *ptstandin.Log:
		var faults ptstandin.LogFaults
		if err := json.Unmarshal([]byte(text), &faults); err != nil {
			return errors.Wrap(err, "--faults")
		}
		served.SetFaults(faults)
	case *ptstandin.Upstream:
		var faults ptstandin.UpstreamFaults
		if err := json.Unmarshal([]byte(text), &faults); err != nil {
			return errors.Wrap(err, "--faults")
		}
		served.SetFaults(faults)
	}
	return nil
}

func readDeclarations(path string) (set ptprofile.Declarations, err error) {
	if path == "" {
		return ptprofile.Declarations{}, usageError{errors.New("-f: missing; it names a file of declarations, or - for standard input")}
	}
	text, err := ptsetting.ReadFileOrStdin(path)
	if err != nil {
		return ptprofile.Declarations{}, usageError{err}
	}
	return ptprofile.Parse(path, text)
}

func runValidate(_ context.Context, call *invocation) (err error) {
	file := call.flags.String("f", "", "file of declarations, or - for standard input")
	call.flags.URL("log", defaultLog, "URL of the platform's log; not used")
	if err := call.parse(); err != nil {
		return err
	}
	set, err := readDeclarations(*file)
	if err != nil {
		return err
	}
	call.printf("%s: %d profiles, %d teams, %d upstreams: valid\n", *file, len(set.Profiles), len(set.Teams), len(set.Upstreams))
	return nil
}

// loaded is an operator's view of the configuration.
type loaded struct {
	log    ptlog.Log
	reader *ptfollow.Reader
}

// open parses the settings of a command that needs nothing but the configuration,
// makes further checks of them, and reads it. cancel ends what it has bounded in time.
func (call *invocation) open(ctx context.Context, checks ...func() error) (bounded context.Context, cancel context.CancelFunc, view loaded, err error) {
	logURL := call.flags.URL("log", defaultLog, "URL of the platform's log")
	if err := call.parse(); err != nil {
		return nil, nil, loaded{}, err
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return nil, nil, loaded{}, err
		}
	}
	bounded, cancel = context.WithTimeout(ctx, operateTimeout)
	if view, err = call.load(bounded, *logURL); err != nil {
		cancel()
		return nil, nil, loaded{}, err
	}
	return bounded, cancel, view, nil
}

func (call *invocation) load(ctx context.Context, logURL string) (view loaded, err error) {
	view.log = ptlog.New(logURL)
	view.reader, err = ptfollow.Load(ctx, view.log)
	if err != nil {
		return loaded{}, err
	}
	if !view.reader.Complete() {
		return loaded{}, errors.New("records of the configuration have expired and no snapshot covers them; an entry that runs writes one")
	}
	return view, nil
}

func runApply(ctx context.Context, call *invocation) (err error) {
	file := call.flags.String("f", "", "file of declarations, or - for standard input")
	logURL := call.flags.URL("log", defaultLog, "URL of the platform's log")
	basedOn := call.flags.Int64("based-on", -1, "revision that the file was made from; -1 takes the one in force")
	prune := call.flags.Bool("prune", false, "remove declarations that the file lacks")
	if err := call.parse(); err != nil {
		return err
	}
	set, err := readDeclarations(*file)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	view, err := call.load(ctx, *logURL)
	if err != nil {
		return err
	}
	change := &ptconfig.Change{ID: ptconfig.NewChangeID(), BasedOn: view.reader.State().Revision, Author: os.Getenv("USER"), Set: set}
	if *basedOn >= 0 {
		change.BasedOn = ptid.Revision(*basedOn)
	}
	if *prune {
		change.Remove = view.reader.State().KeysMissingFrom(set)
	}
	return call.publish(ctx, view, change)
}

// publish applies a change and says what became of it.
func (call *invocation) publish(ctx context.Context, view loaded, change *ptconfig.Change) (err error) {
	decided, err := ptfollow.Apply(ctx, view.log, view.reader, change)
	if err != nil {
		return err
	}
	if !decided.Accepted {
		return conflictError{conflictText(view.reader.State(), change, decided)}
	}
	call.printf("accepted: revision %d\n", decided.Revision)
	return nil
}

// conflictText shows what another operator has changed since.
func conflictText(state *ptconfig.State, change *ptconfig.Change, decided ptconfig.ChangeResult) string {
	var text strings.Builder
	fmt.Fprintf(&text, "conflict: based on revision %d, revision %d is in force\n", change.BasedOn, state.Revision)
	inForce, yours := describe(state.Declarations()), describe(change.Set)
	for _, key := range decided.Conflicts {
		fmt.Fprintf(&text, "%s (changed at revision %d)\n  in force: %s\n  yours:    %s\n", key, state.ChangedAt[key], inForce[key], yours[key])
	}
	return strings.TrimRight(text.String(), "\n")
}

// describe returns each declaration of a set in one line.
func describe(set ptprofile.Declarations) (lines map[ptconfig.Key]string) {
	lines = make(map[ptconfig.Key]string)
	line := func(key ptconfig.Key, declaration any) {
		encoded, err := json.Marshal(declaration)
		if err == nil {
			lines[key] = string(encoded)
		}
	}
	for _, profile := range set.Profiles {
		line(ptconfig.ProfileKey(profile.Name), profile)
	}
	for _, team := range set.Teams {
		line(ptconfig.TeamKey(team.Name), team)
	}
	for _, upstream := range set.Upstreams {
		line(ptconfig.UpstreamKey(upstream.Name), upstream)
	}
	return lines
}

func runGet(ctx context.Context, call *invocation) (err error) {
	_, cancel, view, err := call.open(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	encoded, err := yaml.Marshal(view.reader.State().Declarations())
	if err != nil {
		return errors.Wrap(err, "write the declarations")
	}
	call.printf("# revision %d\n%s", view.reader.State().Revision, encoded)
	return nil
}

func runDrain(ctx context.Context, call *invocation) error {
	return setUpstream(ctx, call, ptprofile.UpstreamDraining)
}

func runUndrain(ctx context.Context, call *invocation) error {
	return setUpstream(ctx, call, ptprofile.UpstreamActive)
}

func setUpstream(ctx context.Context, call *invocation, state ptprofile.UpstreamState) (err error) {
	var name string
	ctx, cancel, view, err := call.open(ctx, func() (err error) {
		if name, err = call.argument("the name of an upstream"); err == nil && !ptprofile.IsValidName(name) {
			err = usageError{errors.Errorf("%q is not the name of an upstream", name)}
		}
		return err
	})
	if err != nil {
		return err
	}
	defer cancel()
	return call.publish(ctx, view, &ptconfig.Change{
		ID: ptconfig.NewChangeID(), BasedOn: view.reader.State().Revision, Author: os.Getenv("USER"),
		Set: ptprofile.Declarations{Upstreams: []ptprofile.Upstream{{Name: ptid.AgentName(name), State: state}}},
	})
}

func runStatus(ctx context.Context, call *invocation) (err error) {
	ctx, cancel, view, err := call.open(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	state := view.reader.State()
	call.printf("revision   %d\nprofiles   %d\nteams      %d\n", state.Revision, len(state.Profiles), len(state.Teams))
	for _, upstream := range state.Declarations().Upstreams {
		call.printf("upstream   %s %s\n", upstream.Name, upstream.State)
	}
	presence := ptpresence.New(view.log, call.logger("status"))
	if err := presence.Refresh(ctx); err != nil {
		return errors.Wrap(err, "read the presence of entries")
	}
	for _, address := range presence.Addresses() {
		call.printf("entry      %s\n", address)
	}
	return nil
}

func runExplain(_ context.Context, call *invocation) (err error) {
	reference := call.flags.Bool("reference", false, "print the reference page")
	if err := call.parse(); err != nil {
		return err
	}
	if *reference {
		call.printf("%s", ptexplain.Reference())
		return nil
	}
	if call.flags.NArg() == 0 {
		for _, topic := range ptexplain.Topics() {
			call.printf("%-10s %-45s %s\n", topic.Kind, topic.Name, topic.Title)
		}
		return nil
	}
	name, err := call.argument("the name of a reason, a profile field or a metric")
	if err != nil {
		return err
	}
	found := ptexplain.Find(name)
	if len(found) == 0 {
		return errors.Errorf("nothing is named %q; explain without a name lists everything", name)
	}
	slices.SortFunc(found, func(left, right ptexplain.Topic) int { return strings.Compare(string(left.Kind), string(right.Kind)) })
	for _, topic := range found {
		call.printf("%s", topic.String())
	}
	return nil
}
