package ptqueue_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptqueue"
)

// A request that reaches a starting process must see the first catalog as soon as there is one, and
// must not wait where waiting is over.
func TestAwaitReturnsTheFirstCatalog(test *testing.T) {
	expect := NewWithT(test)
	store := ptqueue.NewCatalogStore()
	expect.Expect(store.Await(0)).To(BeNil())
	expect.Expect(store.Await(time.Millisecond)).To(BeNil())
	found := make(chan *ptqueue.Catalog)
	go func() { found <- store.Await(time.Minute) }()
	catalog := ptqueue.NewCatalog(1, nil, ptqueue.Limits{})
	expect.Expect(store.Update(catalog)).To(BeTrue())
	expect.Eventually(found).Should(Receive(Equal(catalog)))
	expect.Expect(store.Update(ptqueue.NewCatalog(2, nil, ptqueue.Limits{}))).To(BeTrue())
	expect.Expect(store.Await(0).Version).To(Equal(ptqueue.Version(2)))
}
