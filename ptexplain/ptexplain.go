// Package ptexplain generates the output of the explain command and the operators'
// reference page from the tables of reasons, declaration fields and metrics.
//
// # Usage
//
//	for _, topic := range ptexplain.Find("queueFor") { fmt.Print(topic) }
//	markdown := ptexplain.Reference()
//
// The reference page is committed as docs/REFERENCE.md; a test asserts that the file
// equals the result of [Reference].
package ptexplain

import (
	"fmt"
	"strings"

	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

// Kind is the kind of a topic.
type Kind string

// Kinds of topics.
const (
	KindReason Kind = "reason"
	KindField  Kind = "field"
	KindMetric Kind = "metric"
)

// Topic describes one reason of a refusal or failure, one field of a declaration (a profile, a
// team or an upstream), or one metric.
type Topic struct {
	Kind  Kind
	Name  string
	Title string
	Text  string
	// Details are additional lines of text.
	Details []string
	Since   string
}

// String returns the topic in the format of the explain command.
func (topic Topic) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s (%s, since %s)\n  %s.\n  %s\n", topic.Name, topic.Kind, topic.Since, topic.Title, topic.Text)
	for _, detail := range topic.Details {
		fmt.Fprintf(&text, "  %s\n", detail)
	}
	return text.String()
}

// Topics returns all topics.
func Topics() (topics []Topic) {
	for _, description := range ptreason.Table {
		startInfo := "A task with this reason has started, or may have."
		if description.NotRun {
			startInfo = "A task with this reason has not started and never will."
		}
		topics = append(topics, Topic{
			Kind: KindReason, Name: string(description.Name), Title: description.Title, Text: description.Text, Since: description.Since,
			Details: []string{startInfo},
		})
	}
	for _, field := range ptprofile.Fields {
		topics = append(topics, Topic{
			Kind: KindField, Name: string(field.Kind) + "." + field.Name, Title: field.Title, Text: field.Description, Since: field.Since,
			Details: []string{"Allowed: " + field.Allowed + "."},
		})
	}
	for _, description := range ptmetric.Table {
		topics = append(topics, Topic{
			Kind: KindMetric, Name: string(description.Name), Title: description.Title, Text: description.Text, Since: description.Since,
		})
	}
	return topics
}

// Find returns the topics with the given name. The name of a declaration field may be
// given with or without the kind of declaration as a prefix, as in "profiles.queueFor" or
// "queueFor".
func Find(name string) (found []Topic) {
	for _, topic := range Topics() {
		_, field, _ := strings.Cut(topic.Name, ".")
		if topic.Name == name || (topic.Kind == KindField && field == name) {
			found = append(found, topic)
		}
	}
	return found
}

// Reference returns the operators' reference page in Markdown.
func Reference() string {
	var text strings.Builder
	text.WriteString("# Reference\n\nGenerated from the tables in the code; `primrosetiller explain NAME` prints the same text.\n")
	sections := []struct {
		kind  Kind
		title string
	}{{KindReason, "Reasons"}, {KindField, "Fields of declarations"}, {KindMetric, "Metrics"}}
	for _, section := range sections {
		fmt.Fprintf(&text, "\n## %s\n", section.title)
		for _, topic := range Topics() {
			if topic.Kind != section.kind {
				continue
			}
			fmt.Fprintf(&text, "\n### %s\n\n%s. %s", topic.Name, topic.Title, topic.Text)
			for _, detail := range topic.Details {
				text.WriteString(" " + detail)
			}
			fmt.Fprintf(&text, " Since %s.\n", topic.Since)
		}
	}
	return text.String()
}
