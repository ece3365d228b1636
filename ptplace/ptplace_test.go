package ptplace_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptplace"
)

func TestLeasesPolicy(t *testing.T) {
	view := func(change func(view *ptplace.UpstreamView)) *ptplace.UpstreamView {
		result := &ptplace.UpstreamView{Slots: 4, Window: 6, Usable: true}
		change(result)
		return result
	}
	free := view(func(*ptplace.UpstreamView) {})
	full := view(func(v *ptplace.UpstreamView) { v.OthersOutstanding = 4 })
	fuller := view(func(v *ptplace.UpstreamView) { v.OthersOutstanding = 6 })
	noWindow := view(func(v *ptplace.UpstreamView) { v.Window = 0 })
	far := view(func(v *ptplace.UpstreamView) { v.Distance = ptplace.OtherRegion })
	lessPreferred := view(func(v *ptplace.UpstreamView) { v.PreferenceRank = 1 })
	unusable := view(func(v *ptplace.UpstreamView) { v.Usable = false })
	probing := view(func(v *ptplace.UpstreamView) { v.Probing, v.Outstanding = true, 1 })
	for name, test := range map[string]struct {
		views []*ptplace.UpstreamView
		index int
		ok    bool
	}{
		"a free slot before a short queue":        {[]*ptplace.UpstreamView{full, free}, 1, true},
		"a distant free slot before a near queue": {[]*ptplace.UpstreamView{full, far}, 1, true},
		"the nearest of the free upstreams":       {[]*ptplace.UpstreamView{far, free}, 1, true},
		"the preferred of equal upstreams":        {[]*ptplace.UpstreamView{lessPreferred, free}, 1, true},
		"the least loaded of the full upstreams":  {[]*ptplace.UpstreamView{fuller, full}, 1, true},
		"none without a window":                   {[]*ptplace.UpstreamView{noWindow}, 0, false},
		"none that is unusable or being probed":   {[]*ptplace.UpstreamView{unusable, probing}, 0, false},
	} {
		index, ok := ptplace.Pick(ptplace.Leases, test.views, nil)
		NewWithT(t).Expect(ok).To(Equal(test.ok), name)
		if ok {
			NewWithT(t).Expect(index).To(Equal(test.index), name)
		}
	}
}

func TestBaselinesAvoidUnusableUpstreams(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	views := []*ptplace.UpstreamView{{Slots: 1}, {Slots: 1, Usable: true, Outstanding: 5}, {Slots: 1}}
	for _, policy := range []ptplace.Policy{ptplace.Random, ptplace.TwoChoices, ptplace.LeastKnownLoad} {
		for range 50 {
			index, ok := ptplace.Pick(policy, views, random)
			NewWithT(t).Expect(ok).To(BeTrue())
			NewWithT(t).Expect(index).To(Equal(1), string(policy))
		}
	}
}

func TestPreferenceRanks(t *testing.T) {
	expect := NewWithT(t)
	expect.Expect(ptplace.PreferenceRanks(4, 0, 2)).To(Equal([]int{0, 1, 6, 5}), "the own half in ascending order, then the other half from its end")
	expect.Expect(ptplace.PreferenceRanks(4, 1, 2)).To(Equal([]int{6, 5, 0, 1}))
	expect.Expect(ptplace.PreferenceRanks(0, 0, 3)).To(BeEmpty())
}
