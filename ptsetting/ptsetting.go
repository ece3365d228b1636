// Package ptsetting reads the settings of a command: flags, then the environment,
// then a YAML file, in that order.
//
// # How it works
//
//  1. Every setting is a flag with a type that knows what is allowed. A wrong value
//     is answered with where it stands, the field and what is allowed.
//  2. In the environment a flag is PRIMROSETILLER_ and its name in capitals, in the
//     file its name in camel case.
//  3. The file is walked node by node, so that every error names its line.
//
// # Usage
//
//	flags := ptsetting.NewFlags("entry")
//	name := flags.Name("name", "", "name of this entry")
//	err := flags.Parse(arguments)
package ptsetting

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/primrosetiller/primrosetiller/ptprofile"
)

const (
	envPrefix  = "PRIMROSETILLER"
	configFlag = "config"
)

// Flags are the settings of one command.
type Flags struct {
	*flag.FlagSet
	required []string
	config   *string
}

// NewFlags returns the settings of a command. Usage is written to output.
func NewFlags(command string, output io.Writer) *Flags {
	flags := &Flags{FlagSet: flag.NewFlagSet(command, flag.ContinueOnError)}
	flags.SetOutput(output)
	flags.config = flags.FlagSet.String(configFlag, "", "YAML file with settings")
	return flags
}

// value is a flag with a rule for what is allowed.
type value struct {
	text    string
	allowed string
	check   func(text string) bool
	store   func(text string)
}

// String implements flag.Value.
func (value *value) String() string { return value.text }

// Set implements flag.Value.
func (value *value) Set(text string) (err error) {
	if !value.check(text) {
		return errors.Errorf("%q is not allowed; allowed: %s", text, value.allowed)
	}
	value.text = text
	value.store(text)
	return nil
}

func (flags *Flags) checked(name, initial, usage, allowed string, check func(text string) bool, store func(text string)) {
	store(initial)
	flags.Var(&value{text: initial, allowed: allowed, check: check, store: store}, name, usage+" ("+allowed+")")
}

// Require makes settings required.
func (flags *Flags) Require(names ...string) { flags.required = append(flags.required, names...) }

// Name adds the setting of a name.
func (flags *Flags) Name(name, initial, usage string) (target *string) {
	target = new(string)
	flags.checked(name, initial, usage, "a letter, then letters, digits, '-' or '_', 63 at most",
		ptprofile.IsValidName, func(text string) { *target = text })
	return target
}

// Address adds the setting of an IP address and port.
func (flags *Flags) Address(name, initial, usage string) (target *string) {
	target = new(string)
	flags.checked(name, initial, usage, "IP:PORT", isAddress, func(text string) { *target = text })
	return target
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// Addresses adds the setting of a list of addresses.
func (flags *Flags) Addresses(name, usage string) (target *[]string) {
	target = new([]string)
	flags.checked(name, "", usage, "IP:PORT, several with commas between them", func(text string) bool {
		return !slices.ContainsFunc(splitList(text), func(item string) bool { return !isAddress(item) })
	}, func(text string) { *target = splitList(text) })
	return target
}

// URLs adds the setting of a list of URLs.
func (flags *Flags) URLs(name, usage string) (target *[]string) {
	target = new([]string)
	flags.checked(name, "", usage, "http://IP:PORT, several with commas between them", func(text string) bool {
		return !slices.ContainsFunc(splitList(text), func(item string) bool { return !isURL(item) })
	}, func(text string) { *target = splitList(text) })
	return target
}

func splitList(text string) (items []string) {
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// URL adds the setting of an HTTP URL.
func (flags *Flags) URL(name, initial, usage string) (target *string) {
	target = new(string)
	flags.checked(name, initial, usage, "http://IP:PORT", isURL, func(text string) { *target = strings.TrimSuffix(text, "/") })
	return target
}

func isURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Scheme == "http" && isAddress(parsed.Host)
}

// Choice adds a setting with a few allowed values; the first is the initial one.
func Choice[Value ~string](flags *Flags, name string, usage string, values ...Value) (target *Value) {
	target = new(Value)
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	flags.checked(name, texts[0], usage, strings.Join(texts, ", "),
		func(text string) bool { return slices.Contains(texts, text) },
		func(text string) { *target = Value(text) })
	return target
}

// BoundedInt adds the setting of a whole number within bounds.
func (flags *Flags) BoundedInt(name string, initial, least, most int, usage string) (target *int) {
	target = new(int)
	flags.checked(name, strconv.Itoa(initial), usage, fmt.Sprintf("a whole number from %d to %d", least, most),
		func(text string) bool {
			number, err := strconv.Atoi(text)
			return err == nil && number >= least && number <= most
		},
		func(text string) { *target, _ = strconv.Atoi(text) })
	return target
}

// BoundedDuration adds the setting of a duration within bounds.
func (flags *Flags) BoundedDuration(name string, initial, least, most time.Duration, usage string) (target *time.Duration) {
	target = new(time.Duration)
	flags.checked(name, initial.String(), usage, fmt.Sprintf("a duration from %s to %s", least, most),
		func(text string) bool {
			span, err := time.ParseDuration(text)
			return err == nil && span >= least && span <= most
		},
		func(text string) { *target, _ = time.ParseDuration(text) })
	return target
}

// Parse reads the settings from arguments, environment and file. The remaining
// arguments are in Args.
func (flags *Flags) Parse(arguments []string) (err error) {
	file := ""
	err = ff.Parse(flags.FlagSet, arguments,
		ff.WithEnvVarPrefix(envPrefix),
		ff.WithConfigFileFlag(configFlag),
		ff.WithConfigFileParser(func(reader io.Reader, set func(name, value string) error) error {
			file = *flags.config
			return flags.parseFile(file, reader, set)
		}),
	)
	if err != nil {
		return err
	}
	for _, name := range flags.required {
		if found := flags.Lookup(name); found != nil && found.Value.String() == "" {
			return errors.Errorf("--%s: missing; allowed: %s", name, found.Usage)
		}
	}
	return nil
}

// parseFile walks a settings file.
func (flags *Flags) parseFile(file string, reader io.Reader, set func(name, value string) error) (err error) {
	text, err := io.ReadAll(reader)
	if err != nil {
		return errors.Wrapf(err, "read %s", file)
	}
	var document yaml.Node
	if err := yaml.NewDecoder(bytes.NewReader(text)).Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil
		}
		return errors.Errorf("%s: not YAML: %v", file, err)
	}
	root := document.Content[0]
	if root.Kind != yaml.MappingNode {
		return errors.Errorf("%s:%d: want a mapping of settings", file, root.Line)
	}
	var problems ptprofile.ProblemList
	for i := 0; i+1 < len(root.Content); i += 2 {
		if problem := flags.setFromFile(root.Content[i], root.Content[i+1], set); problem != "" {
			problems = append(problems, ptprofile.Problem{
				File: file, Line: root.Content[i].Line, Field: root.Content[i].Value, Message: problem,
			})
		}
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}

func (flags *Flags) setFromFile(key, item *yaml.Node, set func(name, value string) error) (problem string) {
	name := kebab(key.Value)
	found := flags.Lookup(name)
	if found == nil || name == configFlag {
		return "unknown field; allowed: " + strings.Join(flags.fields(), ", ")
	}
	text := item.Value
	if item.Kind == yaml.SequenceNode {
		parts := make([]string, len(item.Content))
		for i, part := range item.Content {
			parts[i] = part.Value
		}
		text = strings.Join(parts, ",")
	}
	if checked, ok := found.Value.(*value); ok && !checked.check(text) {
		return fmt.Sprintf("%q is not allowed; allowed: %s", text, checked.allowed)
	}
	if err := set(name, text); err != nil {
		return err.Error()
	}
	return ""
}

// fields lists the settings as they are spelled in a file.
func (flags *Flags) fields() (fields []string) {
	flags.VisitAll(func(found *flag.Flag) {
		if found.Name != configFlag {
			fields = append(fields, camel(found.Name))
		}
	})
	return fields
}

// kebab turns the spelling of a file into that of a flag.
func kebab(field string) string {
	var name strings.Builder
	for _, letter := range field {
		if letter >= 'A' && letter <= 'Z' {
			name.WriteByte('-')
			letter += 'a' - 'A'
		}
		name.WriteRune(letter)
	}
	return name.String()
}

// camel turns the spelling of a flag into that of a file.
func camel(name string) string {
	parts := strings.Split(name, "-")
	for i, part := range parts[1:] {
		if part != "" {
			parts[i+1] = strings.ToUpper(part[:1]) + part[1:]
		}
	}
	return strings.Join(parts, "")
}

// ReadFileOrStdin reads a file, or standard input for "-".
func ReadFileOrStdin(path string) (text []byte, err error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
