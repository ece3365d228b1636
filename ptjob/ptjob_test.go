package ptjob_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

// TestOutcomes sends a job random messages, some of them late, repeated or from another
// agent, and checks its outcome against a model of the tasks.
func TestOutcomes(t *testing.T) {
	ptassert.PanicOnFailure()
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 4).Draw(t, "tasks")
		job := ptjob.New(ptjob.Spec{ID: "entry.1.1", Tasks: make([]ptjob.Payload, count)})
		agents := []ptjob.AgentIncarnation{{Name: "a", Incarnation: 1}, {Name: "a", Incarnation: 2}, {Name: "b", Incarnation: 1}}
		attempts := make([]ptid.Attempt, count)
		sentTo := make([]ptjob.AgentIncarnation, count)
		open := make([]bool, count)
		states := make([]ptjob.State, count)
		ended := 0
		draw := func(t *rapid.T) (int, ptjob.AgentIncarnation, ptid.Attempt) {
			return rapid.IntRange(0, count-1).Draw(t, "task"), agents[rapid.IntRange(0, 2).Draw(t, "agent")],
				ptid.Attempt(rapid.IntRange(0, 3).Draw(t, "attempt"))
		}
		check := func(index int, agent ptjob.AgentIncarnation, attempt ptid.Attempt, transition ptjob.Transition, state ptjob.State) {
			expected := open[index] && sentTo[index] == agent && attempts[index] == attempt
			if transition.Accepted != expected {
				t.Fatalf("task %d: accepted %t, expected %t", index, transition.Accepted, expected)
			}
			if expected {
				open[index], states[index] = false, state
			}
			if transition.Ended {
				ended++
			}
		}
		body := func(index int) string { return fmt.Sprint("answer", index) }
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				index, agent, _ := draw(t)
				attempt, ok := job.MarkSent(ptid.TaskIndex(index), agent)
				if ok != (!open[index] && states[index] == ptjob.Queued) {
					t.Fatalf("task %d: MarkSent returned %t in state %s", index, ok, states[index])
				}
				if ok {
					open[index], sentTo[index], attempts[index] = true, agent, attempt
				}
			},
			"answer": func(t *rapid.T) {
				index, agent, attempt := draw(t)
				transition := job.RecordAnswer(ptid.TaskIndex(index), agent, attempt, ptjob.Answer{Body: []byte(body(index))})
				check(index, agent, attempt, transition, ptjob.Answered)
			},
			"fail": func(t *rapid.T) {
				index, agent, attempt := draw(t)
				check(index, agent, attempt, job.RecordFailure(ptid.TaskIndex(index), agent, attempt, ptreason.UpstreamStatus), ptjob.Failed)
			},
			"return": func(t *rapid.T) {
				index, agent, attempt := draw(t)
				transition, requeued := job.RecordRefusal(ptid.TaskIndex(index), agent, attempt, ptreason.Draining, rapid.Bool().Draw(t, "again"))
				state := ptjob.NotRun
				if requeued {
					state = ptjob.Queued
				}
				check(index, agent, attempt, transition, state)
			},
			"lose": func(t *rapid.T) {
				index, agent, attempt := draw(t)
				expected := open[index] && sentTo[index].Name == agent.Name && attempts[index] == attempt
				transition := job.RecordAgentLost(ptid.TaskIndex(index), agent.Name, attempt, ptreason.AgentLost)
				if expected {
					agent = sentTo[index]
				}
				check(index, agent, attempt, transition, ptjob.Unknown)
			},
			"withdraw": func(t *rapid.T) {
				transition := job.EndQueued(ptreason.Cancelled)
				for i := range states {
					if !open[i] && states[i] == ptjob.Queued {
						states[i] = ptjob.NotRun
					}
				}
				if transition.Ended {
					ended++
				}
			},
		})
		if job.Expire().Ended {
			ended++
		}
		for i := range states {
			switch {
			case open[i]:
				states[i] = ptjob.Unknown
			case states[i] == ptjob.Queued:
				states[i] = ptjob.NotRun
			}
		}
		if ended != 1 {
			t.Fatalf("the job ended %d times", ended)
		}
		verify(t, job.Outcome(), states, body)
	})
}

func verify(t *rapid.T, outcome ptjob.Outcome, states []ptjob.State, body func(index int) string) {
	counts := make(map[ptjob.State]int)
	for i, state := range states {
		counts[state]++
		if outcome.Tasks[i].State != state {
			t.Fatalf("task %d is reported as %s, expected %s", i, outcome.Tasks[i].State, state)
		}
	}
	expected := ptjob.ResultFailed
	switch len(states) {
	case counts[ptjob.Answered]:
		expected = ptjob.ResultComplete
	case counts[ptjob.NotRun]:
		expected = ptjob.ResultNotRun
	}
	if outcome.Result != expected {
		t.Fatalf("the result is %s, expected %s for task states %v", outcome.Result, expected, states)
	}
	if expected != ptjob.ResultComplete && outcome.Answers != nil {
		t.Fatalf("a job that is not complete has answers")
	}
	for i, answer := range outcome.Answers {
		if string(answer.Body) != body(i) {
			t.Fatalf("answer %d is %q", i, answer.Body)
		}
	}
}
