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

// operatorTimeout bounds the duration of a command that reads or changes the configuration.
const operatorTimeout = 30 * time.Second

// injectFaults sets the faults of a test double from JSON. If encoded is empty, it changes
// nothing.
func injectFaults(double testDouble, encoded string) (err error) {
	if encoded == "" {
		return nil
	}
	switch double := double.(type) {
	case *ptstandin.Log:
		var faults ptstandin.LogFaults
		if err := json.Unmarshal([]byte(encoded), &faults); err != nil {
			return errors.Wrap(err, "--faults")
		}
		double.SetFaults(faults)
	case *ptstandin.Upstream:
		var faults ptstandin.UpstreamFaults
		if err := json.Unmarshal([]byte(encoded), &faults); err != nil {
			return errors.Wrap(err, "--faults")
		}
		double.SetFaults(faults)
	}
	return nil
}

// readDeclarations reads and parses a file of declarations, or standard input for "-".
func readDeclarations(path string) (declarations ptprofile.Declarations, err error) {
	if path == "" {
		return ptprofile.Declarations{}, usageError{errors.New("-f: missing; want a file of declarations, or - for standard input")}
	}
	text, err := ptsetting.ReadFileOrStdin(path)
	if err != nil {
		return ptprofile.Declarations{}, usageError{err}
	}
	return ptprofile.Parse(path, text)
}

func runValidate(_ context.Context, call *invocation) (err error) {
	file := call.flags.String("f", "", "file of declarations, or - for standard input")
	call.flags.URL("log", defaultLogURL, "URL of the platform's log; accepted but not used")
	if err := call.parse(); err != nil {
		return err
	}
	declarations, err := readDeclarations(*file)
	if err != nil {
		return err
	}
	call.printf("%s: %d profiles, %d teams, %d upstreams: valid\n", *file, len(declarations.Profiles), len(declarations.Teams), len(declarations.Upstreams))
	return nil
}

// configurationView is the configuration as read from the platform's log.
type configurationView struct {
	log    ptlog.Log
	reader *ptfollow.Reader
}

// parseAndLoad adds the flag --log, parses the settings, calls each of checks, and reads the
// configuration. The returned context expires after operatorTimeout; the caller must call
// cancel if err is nil.
func (call *invocation) parseAndLoad(ctx context.Context, checks ...func() error) (bounded context.Context, cancel context.CancelFunc, view configurationView, err error) {
	logURL := call.flags.URL("log", defaultLogURL, "URL of the platform's log")
	if err := call.parse(); err != nil {
		return nil, nil, configurationView{}, err
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return nil, nil, configurationView{}, err
		}
	}
	bounded, cancel = context.WithTimeout(ctx, operatorTimeout)
	if view, err = call.loadConfiguration(bounded, *logURL); err != nil {
		cancel()
		return nil, nil, configurationView{}, err
	}
	return bounded, cancel, view, nil
}

// loadConfiguration reads the configuration from the platform's log. It fails if the log no
// longer has all records and no snapshot replaces them.
func (call *invocation) loadConfiguration(ctx context.Context, logURL string) (view configurationView, err error) {
	view.log = ptlog.New(logURL)
	view.reader, err = ptfollow.Load(ctx, view.log)
	if err != nil {
		return configurationView{}, err
	}
	if !view.reader.Complete() {
		return configurationView{}, errors.New("configuration records have expired and no snapshot replaces them; a running entry writes a snapshot")
	}
	return view, nil
}

func runApply(ctx context.Context, call *invocation) (err error) {
	file := call.flags.String("f", "", "file of declarations, or - for standard input")
	logURL := call.flags.URL("log", defaultLogURL, "URL of the platform's log")
	basedOn := call.flags.Int64("based-on", -1, "revision on which the file is based; -1 means the revision in force")
	prune := call.flags.Bool("prune", false, "remove declarations that are not in the file")
	if err := call.parse(); err != nil {
		return err
	}
	declarations, err := readDeclarations(*file)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	view, err := call.loadConfiguration(ctx, *logURL)
	if err != nil {
		return err
	}
	change := &ptconfig.Change{ID: ptconfig.NewChangeID(), BasedOn: view.reader.State().Revision, Author: os.Getenv("USER"), Set: declarations}
	if *basedOn >= 0 {
		change.BasedOn = ptid.Revision(*basedOn)
	}
	if *prune {
		change.Remove = view.reader.State().KeysMissingFrom(declarations)
	}
	return call.applyChange(ctx, view, change)
}

// applyChange applies a change. It prints the new revision, or returns a conflictError if the
// change was rejected.
func (call *invocation) applyChange(ctx context.Context, view configurationView, change *ptconfig.Change) (err error) {
	result, err := ptfollow.Apply(ctx, view.log, view.reader, change)
	if err != nil {
		return err
	}
	if !result.Accepted {
		return conflictError{conflictText(view.reader.State(), change, result)}
	}
	call.printf("accepted: revision %d\n", result.Revision)
	return nil
}

// conflictText describes the declarations that were changed after the revision on which the
// rejected change is based.
func conflictText(state *ptconfig.State, change *ptconfig.Change, result ptconfig.ChangeResult) string {
	var text strings.Builder
	fmt.Fprintf(&text, "conflict: based on revision %d, revision %d is in force\n", change.BasedOn, state.Revision)
	inForce, submitted := encodeDeclarations(state.Declarations()), encodeDeclarations(change.Set)
	for _, key := range result.Conflicts {
		fmt.Fprintf(&text, "%s (changed at revision %d)\n  in force: %s\n  yours:    %s\n", key, state.ChangedAt[key], inForce[key], submitted[key])
	}
	return strings.TrimRight(text.String(), "\n")
}

// encodeDeclarations returns each declaration as one line of JSON.
func encodeDeclarations(declarations ptprofile.Declarations) (lines map[ptconfig.Key]string) {
	lines = make(map[ptconfig.Key]string)
	addLine := func(key ptconfig.Key, declaration any) {
		encoded, err := json.Marshal(declaration)
		if err == nil {
			lines[key] = string(encoded)
		}
	}
	for _, profile := range declarations.Profiles {
		addLine(ptconfig.ProfileKey(profile.Name), profile)
	}
	for _, team := range declarations.Teams {
		addLine(ptconfig.TeamKey(team.Name), team)
	}
	for _, upstream := range declarations.Upstreams {
		addLine(ptconfig.UpstreamKey(upstream.Name), upstream)
	}
	return lines
}

func runGet(ctx context.Context, call *invocation) (err error) {
	_, cancel, view, err := call.parseAndLoad(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	encoded, err := yaml.Marshal(view.reader.State().Declarations())
	if err != nil {
		return errors.Wrap(err, "encode declarations")
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

// setUpstream applies a change of the declared state of the upstream that the command names.
func setUpstream(ctx context.Context, call *invocation, state ptprofile.UpstreamState) (err error) {
	var name string
	ctx, cancel, view, err := call.parseAndLoad(ctx, func() (err error) {
		if name, err = call.singleArgument("the name of an upstream"); err == nil && !ptprofile.IsValidName(name) {
			err = usageError{errors.Errorf("%q is not the name of an upstream", name)}
		}
		return err
	})
	if err != nil {
		return err
	}
	defer cancel()
	return call.applyChange(ctx, view, &ptconfig.Change{
		ID: ptconfig.NewChangeID(), BasedOn: view.reader.State().Revision, Author: os.Getenv("USER"),
		Set: ptprofile.Declarations{Upstreams: []ptprofile.Upstream{{Name: ptid.AgentName(name), State: state}}},
	})
}

func runStatus(ctx context.Context, call *invocation) (err error) {
	ctx, cancel, view, err := call.parseAndLoad(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	state := view.reader.State()
	call.printf("revision   %d\nprofiles   %d\nteams      %d\n", state.Revision, len(state.Profiles), len(state.Teams))
	for _, upstream := range state.Declarations().Upstreams {
		call.printf("upstream   %s %s\n", upstream.Name, upstream.State)
	}
	registry := ptpresence.New(view.log, call.logger("status"))
	if err := registry.Refresh(ctx); err != nil {
		return errors.Wrap(err, "read the registry of entries")
	}
	for _, address := range registry.Addresses() {
		call.printf("entry      %s\n", address)
	}
	return nil
}

func runExplain(_ context.Context, call *invocation) (err error) {
	reference := call.flags.Bool("reference", false, "print the reference page in Markdown")
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
	name, err := call.singleArgument("the name of a reason, a profile field or a metric")
	if err != nil {
		return err
	}
	found := ptexplain.Find(name)
	if len(found) == 0 {
		return errors.Errorf("nothing is named %q; run explain without a name to list all names", name)
	}
	slices.SortFunc(found, func(left, right ptexplain.Topic) int { return strings.Compare(string(left.Kind), string(right.Kind)) })
	for _, topic := range found {
		call.printf("%s", topic.String())
	}
	return nil
}
