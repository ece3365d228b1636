package ptruntime_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptruntime"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

const start = ptid.Instant(1000 * time.Hour)

func values(queue ptid.ProfileName, seconds, weight float64) []ptruntime.Value {
	return []ptruntime.Value{{Queue: queue, Seconds: seconds, EstimateBias: 1.2, Weight: weight}}
}

// A value that is out of bounds would make an entry refuse all jobs of a queue, or none.
func TestMalformedValuesAreIgnored(test *testing.T) {
	expect := NewWithT(test)
	good := func() *ptwire.QueueRunTime {
		return &ptwire.QueueRunTime{Queue: "queue", Seconds: 0.3, EstimateBias: 1.2, Weight: 12}
	}
	messages := []*ptwire.QueueRunTime{nil, {}}
	for _, number := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e-9, 1e9} {
		for _, change := range []func(message *ptwire.QueueRunTime){
			func(message *ptwire.QueueRunTime) { message.Seconds = number },
			func(message *ptwire.QueueRunTime) { message.EstimateBias = number },
			func(message *ptwire.QueueRunTime) { message.Weight = number },
		} {
			message := good()
			change(message)
			messages = append(messages, message)
		}
	}
	for _, name := range []string{"", " ", "a\nb", strings.Repeat("a", 65)} {
		message := good()
		message.Queue = name
		messages = append(messages, message)
	}
	for _, value := range ptruntime.FromMessages(messages) {
		// Only a weight may be too high: it is capped.
		expect.Expect(value).To(Equal(ptruntime.Value{Queue: "queue", Seconds: 0.3, EstimateBias: 1.2, Weight: ptruntime.MaxWeight}))
	}
	expect.Expect(ptruntime.FromMessages(messages)).To(HaveLen(1))
	unknownBias := good()
	unknownBias.EstimateBias = 0
	expect.Expect(ptruntime.FromMessages([]*ptwire.QueueRunTime{good(), unknownBias})).To(HaveLen(2))
}

// A message of any number of queues must not grow the memory of an agent, and a greeting must stay
// below the 16 KiB that an entry accepts.
func TestQueuesAreBounded(test *testing.T) {
	expect := NewWithT(test)
	var messages []*ptwire.QueueRunTime
	for index := range 10_000 {
		name := fmt.Sprintf("queue%s%05d", strings.Repeat("x", 53), index)
		messages = append(messages, &ptwire.QueueRunTime{Queue: name, Seconds: 0.3, EstimateBias: 1, Weight: 50})
	}
	var table ptruntime.Table
	for first := range len(messages) / ptruntime.MaxQueues {
		part := ptruntime.FromMessages(messages[first*ptruntime.MaxQueues:])
		expect.Expect(part).To(HaveLen(ptruntime.MaxQueues))
		table.Merge(part, start.Add(time.Duration(first)))
	}
	held := table.Values(start.Add(time.Second))
	expect.Expect(held).To(HaveLen(ptruntime.MaxQueues))
	expect.Expect(string(held[0].Queue)).To(Equal(messages[len(messages)-ptruntime.MaxQueues].Queue), "the oldest values were dropped")
	frame := &ptwire.Frame{RunTimes: ptruntime.Messages(held)}
	expect.Expect(frame.SizeVT()).To(BeNumerically("<", 10<<10))
}

// An entry that has just restarted must not replace the value of one that has seen many runs, but the
// value of an entry that has stopped must not stay for ever either.
func TestMergeUsesWeightAndAge(test *testing.T) {
	expect := NewWithT(test)
	var table ptruntime.Table
	table.Merge(values("queue", 0.3, 100), start)
	table.Merge(values("queue", 0.9, 10), start.Add(time.Second))
	expect.Expect(table.Values(start.Add(time.Second))[0].Seconds).To(Equal(0.3))
	table.Merge(values("queue", 0.4, 100), start.Add(2*time.Second))
	expect.Expect(table.Values(start.Add(2 * time.Second))[0].Seconds).To(Equal(0.4))
	table.Merge(values("queue", 0.9, 10), start.Add(4*time.Minute))
	expect.Expect(table.Values(start.Add(4 * time.Minute))).To(Equal(values("queue", 0.9, 10)))
	// An aged value weighs less at the entry that receives it.
	expect.Expect(table.Values(start.Add(5 * time.Minute))).To(Equal(values("queue", 0.9, 5)))
	expect.Expect(table.Values(start.Add(30 * time.Minute))).To(Equal(values("queue", 0.9, 1)))
}

func TestValuesWithoutUpdateAreForgotten(test *testing.T) {
	expect := NewWithT(test)
	var table ptruntime.Table
	expect.Expect(table.Values(start)).To(BeEmpty())
	table.Merge(values("idle", 0.3, 100), start)
	table.Merge(values("used", 0.3, 100), start.Add(ptruntime.Retention-1))
	expect.Expect(table.Values(start.Add(ptruntime.Retention - 1))).To(HaveLen(2))
	left := table.Values(start.Add(ptruntime.Retention))
	expect.Expect(left).To(HaveLen(1))
	expect.Expect(left[0].Queue).To(BeEquivalentTo("used"))
}

// Each frame to each of some hundred agents would otherwise carry all queues.
func TestOnlyChangesAreSentAndNotTooOften(test *testing.T) {
	expect := NewWithT(test)
	var sender ptruntime.Sender
	now := start
	expect.Expect(sender.ToSend(nil, now)).To(BeEmpty())
	expect.Expect(sender.ToSend(values("queue", 0.3, 50), now)).To(HaveLen(1))
	now = now.Add(ptruntime.SendInterval - 1)
	expect.Expect(sender.ToSend(values("queue", 0.6, 50), now)).To(BeEmpty(), "too early")
	now++
	expect.Expect(sender.ToSend(values("queue", 0.32, 60), now)).To(BeEmpty(), "about the same")
	expect.Expect(sender.ToSend(append(values("queue", 0.32, 60), values("other", 1, 1)...), now)).To(Equal(values("other", 1, 1)))
	now = now.Add(ptruntime.SendInterval)
	expect.Expect(sender.ToSend(values("queue", 0.35, 60), now)).To(HaveLen(1))
	now = now.Add(ptruntime.SendInterval)
	expect.Expect(sender.ToSend(values("queue", 0.35, 100), now)).To(BeEmpty())
	// A value that is still updated must not be forgotten by agents because it stays the same.
	now = now.Add(ptruntime.Retention / 2)
	expect.Expect(sender.ToSend(values("queue", 0.35, 60), now)).To(BeEmpty(), "no new runs")
	expect.Expect(sender.ToSend(values("queue", 0.351, 100), now)).To(HaveLen(1))
}
