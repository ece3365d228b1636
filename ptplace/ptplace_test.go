package ptplace_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptplace"
)

func TestLeases(t *testing.T) {
	view := func(change func(view *ptplace.View)) *ptplace.View {
		made := &ptplace.View{Slots: 4, Window: 6, Usable: true}
		change(made)
		return made
	}
	free := view(func(*ptplace.View) {})
	full := view(func(v *ptplace.View) { v.Others = 4 })
	fuller := view(func(v *ptplace.View) { v.Others = 6 })
	noWindow := view(func(v *ptplace.View) { v.Window = 0 })
	far := view(func(v *ptplace.View) { v.Distance = ptplace.OtherRegion })
	later := view(func(v *ptplace.View) { v.Preference = 1 })
	gone := view(func(v *ptplace.View) { v.Usable = false })
	probed := view(func(v *ptplace.View) { v.Probe, v.Outstanding = true, 1 })
	for name, test := range map[string]struct {
		views []*ptplace.View
		index int
		ok    bool
	}{
		"a free slot before a short queue":       {[]*ptplace.View{full, free}, 1, true},
		"a free slot far off before a near wait": {[]*ptplace.View{full, far}, 1, true},
		"the nearest of free ones":               {[]*ptplace.View{far, free}, 1, true},
		"the preferred of equal ones":            {[]*ptplace.View{later, free}, 1, true},
		"the least loaded of full ones":          {[]*ptplace.View{fuller, full}, 1, true},
		"none without a window":                  {[]*ptplace.View{noWindow}, 0, false},
		"none that is gone or being probed":      {[]*ptplace.View{gone, probed}, 0, false},
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
	views := []*ptplace.View{{Slots: 1}, {Slots: 1, Usable: true, Outstanding: 5}, {Slots: 1}}
	for _, policy := range []ptplace.Policy{ptplace.Random, ptplace.TwoChoices, ptplace.LeastKnown} {
		for range 50 {
			index, ok := ptplace.Pick(policy, views, random)
			NewWithT(t).Expect(ok).To(BeTrue())
			NewWithT(t).Expect(index).To(Equal(1), string(policy))
		}
	}
}

func TestPreferences(t *testing.T) {
	expect := NewWithT(t)
	expect.Expect(ptplace.Preferences(4, 0, 2)).To(Equal([]int{0, 1, 6, 5}), "own half upwards, then the other's from its end")
	expect.Expect(ptplace.Preferences(4, 1, 2)).To(Equal([]int{6, 5, 0, 1}))
	expect.Expect(ptplace.Preferences(0, 0, 3)).To(BeEmpty())
}
