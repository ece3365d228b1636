package ptlisten_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptintake"
	"github.com/primrosetiller/primrosetiller/ptlisten"
	"github.com/primrosetiller/primrosetiller/ptmetric"
)

const (
	bodyLimit        = 262_144
	budget           = 1 << 20
	conditionTimeout = 10 * time.Second
)

// failingListener fails with an error a number of times before it accepts.
type failingListener struct {
	net.Listener
	failures int
	failure  error
}

func (listener *failingListener) Accept() (net.Conn, error) {
	if listener.failures > 0 {
		listener.failures--
		return nil, &net.OpError{Op: "accept", Err: listener.failure}
	}
	return listener.Listener.Accept()
}

func wrap(test *testing.T, failures int, setting ptlisten.Setting) (*ptlisten.Listener, *ptintake.Intake) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(test).Expect(err).NotTo(HaveOccurred())
	test.Cleanup(func() { _ = inner.Close() })
	intake := ptintake.New(ptintake.NewBudget(budget), 50*time.Millisecond)
	shell := ptlisten.New(intake, ptid.NewClock(), ptmetric.New(), logr.Discard())
	return shell.Wrap(&failingListener{inner, failures, syscall.EMFILE}, setting), intake
}

// serve serves requests, whose bodies it reads and answers with their length.
func serve(test *testing.T, limit int) (address string, intake *ptintake.Intake) {
	listener, intake := wrap(test, 2, ptlisten.Setting{Name: "test", Limit: limit})
	server := &fasthttp.Server{StreamRequestBody: true, MaxRequestBodySize: bodyLimit, ReadBufferSize: 18 << 10, Handler: func(request *fasthttp.RequestCtx) {
		body := ptlisten.ReadBody(request, bodyLimit)
		defer body.Release()
		ptlisten.Of(request.Conn()).Serving()
		if body.Status != 0 {
			request.Error("refused", body.Status)
			return
		}
		_, _ = fmt.Fprintf(request, "%d %v", len(body.Bytes), bytes.Count(body.Bytes, []byte("x")) == len(body.Bytes))
	}}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), intake
}

func exchange(expect *WithT, address, request string) (status int, body string) {
	conn, err := net.Dial("tcp", address)
	expect.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	go func() { _, _ = conn.Write([]byte(request)) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	expect.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	_, _ = text.ReadFrom(response.Body)
	return response.StatusCode, text.String()
}

func declared(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
}

func chunked(size, chunk int) string {
	var request strings.Builder
	request.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	for rest := size; rest > 0; rest -= chunk {
		fmt.Fprintf(&request, "%x\r\n%s\r\n", min(rest, chunk), strings.Repeat("x", min(rest, chunk)))
	}
	request.WriteString("0\r\n\r\n")
	return request.String()
}

// Bodies up to the limit must arrive whole, however they are sent, and larger ones must be refused.
func TestBodiesUpToTheLimitAreRead(test *testing.T) {
	expect := NewWithT(test)
	address, intake := serve(test, 10)
	for _, size := range []int{0, 1, 8 << 10, 8<<10 + 1, 100_000, bodyLimit} {
		want := fmt.Sprintf("%d true", size)
		for _, request := range []string{declared(size), chunked(size, 1000), chunked(size, 300_000)} {
			status, body := exchange(expect, address, request)
			expect.Expect(status).To(Equal(http.StatusOK))
			expect.Expect(body).To(Equal(want))
		}
	}
	for _, request := range []string{declared(bodyLimit + 1), chunked(bodyLimit+1, 1000)} {
		status, _ := exchange(expect, address, request)
		expect.Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	}
	expect.Eventually(intake.Budget().Used).WithTimeout(conditionTimeout).Should(BeZero())
}

// A header of the largest size must be served, and its memory must be returned when the connection ends.
func TestHeadersOfManyLinesAreCharged(test *testing.T) {
	expect := NewWithT(test)
	address, intake := serve(test, 10)
	fields := strings.Repeat("a:\r\n", 4000)
	conn, err := net.Dial("tcp", address)
	expect.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"))
	expect.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(response.Body.Close()).To(Succeed())
	expect.Expect(response.StatusCode).To(Equal(http.StatusOK))
	expect.Expect(intake.Budget().Used()).To(BeNumerically(">", 500_000))
	expect.Expect(conn.Close()).To(Succeed())
	expect.Eventually(intake.Budget().Used).WithTimeout(conditionTimeout).Should(BeZero())
}

// A connection that is kept for many ordinary requests must not be charged for all their lines together.
func TestLinesOfManyRequestsAreNotAddedUp(test *testing.T) {
	expect := NewWithT(test)
	address, intake := serve(test, 10)
	conn, err := net.Dial("tcp", address)
	expect.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 100 {
		_, err = conn.Write([]byte(declared(10)))
		expect.Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(response.Body.Close()).To(Succeed())
	}
	expect.Expect(intake.Budget().Used()).To(BeZero())
}

// A full listener must serve a new client in place of a silent one.
func TestSilentClientsAreClosedAtAFullListener(test *testing.T) {
	expect := NewWithT(test)
	address, _ := serve(test, 3)
	for range 6 {
		conn, err := net.Dial("tcp", address)
		expect.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
	}
	expect.Eventually(func() error {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write([]byte(declared(10))); err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}).WithTimeout(conditionTimeout).Should(Succeed())
}

// Bodies that stop before their end must not keep the budget from a complete one.
func TestUnfinishedBodiesLoseTheirMemory(test *testing.T) {
	expect := NewWithT(test)
	address, intake := serve(test, 50)
	for range 10 {
		conn, err := net.Dial("tcp", address)
		expect.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		request := declared(bodyLimit)
		_, _ = conn.Write([]byte(request[:len(request)-1]))
	}
	expect.Eventually(func() int {
		status, _ := exchange(expect, address, declared(bodyLimit))
		return status
	}).WithTimeout(conditionTimeout).Should(Equal(http.StatusOK))
	expect.Expect(intake.Budget().Used()).To(BeNumerically("<=", budget))
}

// A connection of a session must not be read without end before its greeting, and must be free of limits after it.
func TestConnectionsAreBoundedUntilTheyAreGreeted(test *testing.T) {
	expect := NewWithT(test)
	listener, _ := wrap(test, 0, ptlisten.Setting{Name: "sessions", Limit: 1, GreetingTimeout: time.Minute, GreetingBytes: 100})
	accept := func() (client net.Conn, server *ptlisten.Conn) {
		client, err := net.Dial("tcp", listener.Addr().String())
		expect.Expect(err).NotTo(HaveOccurred())
		test.Cleanup(func() { _ = client.Close() })
		accepted, err := listener.Accept()
		expect.Expect(err).NotTo(HaveOccurred())
		test.Cleanup(func() { _ = accepted.Close() })
		return client, ptlisten.Of(accepted)
	}
	read := func(server net.Conn) error {
		_, err := server.Read(make([]byte, 60))
		return err
	}
	client, server := accept()
	_, err := client.Write(make([]byte, 240))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(read(server)).To(Succeed())
	server.Greeted()
	expect.Expect(read(server)).To(Succeed())
	expect.Expect(read(server)).To(Succeed())
	other, refused := accept()
	_, err = other.Write(make([]byte, 240))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(read(refused)).To(Succeed())
	expect.Expect(read(refused)).NotTo(Succeed())
}

// A listener that can't be used any more must say so.
func TestOtherErrorsOfAcceptAreReturned(test *testing.T) {
	expect := NewWithT(test)
	listener, _ := wrap(test, 0, ptlisten.Setting{Name: "test", Limit: 1})
	expect.Expect(listener.Close()).To(Succeed())
	_, err := listener.Accept()
	expect.Expect(err).To(MatchError(net.ErrClosed))
}

// benchmarkRequests measures the processor time of ordinary submissions over one connection.
func benchmarkRequests(bench *testing.B, listener net.Listener, server *fasthttp.Server) {
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		bench.Fatal(err)
	}
	defer func() { _, _ = conn.Close(), listener.Close() }()
	request, answer := []byte(declared(300)), make([]byte, 4096)
	bench.ReportAllocs()
	for bench.Loop() {
		if _, err := conn.Write(request); err != nil {
			bench.Fatal(err)
		}
		if _, err := conn.Read(answer); err != nil {
			bench.Fatal(err)
		}
	}
}

func BenchmarkRequestsWithoutLimits(bench *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		bench.Fatal(err)
	}
	benchmarkRequests(bench, listener, &fasthttp.Server{MaxRequestBodySize: bodyLimit, ReadTimeout: time.Second, Handler: func(request *fasthttp.RequestCtx) {
		_, _ = fmt.Fprint(request, len(request.PostBody()))
	}})
}

func BenchmarkRequestsWithLimits(bench *testing.B) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		bench.Fatal(err)
	}
	intake := ptintake.New(ptintake.NewBudget(30<<20), ptintake.DefaultGrace)
	listener := ptlisten.New(intake, ptid.NewClock(), ptmetric.New(), logr.Discard()).Wrap(inner, ptlisten.Setting{Name: "bench", Limit: 100})
	benchmarkRequests(bench, listener, &fasthttp.Server{
		StreamRequestBody: true, MaxRequestBodySize: bodyLimit, ReadBufferSize: 18 << 10, ReadTimeout: time.Second, Handler: func(request *fasthttp.RequestCtx) {
			conn := ptlisten.Of(request.Conn())
			defer conn.Served()
			body := ptlisten.ReadBody(request, bodyLimit)
			defer body.Release()
			conn.Serving()
			if conn.Reserve(5000) {
				defer conn.Release(5000)
			}
			_, _ = fmt.Fprint(request, len(body.Bytes))
		},
	})
}
