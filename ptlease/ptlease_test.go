package ptlease_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosetiller/primrosetiller/ptassert"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlease"
)

const now = ptid.Instant(time.Hour)

func TestSharing(t *testing.T) {
	expect := NewWithT(t)
	allocator := ptlease.New(ptlease.Setting{Slots: 4, Prefetch: 2, MoveThreshold: 10 * time.Millisecond})
	allocator.AddEntry("a")
	allocator.AddEntry("b")
	expect.Expect(allocator.Window("a", now)).To(Equal(6), "a single entry gets the whole capacity")
	for range 6 {
		allocator.TaskReceived("a")
	}
	expect.Expect(allocator.Window("b", now)).To(Equal(0))
	allocator.UpdateDemand("a", 5, now, now)
	allocator.UpdateDemand("b", 3, now.Add(-time.Second), now)
	expect.Expect(allocator.WindowChanges(now)).To(BeEmpty(), "no slot is idle")
	allocator.TaskEnded("a")
	expect.Expect(allocator.Window("a", now)).To(Equal(5), "the freed capacity goes to the older task of b")
	expect.Expect(allocator.Window("b", now)).To(Equal(1))
	for range 3 {
		allocator.TaskEnded("a")
	}
	allocator.Window("b", now)
	allocator.TaskReceived("b")
	allocator.UpdateDemand("b", 2, now.Add(-time.Second), now)
	expect.Expect(allocator.WindowChanges(now)).To(Equal([]ptlease.WindowChange{ptlease.Grant{Entry: "b"}}), "an idle slot justifies a grant message")
	later := now.Add(ptlease.DemandTTL)
	expect.Expect(allocator.WindowChanges(later)).To(BeEmpty(), "an expired demand is ignored")
}

func TestRecall(t *testing.T) {
	expect := NewWithT(t)
	allocator := ptlease.New(ptlease.Setting{Slots: 2, Recall: true})
	allocator.AddEntry("a")
	allocator.AddEntry("b")
	allocator.Window("b", now)
	allocator.TaskReceived("a")
	allocator.TaskReceived("a")
	allocator.UpdateDemand("a", 1, now, now)
	expect.Expect(allocator.WindowChanges(now)).To(Equal([]ptlease.WindowChange{ptlease.Recall{Entry: "b"}}))
	expect.Expect(allocator.WindowChanges(now)).To(BeEmpty(), "once")
	expect.Expect(allocator.Window("b", now)).To(Equal(0))
}

// TestWorkConserving checks that no slot stays idle while a task waits at an entry that
// can't send the task: its window is full, and no grant is in transit to it.
func TestWorkConserving(t *testing.T) {
	ptassert.PanicOnFailure()
	rapid.Check(t, func(t *rapid.T) {
		setting := ptlease.Setting{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Prefetch: rapid.IntRange(0, 3).Draw(t, "ahead"), MoveThreshold: 5}
		allocator := ptlease.New(setting)
		entries := []ptid.EntryName{"a", "b", "c"}
		windows, outstanding, queued := map[ptid.EntryName]int{}, map[ptid.EntryName]int{}, map[ptid.EntryName]int{}
		for _, entry := range entries {
			allocator.AddEntry(entry)
			windows[entry] = allocator.Window(entry, now)
		}
		pick := func(t *rapid.T) ptid.EntryName { return rapid.SampledFrom(entries).Draw(t, "entry") }
		applyGrants := func() {
			for _, change := range allocator.WindowChanges(now) {
				if grant, ok := change.(ptlease.Grant); ok {
					windows[grant.Entry] = allocator.Window(grant.Entry, now)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				entry := pick(t)
				queued[entry] += rapid.IntRange(1, 3).Draw(t, "tasks")
				allocator.UpdateDemand(entry, queued[entry], now+ptid.Instant(rapid.IntRange(-20, 20).Draw(t, "age")), now)
				applyGrants()
			},
			"send": func(t *rapid.T) {
				entry := pick(t)
				if queued[entry] > 0 && outstanding[entry] < windows[entry] {
					queued[entry]--
					outstanding[entry]++
					allocator.TaskReceived(entry)
					allocator.UpdateDemand(entry, queued[entry], now, now)
					applyGrants()
				}
			},
			"end": func(t *rapid.T) {
				if entry := pick(t); outstanding[entry] > 0 {
					outstanding[entry]--
					allocator.TaskEnded(entry)
					windows[entry] = allocator.Window(entry, now)
					applyGrants()
				}
			},
			"": func(t *rapid.T) {
				total, stuck := 0, ""
				capacitySomewhere := false
				for _, entry := range entries {
					total += outstanding[entry]
					if queued[entry] > 0 && outstanding[entry] < windows[entry] {
						capacitySomewhere = true
					} else if queued[entry] > 0 {
						stuck += fmt.Sprint(entry, " ")
					}
				}
				if total < setting.Slots && stuck != "" && !capacitySomewhere {
					t.Fatalf("%d of %d slots are used while entries %swait without free capacity", total, setting.Slots, stuck)
				}
			},
		})
	})
}
