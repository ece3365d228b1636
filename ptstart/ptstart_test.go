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

func taskAt(index int) ptid.TaskID {
	return ptid.TaskID{Job: "entry.1.1", Index: ptid.TaskIndex(index)}
}

// TestOneStart draws any sequence of calls and checks that a task starts once, never
// after a seal of its attempt, and that a record outlives what could start it.
func TestOneStart(t *testing.T) {
	ptassert.PanicOnFailure()
	rapid.Check(t, func(t *rapid.T) {
		table := ptstart.New()
		const deadline = ptid.Instant(1000)
		task := taskAt(0)
		now, starts := ptid.Instant(0), 0
		highest, sealedBelow, answered := ptid.Attempt(0), ptid.Attempt(0), false
		startBy := func(attempt ptid.Attempt) ptid.Instant { return 50 * ptid.Instant(attempt) }
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				// An entry sends a higher attempt only after the lower one was sealed or refused.
				attempt := ptid.Attempt(rapid.IntRange(1, int(sealedBelow)+1).Draw(t, "attempt"))
				highest = max(highest, attempt)
				table.Offer(task, attempt, startBy(attempt), deadline, now)
			},
			"start": func(t *rapid.T) {
				attempt := ptid.Attempt(rapid.IntRange(1, int(highest)+1).Draw(t, "attempt"))
				if table.Start(task, attempt, now) {
					starts++
					if attempt <= sealedBelow {
						t.Fatalf("attempt %d started after it was sealed", attempt)
					}
				}
				if starts > 1 {
					t.Fatalf("started %d times", starts)
				}
			},
			"seal": func(t *rapid.T) {
				if answered {
					// An entry that has acknowledged the answer does not ask.
					t.Skip("answered")
				}
				attempt := ptid.Attempt(rapid.IntRange(1, int(sealedBelow)+1).Draw(t, "attempt"))
				state := table.Seal(task, attempt, startBy(attempt))
				if state == ptstart.Sealed || state == ptstart.Refused {
					if starts > 0 {
						t.Fatalf("a started task was sealed")
					}
					sealedBelow = max(sealedBelow, attempt)
				}
			},
			"end": func(*rapid.T) { endIfRunning(table, task) },
			"acknowledge": func(*rapid.T) {
				answered = answered || table.State(task) == ptstart.Ended
				for attempt := range highest {
					table.Acknowledge(task, attempt+1)
				}
			},
			"pass": func(t *rapid.T) {
				// Nobody asks after the deadline, so the run ends before it.
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

// Inputs of the history that porcupine checks: one call on one task.
type call struct {
	kind    string
	task    int
	attempt ptid.Attempt
}

// register is the sequential model of one task: which attempt waits, whether it has
// started, and up to which attempt it was sealed.
type register struct {
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
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		now, _ := state.(register)
		made, _ := input.(call)
		got, _ := output.(bool)
		switch made.kind {
		case "offer":
			expected := !now.started && now.waiting == 0 && made.attempt > now.sealed
			if expected {
				now.waiting = made.attempt
			}
			return got == expected, now
		case "start":
			expected := !now.started && now.waiting == made.attempt && made.attempt > 0
			if expected {
				now.started, now.waiting = true, 0
			}
			return got == expected, now
		default:
			// Sealing succeeds unless the task has started.
			expected := !now.started
			if expected && made.attempt >= now.waiting {
				now.sealed, now.waiting = max(now.sealed, made.attempt), 0
			}
			return got == expected, now
		}
	},
}

// TestHistories runs concurrent callers on a table and checks that what they saw
// can be explained by calls one after another.
func TestHistories(t *testing.T) {
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
					made := call{kind: []string{"offer", "start", "seal"}[random.IntN(3)], task: random.IntN(tasks), attempt: ptid.Attempt(1 + random.IntN(3))}
					operation := porcupine.Operation{ClientId: worker, Input: made, Call: int64(time.Since(started))}
					operation.Output = execute(table, made)
					operation.Return = int64(time.Since(started))
					mu.Lock()
					history = append(history, operation)
					mu.Unlock()
				}
			})
		}
		group.Wait()
		if !porcupine.CheckOperations(model, history) {
			t.Fatalf("seed %d: the history of %d calls has no explanation", seed, len(history))
		}
	}
}

func execute(table *ptstart.Table, made call) bool {
	task := taskAt(made.task)
	const never = ptid.Instant(1 << 60)
	switch made.kind {
	case "offer":
		_, accepted := table.Offer(task, made.attempt, never, never, 0)
		return accepted
	case "start":
		return table.Start(task, made.attempt, 0)
	default:
		state := table.Seal(task, made.attempt, never)
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
