package ptbroker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptkept"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// cuts says which clients are cut from the log.
type cuts struct {
	mu  sync.Mutex
	cut map[string]bool
}

func (cuts *cuts) set(client string, cut bool) {
	cuts.mu.Lock()
	defer cuts.mu.Unlock()
	cuts.cut[client] = cut
}

func (cuts *cuts) fault(_ ptstandin.JobStoreCall, client string) error {
	cuts.mu.Lock()
	defer cuts.mu.Unlock()
	if cuts.cut[client] {
		return ptkept.ErrUnanswered
	}
	return nil
}

// handOverSeed returns that of CI, or another by hand.
func handOverSeed() uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("HANDOVER_SEED"), 10, 64); err == nil {
		return seed
	}
	return 3
}

// Partitions change hands again and again while jobs come: entries are cut from the log in
// turn, for long enough that others get their partitions, and go on ordering meanwhile from
// what they believe to own. Nothing but hand-overs goes wrong, so every task starts once,
// whoever ordered it, and every accepted job ends.
func TestHandOversStartNothingTwice(test *testing.T) {
	const (
		brokers, tasks = 3, 2
		turns          = 3
		// An entry is cut for 2.4 s, longer than it keeps partitions without a word.
		whileCut, whileBack = 120, 60
		pause               = 20 * time.Millisecond
	)
	system := newSystem(test, brokers, 3)
	for _, worker := range system.workers {
		worker.RunTime = 60 * time.Millisecond
	}
	cuts := &cuts{cut: make(map[string]bool)}
	system.kept.SetFault(cuts.fault)
	random := rand.New(rand.NewPCG(handOverSeed(), 1))
	var accepted []string
	handedOver := 0
	for turn := range turns {
		before, err := system.kept.Owners(context.Background())
		system.expect.Expect(err).NotTo(HaveOccurred())
		cut := fmt.Sprint("entry", turn%brokers)
		cuts.set(cut, true)
		for index := range whileCut + whileBack {
			if index == whileCut {
				after, err := system.kept.Owners(context.Background())
				system.expect.Expect(err).NotTo(HaveOccurred())
				for partition, member := range before {
					if after[partition] != member {
						handedOver++
					}
				}
				// It is back while it still believes to own what another has by now.
				cuts.set(cut, false)
			}
			id := fmt.Sprintf("%016x", random.Uint64())
			if system.brokers[random.IntN(brokers)].SubmitDurable(context.Background(), keptSpec(id, tasks)) == nil {
				accepted = append(accepted, id)
			}
			time.Sleep(pause)
		}
	}
	system.expect.Expect(handedOver).To(BeNumerically(">", 0))
	// Jobs that have ended are forgotten after a while, others never.
	system.expect.Eventually(system.kept.RecordCount).WithTimeout(patience).Should(BeZero())
	for _, id := range accepted {
		for index := range tasks {
			started := 0
			for _, worker := range system.workers {
				started += len(worker.RunNumbers(ptrun.TaskID{Job: ptid.JobID(id), Index: ptid.TaskIndex(index)}))
			}
			system.expect.Expect(started).To(Equal(1), "%s, task %d", id, index)
		}
	}
	test.Logf("%d jobs, %d partitions handed over", len(accepted), handedOver)
}

// An owner took the spec of a long ended job away and lost the partition before the progress.
// Without its spec nobody asks for the job again, so the later owner takes the progress away.
func TestProgressThatAnEarlierOwnerLeftIsTakenAway(test *testing.T) {
	system := newSystem(test, 0, 0)
	const left, open = "00000000000000a1", "00000000000000a2"
	for id, state := range map[ptid.JobID]ptgraph.State{left: ptgraph.Completed, open: ptgraph.Running} {
		record, err := ptkept.Encode(ptkept.Progress{State: state, EndedOccurrences: 1, EndedAt: time.Now()})
		system.expect.Expect(err).NotTo(HaveOccurred())
		partition := ptkept.PartitionOf(id, system.kept.Partitions())
		system.expect.Expect(system.kept.Client("earlier").Save(context.Background(), partition, 0, 0, []ptkept.Record{{Key: string(id), Value: record}})).To(Succeed())
	}
	system.startBroker(0)
	system.startAgent(0)
	system.expect.Eventually(system.kept.RecordCount).WithTimeout(patience).Should(Equal(1))
	progress, err := system.kept.Client("reader").Progress(context.Background(), ptkept.PartitionOf(open, system.kept.Partitions()))
	system.expect.Expect(err).NotTo(HaveOccurred())
	system.expect.Expect(progress).To(HaveLen(1), "of a job that has not ended, whose spec may yet be read")
}
