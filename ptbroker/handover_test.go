package ptbroker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptgraph"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// logOutages holds the clients that cannot reach the log.
type logOutages struct {
	mu           sync.Mutex
	disconnected map[string]bool
}

func (outages *logOutages) set(client string, disconnected bool) {
	outages.mu.Lock()
	defer outages.mu.Unlock()
	outages.disconnected[client] = disconnected
}

func (outages *logOutages) fault(_ ptstandin.JobStoreCall, client string) error {
	outages.mu.Lock()
	defer outages.mu.Unlock()
	if outages.disconnected[client] {
		return ptjobstore.ErrUnanswered
	}
	return nil
}

// handOverSeed returns the seed that CI uses, or the value of HANDOVER_SEED.
func handOverSeed() uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("HANDOVER_SEED"), 10, 64); err == nil {
		return seed
	}
	return 3
}

// Partitions change owners repeatedly while jobs are submitted. The entries lose their connection
// to the log one after the other. Each outage lasts until other entries have been assigned the
// partitions of the disconnected entry. Until its membership may have expired, the disconnected
// entry orders runs for the partitions that it believes it owns. Ownership changes are the only faults,
// so every task must start exactly once, whichever entry ordered it, and every accepted job must
// end.
func TestOwnershipChangesStartNoTaskTwice(test *testing.T) {
	const (
		brokers, tasks = 3, 2
		cycles         = 3
		// An entry loses the log for 2.4 s, longer than its membership lasts without a renewal.
		outageRounds, connectedRounds = 120, 60
		pause                         = 20 * time.Millisecond
	)
	system := newSystem(test, brokers, 3)
	for _, worker := range system.workers {
		worker.RunTime = 60 * time.Millisecond
	}
	outages := &logOutages{disconnected: make(map[string]bool)}
	system.store.SetFault(outages.fault)
	random := rand.New(rand.NewPCG(handOverSeed(), 1))
	var accepted []string
	ownerChanges := 0
	for cycle := range cycles {
		before, err := system.store.Owners(context.Background())
		system.expect.Expect(err).NotTo(HaveOccurred())
		client := fmt.Sprint("entry", cycle%brokers)
		outages.set(client, true)
		for index := range outageRounds + connectedRounds {
			if index == outageRounds {
				after, err := system.store.Owners(context.Background())
				system.expect.Expect(err).NotTo(HaveOccurred())
				for partition, member := range before {
					if after[partition] != member {
						ownerChanges++
					}
				}
				// The entry reconnects while it still believes that it owns partitions that
				// have another owner by now.
				outages.set(client, false)
			}
			id := fmt.Sprintf("%016x", random.Uint64())
			if system.brokers[random.IntN(brokers)].SubmitDurable(context.Background(), durableSpec(id, tasks)) == nil {
				accepted = append(accepted, id)
			}
			time.Sleep(pause)
		}
	}
	system.expect.Expect(ownerChanges).To(BeNumerically(">", 0))
	// Ended jobs are deleted after the retention time; jobs that have not ended never are.
	system.expect.Eventually(system.store.RecordCount).WithTimeout(conditionTimeout).Should(BeZero())
	for _, id := range accepted {
		for index := range tasks {
			started := 0
			for _, worker := range system.workers {
				started += len(worker.RunNumbers(ptrun.TaskID{Job: ptid.JobID(id), Index: ptid.TaskIndex(index)}))
			}
			system.expect.Expect(started).To(Equal(1), "%s, task %d", id, index)
		}
	}
	test.Logf("%d jobs, %d partition owner changes", len(accepted), ownerChanges)
}

// An earlier owner deleted the spec of an expired job and lost the partition before it deleted
// the progress. Without a spec nobody queries the job again, so the later owner must delete the
// progress.
func TestOrphanProgressIsDeleted(test *testing.T) {
	system := newSystem(test, 0, 0)
	const ended, open = "00000000000000a1", "00000000000000a2"
	for id, state := range map[ptid.JobID]ptgraph.State{ended: ptgraph.Completed, open: ptgraph.Running} {
		record, err := ptjobstore.Encode(ptjobstore.Progress{State: state, EndedOccurrences: 1, EndedAt: time.Now()})
		system.expect.Expect(err).NotTo(HaveOccurred())
		partition := ptjobstore.PartitionOf(id, system.store.Partitions())
		system.expect.Expect(system.store.Client("earlier").Save(context.Background(), partition, 0, 0, []ptjobstore.Record{{Key: string(id), Value: record}})).To(Succeed())
	}
	system.startBroker(0)
	system.startAgent(0)
	system.expect.Eventually(system.store.RecordCount).WithTimeout(conditionTimeout).Should(Equal(1))
	progress, err := system.store.Client("reader").Progress(context.Background(), ptjobstore.PartitionOf(open, system.store.Partitions()))
	system.expect.Expect(err).NotTo(HaveOccurred())
	progress = slices.DeleteFunc(progress, func(record ptjobstore.Record) bool { return record.Key == ptjobstore.AgentsKey })
	system.expect.Expect(progress).To(HaveLen(1), "progress of a job that has not ended, whose spec may still be written")
}
