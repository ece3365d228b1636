package ptassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptrun"
)

// A task whose run the agent has stopped as a straggler must be placed again at once. Its next order names no
// queue, so that the task isn't stopped again and again if it is long by nature.
func TestTaskOfAStoppedStragglerIsPlacedAgainOnce(test *testing.T) {
	fixture := newSpeedFixture(test, true, 1, lowSpeeds...)
	_, sent := fixture.placeOn(0, 1, 170*time.Millisecond, start)
	fixture.expect.Expect(sent).To(HaveLen(1))
	fixture.expect.Expect(sent[0].Queue).To(BeEquivalentTo("speeds"))
	again := orders(fixture.RunEnded(sent[0].Agent, ptrun.End{Run: sent[0].Run, Result: ptrun.Stopped, Reason: ptrun.ReasonUnanswered}, at(60)))
	fixture.expect.Expect(again).To(HaveLen(1))
	fixture.expect.Expect(again[0].Run.Task).To(Equal(sent[0].Run.Task))
	fixture.expect.Expect(again[0].Queue).To(BeEmpty())
}
