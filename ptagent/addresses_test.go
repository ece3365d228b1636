package ptagent

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
)

func TestAddressIsDialedOnceAndCanBeAddedAgain(t *testing.T) {
	expect := NewWithT(t)
	var set addressSet
	set.add("a", "b", "a", "")
	undialed := set.takeUndialed()
	slices.Sort(undialed)
	expect.Expect(undialed).To(Equal([]string{"a", "b"}))
	set.add("a")
	expect.Expect(set.takeUndialed()).To(BeEmpty(), "the address is being dialed")
	set.remove("a")
	expect.Expect(set.takeUndialed()).To(BeEmpty(), "the address was removed")
	set.add("a")
	expect.Expect(set.takeUndialed()).To(Equal([]string{"a"}), "the address was added again")
	expect.Expect(set.added()).To(Receive())
}

func TestSessionWithEarlierIncarnationIsNotConnected(t *testing.T) {
	expect := NewWithT(t)
	agent := &Agent{peers: map[ptid.EntryName]*peer{"e": {name: "e", incarnation: 5}}}
	expect.Expect(agent.connected("e", 5)).To(BeTrue())
	expect.Expect(agent.connected("e", 6)).To(BeFalse())
	expect.Expect(agent.connected("other", 1)).To(BeFalse())
}
