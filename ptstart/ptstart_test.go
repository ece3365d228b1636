package ptstart_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptstart"
)

func taskID(index int) ptid.TaskID {
	return ptid.TaskID{Job: "entry.1.1", Index: ptid.TaskIndex(index)}
}

// TestOneStart makes random calls and checks that a task starts at most once and not after
// its attempt was sealed, and that its record is kept as long as an attempt could start.
func TestOneStart(t *testing.T) {
	ptassert.PanicOnFailure()
	rapid.Check(t, func(t *rapid.T) {
		table := ptstart.New()
		const deadline = ptid.Instant(1000)
		task := taskID(0)
		now, starts := ptid.Instant(0), 0
		highestOffered, sealedUpTo, answered := ptid.Attempt(0), ptid.Attempt(0), false
		startBy := func(attempt ptid.Attempt) ptid.Instant { return 50 * ptid.Instant(attempt) }
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				// An entry sends a higher attempt only after the lower one was sealed or refused.
				attempt := ptid.Attempt(rapid.IntRange(1, int(sealedUpTo)+1).Draw(t, "attempt"))
				highestOffered = max(highestOffered, attempt)
				table.Offer(task, attempt, startBy(attempt), deadline, now)
			},
			"start": func(t *rapid.T) {
				attempt := ptid.Attempt(rapid.IntRange(1, int(highestOffered)+1).Draw(t, "attempt"))
				if table.Start(task, attempt, now) {
					starts++
					if attempt <= sealedUpTo {
						t.Fatalf("attempt %d started after it was sealed", attempt)
					}
				}
				if starts > 1 {
					t.Fatalf("the task started %d times", starts)
				}
			},
			"seal": func(t *rapid.T) {
				if answered {
					// An entry that has acknowledged the answer does not ask for the state.
					t.Skip("answered")
				}
				attempt := ptid.Attempt(rapid.IntRange(1, int(sealedUpTo)+1).Draw(t, "attempt"))
				state := table.Seal(task, attempt, startBy(attempt))
				if state == ptstart.Sealed || state == ptstart.Refused {
					if starts > 0 {
						t.Fatalf("a started task was sealed")
					}
					sealedUpTo = max(sealedUpTo, attempt)
				}
			},
			"end": func(*rapid.T) { endIfRunning(table, task) },
			"acknowledge": func(*rapid.T) {
				answered = answered || table.State(task) == ptstart.Ended
				for attempt := range highestOffered {
					table.Acknowledge(task, attempt+1)
				}
			},
			"pass": func(t *rapid.T) {
				// An entry does not ask after the deadline, so now stays before the deadline.
				now = min(deadline-1, now+ptid.Instant(rapid.IntRange(0, 30).Draw(t, "span")))
				table.Expire(now)
			},
		})
	})
}

func endIfRunning(table *ptstart.Table, task ptid.TaskID) {
	if table.State(task) == ptstart.Running {
		table.End(task)
	}
}

// call is one call on one task, the input of an operation that porcupine checks.
type call struct {
	kind    string
	task    int
	attempt ptid.Attempt
}

// taskModel is the sequential model of one task: the waiting attempt, whether the task has
// started, and the highest sealed attempt.
type taskModel struct {
	waiting ptid.Attempt
	started bool
	sealed  ptid.Attempt
}

var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byTask := make(map[int][]porcupine.Operation)
		for _, operation := range history {
			input, _ := operation.Input.(call)
			byTask[input.task] = append(byTask[input.task], operation)
		}
		parts := make([][]porcupine.Operation, 0, len(byTask))
		for _, part := range byTask {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return taskModel{} },
	Step: func(state, input, output any) (bool, any) {
		current, _ := state.(taskModel)
		operation, _ := input.(call)
		got, _ := output.(bool)
		switch operation.kind {
		case "offer":
			expected := !current.started && current.waiting == 0 && operation.attempt > current.sealed
			if expected {
				current.waiting = operation.attempt
			}
			return got == expected, current
		case "start":
			expected := !current.started && current.waiting == operation.attempt && operation.attempt > 0
			if expected {
				current.started, current.waiting = true, 0
			}
			return got == expected, current
		default:
			// Seal succeeds unless the task has started.
			expected := !current.started
			if expected && operation.attempt >= current.waiting {
				current.sealed, current.waiting = max(current.sealed, operation.attempt), 0
			}
			return got == expected, current
		}
	},
}

// TestLinearizable makes concurrent calls on a table and checks that the results are
// linearizable.
func TestLinearizable(t *testing.T) {
	ptassert.PanicOnFailure()
	const workers, calls, tasks = 8, 60, 12
	for seed := range uint64(20) {
		table := ptstart.New()
		started := time.Now()
		var mu sync.Mutex
		var history []porcupine.Operation
		var group sync.WaitGroup
		for worker := range workers {
			group.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(worker)))
				for range calls {
					input := call{kind: []string{"offer", "start", "seal"}[random.IntN(3)], task: random.IntN(tasks), attempt: ptid.Attempt(1 + random.IntN(3))}
					operation := porcupine.Operation{ClientId: worker, Input: input, Call: int64(time.Since(started))}
					operation.Output = execute(table, input)
					operation.Return = int64(time.Since(started))
					mu.Lock()
					history = append(history, operation)
					mu.Unlock()
				}
			})
		}
		group.Wait()
		if !porcupine.CheckOperations(model, history) {
			t.Fatalf("seed %d: the history of %d calls is not linearizable", seed, len(history))
		}
	}
}

func execute(table *ptstart.Table, input call) bool {
	task := taskID(input.task)
	const never = ptid.Instant(1 << 60)
	switch input.kind {
	case "offer":
		_, accepted := table.Offer(task, input.attempt, never, never, 0)
		return accepted
	case "start":
		return table.Start(task, input.attempt, 0)
	default:
		state := table.Seal(task, input.attempt, never)
		return state == ptstart.Sealed || state == ptstart.Refused
	}
}

func BenchmarkOfferStartEnd(b *testing.B) {
	table := ptstart.New()
	for i := range b.N {
		task := ptid.TaskID{Job: ptid.JobID(fmt.Sprint("entry.1.", i/50)), Index: ptid.TaskIndex(i % 50)}
		table.Offer(task, 1, 100, 200, 1)
		table.Start(task, 1, 2)
		table.End(task)
		table.Acknowledge(task, 1)
		if i%10_000 == 0 {
			table.Expire(300)
		}
	}
}
