package ptrunner

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// Guards against goroutines without limit that dial what a faulty entry calls addresses.
func TestAddressesOfAFaultyEntryAreIgnoredOrBounded(test *testing.T) {
	expect := NewWithT(test)
	runner := New(Setting{Name: "agent"}, Dependencies{Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock()})
	for _, address := range []string{"", "entry", "127.0.0.1", ":7000", "127.0.0.1:0", "127.0.0.1:70000", "\xff:x"} {
		runner.handleAddresses("entry", []*ptwire.EntryAddress{nil, {Address: address}})
	}
	expect.Expect(runner.toldAddresses()).To(BeEmpty())
	for number := range 2 * maxToldAddresses {
		runner.handleAddresses("entry", []*ptwire.EntryAddress{{Address: fmt.Sprintf("127.0.0.1:%d", number+1)}})
	}
	expect.Expect(runner.toldAddresses()).To(HaveLen(maxToldAddresses))
}
