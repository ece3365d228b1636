package ptagent

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
)

func TestAddressesAreDialedOnceAndLearnedAnew(t *testing.T) {
	expect := NewWithT(t)
	var book addressBook
	book.learn("a", "b", "a", "")
	taken := book.take()
	slices.Sort(taken)
	expect.Expect(taken).To(Equal([]string{"a", "b"}))
	book.learn("a")
	expect.Expect(book.take()).To(BeEmpty(), "somebody dials it already")
	book.ended("a")
	expect.Expect(book.take()).To(BeEmpty(), "it was given up")
	book.learn("a")
	expect.Expect(book.take()).To(Equal([]string{"a"}), "an entry announced it again")
	expect.Expect(book.news()).To(Receive())
}

func TestAnEarlierIncarnationsSessionDoesNotCount(t *testing.T) {
	expect := NewWithT(t)
	agent := &Agent{peers: map[ptid.EntryName]*peer{"e": {name: "e", incarnation: 5}}}
	expect.Expect(agent.connected("e", 5)).To(BeTrue())
	expect.Expect(agent.connected("e", 6)).To(BeFalse())
	expect.Expect(agent.connected("other", 1)).To(BeFalse())
}
