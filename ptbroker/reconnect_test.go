package ptbroker

import (
	"context"
	"net"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"storj.io/drpc"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptmetric"
	"github.com/primrosetiller/primrosetiller/ptqueue"
	"github.com/primrosetiller/primrosetiller/ptwire"
)

// greetingStream calls onSend while it sends a frame.
type greetingStream struct {
	drpc.Stream
	onSend func()
}

func (stream *greetingStream) Send(*ptwire.Frame) error {
	stream.onSend()
	return nil
}

func (stream *greetingStream) Recv() (*ptwire.Frame, error) { return nil, context.Canceled }

// A job is submitted while the session of a restarted agent replaces the previous session. A run
// that is ordered over the new session must not be taken for a run of the earlier incarnation.
func TestRunsOrderedWhileAgentReconnectsAreNotDeclaredLost(test *testing.T) {
	expect := NewWithT(test)
	broker := New(Setting{Name: "entry", Zone: "zone", Seed: 1}, Dependencies{
		Log: logr.Discard(), Metrics: ptmetric.New(), Clock: ptid.NewClock(), Queues: ptqueue.NewCatalogStore(),
	})
	report := &ptwire.Room{Worker: "worker", CpuMillicores: 4000, MemoryMebibytes: 4000, Pace: 1}
	connectAgent(broker, "agent").Receive(nil, &ptwire.Frame{Room: report})
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	var handle *JobHandle
	stream := &greetingStream{onSend: func() { handle = submit(expect, broker, 1) }}
	_, err := broker.welcome(stream, server, &ptwire.Frame{Greeting: &ptwire.Greeting{
		Agent: "agent", Service: "service", Incarnation: 2, Session: 1, Protocol: protocolVersion,
	}})
	expect.Expect(err).NotTo(HaveOccurred())
	for run := range placedRuns(broker, handle) {
		expect.Expect(run.Run).To(BeNumerically("==", 1), "the run that was ordered over the new session")
		break
	}
}
