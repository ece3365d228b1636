package pttransport_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/pttransport"
)

func connected(test *testing.T) (client, server net.Conn) {
	expect := NewWithT(test)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp", listener.Addr().String())
	expect.Expect(err).NotTo(HaveOccurred())
	server, err = listener.Accept()
	expect.Expect(err).NotTo(HaveOccurred())
	test.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

func TestCloseWatcherReportsClosedConnection(test *testing.T) {
	expect := NewWithT(test)
	client, server := connected(test)
	watcher := pttransport.NewCloseWatcher(server)
	expect.Consistently(watcher.Closed(), "20ms").ShouldNot(BeClosed())
	expect.Expect(client.Close()).To(Succeed())
	expect.Eventually(watcher.Closed()).Should(BeClosed())
	watcher.Stop()
}

func TestStoppedCloseWatcherLeavesDataUnread(test *testing.T) {
	expect := NewWithT(test)
	client, server := connected(test)
	for range 100 {
		watcher := pttransport.NewCloseWatcher(server)
		_, err := client.Write([]byte("next"))
		expect.Expect(err).NotTo(HaveOccurred())
		watcher.Stop()
		expect.Expect(watcher.Closed()).NotTo(BeClosed(), "received data does not close the connection")
		read := make([]byte, 4)
		_, err = server.Read(read)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(string(read)).To(Equal("next"))
	}
}

// The entry asks while a watcher waits on the same connection, and while nothing has run since the peer left.
func TestProbeSeesThatThePeerHasLeft(test *testing.T) {
	expect := NewWithT(test)
	client, server := connected(test)
	watcher, probe := pttransport.NewCloseWatcher(server), pttransport.NewProbe(server)
	defer watcher.Stop()
	expect.Expect(probe.ClosedByPeer()).To(BeFalse())
	expect.Expect(client.Close()).To(Succeed())
	expect.Eventually(probe.ClosedByPeer).Should(BeTrue())
	expect.Expect(server.Close()).To(Succeed())
	expect.Expect(probe.ClosedByPeer()).To(BeTrue())
}

func BenchmarkProbe(bench *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(bench).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	NewWithT(bench).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = client.Close() }()
	probe := pttransport.NewProbe(client)
	for bench.Loop() {
		probe.ClosedByPeer()
	}
}
