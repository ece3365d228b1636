// Package ptsetting reads the settings of a command from flags, environment variables
// and a YAML file. Flags take precedence over the environment, and the environment takes
// precedence over the file.
//
// # How it works
//
//  1. Every setting is a flag with a type that validates its values. The error for an
//     invalid value states its location, the setting and the allowed values.
//  2. The environment variable of a flag is PRIMROSETILLER_ followed by the name of the
//     flag in upper case, with '_' instead of '-'. In the file, the name of the flag is in
//     camel case.
//  3. The file is parsed into YAML nodes, so that every error states its line.
//
// # Usage
//
//	flags := ptsetting.NewFlags("entry", os.Stderr)
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

// Flags is the set of settings of one command.
type Flags struct {
	*flag.FlagSet
	required []string
	config   *string
}

// NewFlags returns a set with only the flag --config, which names the settings file. The usage
// message of the command is written to output.
func NewFlags(command string, output io.Writer) *Flags {
	flags := &Flags{FlagSet: flag.NewFlagSet(command, flag.ContinueOnError)}
	flags.SetOutput(output)
	flags.config = flags.FlagSet.String(configFlag, "", "YAML file with settings")
	return flags
}

// checkedValue is a flag.Value that validates its text.
type checkedValue struct {
	text    string
	allowed string
	check   func(text string) bool
	store   func(text string)
}

// String implements flag.Value.
func (checked *checkedValue) String() string { return checked.text }

// Set implements flag.Value.
func (checked *checkedValue) Set(text string) (err error) {
	if !checked.check(text) {
		return errors.Errorf("%q is not allowed; allowed: %s", text, checked.allowed)
	}
	checked.text = text
	checked.store(text)
	return nil
}

// addChecked adds a setting that is validated with check. store is called with initial and
// with every valid text. allowed describes the valid texts.
func (flags *Flags) addChecked(name, initial, usage, allowed string, check func(text string) bool, store func(text string)) {
	store(initial)
	flags.Var(&checkedValue{text: initial, allowed: allowed, check: check, store: store}, name, usage+" ("+allowed+")")
}

// Require makes [Flags.Parse] fail if one of the named settings is empty.
func (flags *Flags) Require(names ...string) { flags.required = append(flags.required, names...) }

// Name adds a setting whose value is a name that [ptprofile.IsValidName] accepts.
func (flags *Flags) Name(name, initial, usage string) (target *string) {
	target = new(string)
	flags.addChecked(name, initial, usage, "a letter, then letters, digits, '-' or '_', 63 at most",
		ptprofile.IsValidName, func(text string) { *target = text })
	return target
}

// Address adds a setting whose value is an IP address with a port.
func (flags *Flags) Address(name, initial, usage string) (target *string) {
	target = new(string)
	flags.addChecked(name, initial, usage, "IP:PORT", isAddress, func(text string) { *target = text })
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

// Addresses adds a setting whose value is a list of IP addresses with ports.
func (flags *Flags) Addresses(name, usage string) (target *[]string) {
	target = new([]string)
	flags.addChecked(name, "", usage, "IP:PORT, or several of them separated by commas", func(text string) bool {
		return !slices.ContainsFunc(splitList(text), func(item string) bool { return !isAddress(item) })
	}, func(text string) { *target = splitList(text) })
	return target
}

// URLs adds a setting whose value is a list of HTTP URLs.
func (flags *Flags) URLs(name, usage string) (target *[]string) {
	target = new([]string)
	flags.addChecked(name, "", usage, "http://IP:PORT, or several of them separated by commas", func(text string) bool {
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

// URL adds a setting whose value is an HTTP URL.
func (flags *Flags) URL(name, initial, usage string) (target *string) {
	target = new(string)
	flags.addChecked(name, initial, usage, "http://IP:PORT", isURL, func(text string) { *target = strings.TrimSuffix(text, "/") })
	return target
}

func isURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Scheme == "http" && isAddress(parsed.Host)
}

// Choice adds a setting whose value is one of values. The first value is the default.
func Choice[Value ~string](flags *Flags, name string, usage string, values ...Value) (target *Value) {
	target = new(Value)
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	flags.addChecked(name, texts[0], usage, strings.Join(texts, ", "),
		func(text string) bool { return slices.Contains(texts, text) },
		func(text string) { *target = Value(text) })
	return target
}

// BoundedInt adds a setting whose value is an integer from minimum to maximum.
func (flags *Flags) BoundedInt(name string, initial, minimum, maximum int, usage string) (target *int) {
	target = new(int)
	flags.addChecked(name, strconv.Itoa(initial), usage, fmt.Sprintf("a whole number from %d to %d", minimum, maximum),
		func(text string) bool {
			number, err := strconv.Atoi(text)
			return err == nil && number >= minimum && number <= maximum
		},
		func(text string) { *target, _ = strconv.Atoi(text) })
	return target
}

// BoundedDuration adds a setting whose value is a duration from minimum to maximum.
func (flags *Flags) BoundedDuration(name string, initial, minimum, maximum time.Duration, usage string) (target *time.Duration) {
	target = new(time.Duration)
	flags.addChecked(name, initial.String(), usage, fmt.Sprintf("a duration from %s to %s", minimum, maximum),
		func(text string) bool {
			duration, err := time.ParseDuration(text)
			return err == nil && duration >= minimum && duration <= maximum
		},
		func(text string) { *target, _ = time.ParseDuration(text) })
	return target
}

// Parse reads the settings from arguments, the environment and the settings file. Args returns
// the remaining arguments.
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

// parseFile parses a settings file and calls set for each setting. The error is of type
// ptprofile.ProblemList if settings are unknown or invalid.
func (flags *Flags) parseFile(file string, reader io.Reader, set func(name, value string) error) (err error) {
	text, err := io.ReadAll(reader)
	if err != nil {
		return errors.Wrapf(err, "read settings file %s", file)
	}
	var document yaml.Node
	if err := yaml.NewDecoder(bytes.NewReader(text)).Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil
		}
		return errors.Errorf("%s: not valid YAML: %v", file, err)
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

// setFromFile calls set for one setting of the file. It returns a description of the problem if
// the setting is unknown or invalid, and otherwise an empty string.
func (flags *Flags) setFromFile(key, value *yaml.Node, set func(name, value string) error) (problem string) {
	name := flagName(key.Value)
	found := flags.Lookup(name)
	if found == nil || name == configFlag {
		return "unknown field; allowed: " + strings.Join(flags.fieldNames(), ", ")
	}
	text := value.Value
	if value.Kind == yaml.SequenceNode {
		parts := make([]string, len(value.Content))
		for i, part := range value.Content {
			parts[i] = part.Value
		}
		text = strings.Join(parts, ",")
	}
	if checked, ok := found.Value.(*checkedValue); ok && !checked.check(text) {
		return fmt.Sprintf("%q is not allowed; allowed: %s", text, checked.allowed)
	}
	if err := set(name, text); err != nil {
		return err.Error()
	}
	return ""
}

// fieldNames returns the names of all settings in the spelling of the settings file.
func (flags *Flags) fieldNames() (names []string) {
	flags.VisitAll(func(found *flag.Flag) {
		if found.Name != configFlag {
			names = append(names, fieldName(found.Name))
		}
	})
	return names
}

// flagName converts the name of a setting from the camel case of the settings file to the kebab
// case of flags.
func flagName(field string) string {
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

// fieldName converts the name of a setting from the kebab case of flags to the camel case of
// the settings file.
func fieldName(name string) string {
	parts := strings.Split(name, "-")
	for i, part := range parts[1:] {
		if part != "" {
			parts[i+1] = strings.ToUpper(part[:1]) + part[1:]
		}
	}
	return strings.Join(parts, "")
}

// ReadFileOrStdin reads the file at path, or standard input if path is "-".
func ReadFileOrStdin(path string) (text []byte, err error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
