package ptoutput_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptoutput"
)

// blocked is an output that nobody reads until it is opened.
type blocked struct {
	open chan struct{}
	text bytes.Buffer
}

// Write implements io.Writer.
func (output *blocked) Write(text []byte) (size int, err error) {
	<-output.open
	return output.text.Write(text)
}

func TestLinesComeWholeAndInOrder(test *testing.T) {
	expect := NewWithT(test)
	output := &blocked{open: make(chan struct{})}
	close(output.open)
	writer := ptoutput.New(output)
	var want strings.Builder
	for line := range ptoutput.Burst / 2 {
		text := fmt.Sprintf("line %d\n", line)
		_, err := writer.Write([]byte(text))
		expect.Expect(err).NotTo(HaveOccurred())
		want.WriteString(text)
	}
	writer.Close()
	expect.Expect(output.text.String()).To(Equal(want.String()))
}

// The load: many more lines than the output takes, which has stopped altogether.
func TestAStoppedOutputHoldsUpNobody(test *testing.T) {
	expect := NewWithT(test)
	output := &blocked{open: make(chan struct{})}
	writer := ptoutput.New(output)
	const lines = 10_000
	for line := range lines {
		_, err := fmt.Fprintf(writer, "line %d\n", line)
		expect.Expect(err).NotTo(HaveOccurred())
	}
	close(output.open)
	writer.Close()
	written := strings.Count(output.text.String(), "line ")
	expect.Expect(written).To(BeNumerically(">=", ptoutput.Burst))
	expect.Expect(written).To(BeNumerically("<", lines))
}
