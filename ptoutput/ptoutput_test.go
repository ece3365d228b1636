package ptoutput_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptoutput"
)

// blockableOutput is an output whose writes block until unblocked is closed.
type blockableOutput struct {
	unblocked chan struct{}
	text      bytes.Buffer
}

// Write implements io.Writer.
func (output *blockableOutput) Write(text []byte) (size int, err error) {
	<-output.unblocked
	return output.text.Write(text)
}

func TestLinesAreWrittenWholeAndInOrder(test *testing.T) {
	expect := NewWithT(test)
	output := &blockableOutput{unblocked: make(chan struct{})}
	close(output.unblocked)
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

// TestWriteDoesNotBlockOnBlockedOutput guards against log lines that block the process
// while the output accepts nothing: the lines over the limits must be dropped.
func TestWriteDoesNotBlockOnBlockedOutput(test *testing.T) {
	expect := NewWithT(test)
	output := &blockableOutput{unblocked: make(chan struct{})}
	writer := ptoutput.New(output)
	const lines = 10_000
	for line := range lines {
		_, err := fmt.Fprintf(writer, "line %d\n", line)
		expect.Expect(err).NotTo(HaveOccurred())
	}
	close(output.unblocked)
	writer.Close()
	written := strings.Count(output.text.String(), "line ")
	expect.Expect(written).To(BeNumerically(">=", ptoutput.Burst))
	expect.Expect(written).To(BeNumerically("<", lines))
}
