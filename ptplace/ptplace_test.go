package ptplace_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptplace"
)

func TestLeases(t *testing.T) {
	view := func(change func(view *ptplace.UpstreamView)) *ptplace.UpstreamView {
		made := &ptplace.UpstreamView{Slots: 4, Window: 6, Usable: true}
		change(made)
		return made
	}
	free := view(func(*ptplace.UpstreamView) {})
	full := view(func(v *ptplace.UpstreamView) { v.OthersOutstanding = 4 })
	fuller := view(func(v *ptplace.UpstreamView) { v.OthersOutstanding = 6 })
	noWindow := view(func(v *ptplace.UpstreamView) { v.Window = 0 })
	far := view(func(v *ptplace.UpstreamView) { v.Distance = ptplace.OtherRegion })
	later := view(func(v *ptplace.UpstreamView) { v.PreferenceRank = 1 })
	gone := view(func(v *ptplace.UpstreamView) { v.Usable = false })
	probed := view(func(v *ptplace.UpstreamView) { v.Probing, v.Outstanding = true, 1 })
	for name, test := range map[string]struct {
		views []*ptplace.UpstreamView
		index int
		ok    bool
	}{
		"a free slot before a short queue":       {[]*ptplace.UpstreamView{full, free}, 1, true},
		"a free slot far off before a near wait": {[]*ptplace.UpstreamView{full, far}, 1, true},
		"the nearest of free ones":               {[]*ptplace.UpstreamView{far, free}, 1, true},
		"the preferred of equal ones":            {[]*ptplace.UpstreamView{later, free}, 1, true},
		"the least loaded of full ones":          {[]*ptplace.UpstreamView{fuller, full}, 1, true},
		"none without a window":                  {[]*ptplace.UpstreamView{noWindow}, 0, false},
		"none that is gone or being probed":      {[]*ptplace.UpstreamView{gone, probed}, 0, false},
	} {
		index, ok := ptplace.Pick(ptplace.Leases, test.views, nil)
		NewWithT(t).Expect(ok).To(Equal(test.ok), name)
		if ok {
			NewWithT(t).Expect(index).To(Equal(test.index), name)
		}
	}
}

func TestBaselinesAvoidTheUnusable(t *testing.T) {
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

func TestPreferences(t *testing.T) {
	expect := NewWithT(t)
	expect.Expect(ptplace.PreferenceRanks(4, 0, 2)).To(Equal([]int{0, 1, 6, 5}), "own half upwards, then the other's from its end")
	expect.Expect(ptplace.PreferenceRanks(4, 1, 2)).To(Equal([]int{6, 5, 0, 1}))
	expect.Expect(ptplace.PreferenceRanks(0, 0, 3)).To(BeEmpty())
}
