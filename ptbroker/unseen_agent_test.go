package ptbroker_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptassign"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjobstore"
	"github.com/primrosetiller/primrosetiller/ptrun"
	"github.com/primrosetiller/primrosetiller/ptstandin"
)

// Guards against review/8 (TWICE): an agent can't reach the log, so it does not learn of an entry that
// is added. Long afterwards this entry becomes the owner of partitions with runs at that agent.
func TestEntryThatHasNeverSeenAnAgentStartsNoTaskThatRunsThere(test *testing.T) {
	for name, endOwner := range map[string]func(system *system, relays []*ptstandin.Relay, outages *logOutages){
		"the earlier owner is stopped": func(system *system, _ []*ptstandin.Relay, _ *logOutages) {
			system.brokers[0].stop()
			<-system.brokers[0].done
		},
		"the earlier owner is cut off": func(_ *system, relays []*ptstandin.Relay, outages *logOutages) {
			for _, relay := range relays {
				relay.SetDown(true)
			}
			outages.set("entry0", true)
		},
		"the earlier owner can't reach the log": func(_ *system, _ []*ptstandin.Relay, outages *logOutages) {
			outages.set("entry0", true)
		},
		"another entry that has never seen the agent is the owner in between": func(system *system, _ []*ptstandin.Relay, _ *logOutages) {
			system.startBroker(2)
			system.brokers[0].stop()
			<-system.brokers[0].done
			time.Sleep(500 * time.Millisecond)
			system.brokers[1].stop()
			<-system.brokers[1].done
		},
	} {
		test.Run(name, func(test *testing.T) {
			test.Parallel()
			const unseen, jobs = 2, 6
			system, outages := newSystem(test, 0, 0), &logOutages{disconnected: make(map[string]bool)}
			system.store.SetFault(outages.fault)
			system.startBroker(0)
			var relays []*ptstandin.Relay
			for index := range unseen {
				relay, err := ptstandin.NewRelay(system.addresses[0])
				system.expect.Expect(err).NotTo(HaveOccurred())
				test.Cleanup(func() { _ = relay.Close() })
				relays = append(relays, relay)
				system.startAgentThatKnows(index, func() []string { return []string{relay.Address()} })
			}
			added := system.startBroker(1)
			startedAt := time.Now()
			system.expect.Eventually(func() int { return len(system.partitionsOf(added)) }).WithTimeout(conditionTimeout).Should(BeNumerically(">", 0))
			ids := system.idsOwnedBy(system.brokers[0], jobs)
			for _, id := range ids {
				system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(string(id), 1))).To(Succeed())
			}
			system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(jobs))
			system.startAgent(unseen)
			system.startAgent(unseen + 1)
			// The added entry is older than the time after which it used to trust the list of its sessions.
			time.Sleep(time.Until(startedAt.Add(ptassign.DurableRunLossTimeout + 500*time.Millisecond)))
			endOwner(system, relays, outages)
			system.expect.Consistently(func() int { return system.mostActive(ids) }).WithTimeout(9*time.Second).
				Should(BeNumerically("<=", 1), "active runs of one task")
			system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(jobs), "every task runs again")
		})
	}
}

// Guards against partitions that stand still for ptassign.DurableRunLossTimeout because an agent that can't
// reach the log does not know the next owner. An entry that it has a session with tells it.
func TestAgentLearnsOfAnAddedEntryFromAnotherEntry(test *testing.T) {
	system := newSystem(test, 0, 0)
	system.passOn = true
	system.startBroker(0)
	known := system.startBroker(1)
	seed := system.addresses[0]
	time.Sleep(500 * time.Millisecond)
	system.startAgentThatKnows(0, func() []string { return []string{seed} })
	system.expect.Eventually(known.Ready).WithTimeout(5*time.Second).Should(BeTrue(), "the agent is told at the start of its first session")
	added := system.startBroker(2)
	system.expect.Eventually(added.Ready).WithTimeout(5*time.Second).Should(BeTrue(), "the agent is told of an added entry")
}

// partitionsOf returns the partitions that a broker owns according to the log.
func (system *system) partitionsOf(broker *testBroker) (partitions map[ptjobstore.Partition]bool) {
	owners, err := system.store.Owners(context.Background())
	system.expect.Expect(err).NotTo(HaveOccurred())
	partitions = make(map[ptjobstore.Partition]bool)
	for partition, member := range owners {
		if member == broker.MemberID() {
			partitions[partition] = true
		}
	}
	return partitions
}

// idsOwnedBy returns job IDs in partitions of a broker.
func (system *system) idsOwnedBy(broker *testBroker, count int) (ids []ptid.JobID) {
	partitions := system.partitionsOf(broker)
	for number := 1; len(ids) < count; number++ {
		id := ptid.JobID(fmt.Sprintf("%016x", number))
		if partitions[ptjobstore.PartitionOf(id, system.store.Partitions())] {
			ids = append(ids, id)
		}
	}
	return ids
}

// mostActive returns the highest number of active runs of the first task of any of the jobs.
func (system *system) mostActive(ids []ptid.JobID) (most int) {
	for _, id := range ids {
		active := 0
		for _, worker := range system.workers {
			for _, run := range worker.ActiveRuns() {
				if run.Task == (ptrun.TaskID{Job: id}) {
					active++
				}
			}
		}
		most = max(most, active)
	}
	return most
}

// An owner is cut off from the log together with an agent, and the next owner shares no agent with it. The
// limit is in docs/PROMISES.md.
func TestTaskOfAnOwnerThatIsCutOffTogetherWithItsAgentRunsOnce(test *testing.T) {
	const jobs = 2
	system, outages := newSystem(test, 0, 0), &logOutages{disconnected: make(map[string]bool)}
	system.store.SetFault(outages.fault)
	system.startBroker(0)
	earlier := system.addresses[0]
	system.startAgentThatKnows(0, func() []string { return []string{earlier} })
	added := system.startBroker(1)
	next := system.addresses[1]
	system.expect.Eventually(func() int { return len(system.partitionsOf(added)) }).WithTimeout(conditionTimeout).Should(BeNumerically(">", 0))
	ids := system.idsOwnedBy(system.brokers[0], jobs)
	for _, id := range ids {
		system.expect.Expect(system.brokers[0].SubmitDurable(context.Background(), durableSpec(string(id), 1))).To(Succeed())
	}
	system.expect.Eventually(system.active).WithTimeout(conditionTimeout).Should(Equal(jobs))
	system.startAgentThatKnows(1, func() []string { return []string{next} })
	outages.set("entry0", true)
	system.expect.Consistently(func() int { return system.mostActive(ids) }).WithTimeout(9*time.Second).
		Should(BeNumerically("<=", 1), "active runs of one task")
}
