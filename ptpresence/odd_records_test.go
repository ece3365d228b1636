package ptpresence_test

import (
	"strings"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptlog"
	"github.com/primrosetiller/primrosetiller/ptpresence"
)

func TestOddRecordsAreIgnored(test *testing.T) {
	registry := ptpresence.New(nil, logr.Discard())
	valid := `{"name":"entry-1","address":"10.0.0.1:7720","incarnation":5}`
	for _, record := range []string{
		valid, `{"name":"entry-2","address":"10.0.0.2:99999","incarnation":5}`, `{"name":"entry-3","address":"10.0.0.3:-1","incarnation":5}`,
		`{"name":"entry-4","address":"10.0.0.4"}`, `{"name":"entry-5","address":":7720"}`, `{"name":"entry-6","address":"10.0.0.6:0"}`,
		`{"name":"entry-7","address":"10.0.0.7:7720","incarnation":1e300}`, `{"name":7}`, "\xff\xfe", strings.Repeat("[", 1_000_000),
		`{"name":"entry-1","address":"10.0.0.1:77200","incarnation":9}`,
	} {
		registry.HandleRecord(ptlog.Record{Data: []byte(record)})
	}
	NewWithT(test).Expect(registry.Addresses()).To(Equal([]string{"10.0.0.1:7720"}))
}
