// Package ptexplain makes the explain command and the operators' reference from
// the tables of reasons, declaration fields and metrics.
//
// # Usage
//
//	for _, topic := range ptexplain.Find("queueFor") { fmt.Print(topic) }
//	markdown := ptexplain.Reference()
//
// The reference page is committed as docs/REFERENCE.md; a test asserts that it is
// what Reference returns.
package ptexplain

import (
	"fmt"
	"strings"

	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptprofile"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

// Kind is a kind of topic.
type Kind string

// Kinds of topics.
const (
	KindReason Kind = "reason"
	KindField  Kind = "field"
	KindMetric Kind = "metric"
)

// Topic is one thing that can be explained.
type Topic struct {
	Kind  Kind
	Name  string
	Title string
	Text  string
	// Details are further lines, each with a label.
	Details []string
	Since   string
}

// String returns the topic as explain prints it.
func (topic Topic) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s (%s, since %s)\n  %s.\n  %s\n", topic.Name, topic.Kind, topic.Since, topic.Title, topic.Text)
	for _, detail := range topic.Details {
		fmt.Fprintf(&text, "  %s\n", detail)
	}
	return text.String()
}

// Topics lists everything.
func Topics() (topics []Topic) {
	for _, entry := range ptreason.Table {
		meaning := "A task with this reason has started, or may have."
		if entry.NotRun {
			meaning = "A task with this reason has not run and never will."
		}
		topics = append(topics, Topic{
			Kind: KindReason, Name: string(entry.Name), Title: entry.Title, Text: entry.Text, Since: entry.Since,
			Details: []string{meaning},
		})
	}
	for _, field := range ptprofile.Fields {
		topics = append(topics, Topic{
			Kind: KindField, Name: string(field.Kind) + "." + field.Name, Title: field.Title, Text: field.Description, Since: field.Since,
			Details: []string{"Allowed: " + field.Allowed + "."},
		})
	}
	for _, entry := range ptmetric.Table {
		topics = append(topics, Topic{
			Kind: KindMetric, Name: string(entry.Name), Title: entry.Title, Text: entry.Text, Since: entry.Since,
		})
	}
	return topics
}

// Find returns the topics of a name; fields are found with and without their kind.
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
	text.WriteString("# Reference\n\nMade from the tables in the code; `primrosetiller explain NAME` prints the same.\n")
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
