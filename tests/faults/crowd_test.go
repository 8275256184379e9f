package faults_test

import (
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"

	"github.com/crocusline/crocusline/standin/crowd"
	"github.com/crocusline/crocusline/tests/knownred"
)

const (
	// connectionCallers is the number of connections of a crowd that sends many requests over each.
	connectionCallers = 300
	// fieldCallers is the number of connections with headers of many fields, and stalledBodyBytes the length of the
	// bodies that follow some of them.
	fieldCallers     = 1500
	stalledBodyBytes = 1000
	// streamsPerConnection is the number of requests that a caller sends over one HTTP/2 connection, with a
	// field of streamHeaderBytes or a body of streamBodyBytes.
	streamsPerConnection = 100
	streamHeaderBytes    = 14 << 10
	streamBodyBytes      = 700
	// readinessCallers is the number of connections to the listener of readiness checks, and readinessHeaderBytes
	// the size of what they send in a header.
	readinessCallers     = 600
	readinessHeaderBytes = 3 << 10
)

// gatewayCrowd is a crowd that calls one of a gateway's listeners.
type gatewayCrowd struct {
	crowd.Crowd
	listener func(g *gateway) netip.AddrPort
}

func callers(g *gateway) netip.AddrPort   { return g.callerAddress }
func readiness(g *gateway) netip.AddrPort { return g.readyAddress }
func peers(g *gateway) netip.AddrPort     { return g.peerAddress }

// requestHead returns the start of a request to a gateway, with further fields.
func requestHead(caller int, further ...string) string {
	fields := append([]string{
		"POST /once/x HTTP/1.1", "Host: " + host, fmt.Sprintf("Request-Id: crowd-%d", caller),
		"Authorization: Token " + apiKey, "Deadline-Ms: 2000",
	}, further...)
	return strings.Join(fields, "\r\n")
}

// streamFields returns the header of a request over HTTP/2 to a gateway, with further fields.
func streamFields(caller, request int, further ...crowd.Field) []crowd.Field {
	return append(crowd.Post(host, "/once/x", crowd.Field{Name: "request-id", Value: fmt.Sprintf("crowd-%d-%d", caller, request)},
		crowd.Field{Name: "authorization", Value: "Token " + apiKey}, crowd.Field{Name: "deadline-ms", Value: "2000"}), further...)
}

var gatewayCrowds = []gatewayCrowd{
	{crowd.Crowd{Name: "HTTP/2 headers", Callers: connectionCallers, Write: func(w io.Writer, caller int, _ bool) error {
		long := crowd.Field{Name: "x-long", Value: strings.Repeat("x", streamHeaderBytes)}
		return crowd.WriteHTTP2(w, streamsPerConnection, func(i int) []crowd.Field { return streamFields(caller, i, long) }, nil)
	}}, callers},
	{crowd.Crowd{Name: "HTTP/2 bodies", Callers: connectionCallers, Write: func(w io.Writer, caller int, _ bool) error {
		return crowd.WriteHTTP2(w, streamsPerConnection, func(i int) []crowd.Field { return streamFields(caller, i) }, make([]byte, streamBodyBytes))
	}}, callers},
	{crowd.Crowd{Name: "parts of headers of many fields", Callers: fieldCallers, Write: func(w io.Writer, caller int, _ bool) error {
		_, err := io.WriteString(w, requestHead(caller, crowd.ShortFields(heldHeaderBytes)))
		return err
	}}, callers},
	{crowd.Crowd{Name: "bodies after headers of many fields", Callers: fieldCallers, Write: func(w io.Writer, caller int, complete bool) error {
		return crowd.WriteLength(w, requestHead(caller, crowd.ShortFields(heldHeaderBytes)), make([]byte, stalledBodyBytes), complete, stalledBodyBytes, 0)
	}}, callers},
	{crowd.Crowd{Name: "HTTP/2 headers to readiness", Callers: readinessCallers, Write: func(w io.Writer, _ int, _ bool) error {
		long := crowd.Field{Name: "x-long", Value: strings.Repeat("x", readinessHeaderBytes)}
		return crowd.WriteHTTP2(w, streamsPerConnection, func(int) []crowd.Field { return crowd.Post(host, "/x", long) }, make([]byte, streamBodyBytes))
	}}, readiness},
	{crowd.Crowd{Name: "parts of headers to readiness", Callers: readinessCallers, Write: func(w io.Writer, _ int, _ bool) error {
		_, err := io.WriteString(w, "GET /x HTTP/1.1\r\n"+crowd.ShortFields(readinessHeaderBytes))
		return err
	}}, readiness},
	{crowd.Crowd{Name: "parts of headers to peers", Callers: readinessCallers, Write: func(w io.Writer, _ int, _ bool) error {
		_, err := io.WriteString(w, "POST /peer/x HTTP/1.1\r\n"+crowd.ShortFields(readinessHeaderBytes))
		return err
	}}, peers},
	{crowd.Crowd{Name: "bodies to peers", Callers: readinessCallers, Write: func(w io.Writer, _ int, complete bool) error {
		return crowd.WriteLength(w, "POST /peer/supersede HTTP/1.1\r\nHost: a", make([]byte, heldBodyBytes), complete, heldBodyBytes, 0)
	}}, peers},
	{crowd.Crowd{Name: "HTTP/2 headers to peers", Callers: connectionCallers, Write: func(w io.Writer, _ int, _ bool) error {
		long := crowd.Field{Name: "x-long", Value: strings.Repeat("x", readinessHeaderBytes)}
		return crowd.WriteHTTP2(w, streamsPerConnection, func(int) []crowd.Field { return crowd.Post(host, "/peer/x", long) }, make([]byte, streamBodyBytes))
	}}, peers},
}

// process returns the id of the running process.
func (g *gateway) process() crowd.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return crowd.Process(g.cmd.Process.Pid)
}

// run lets the crowd call the gateway, and returns what is wrong with the gateway meanwhile, or "".
func (c gatewayCrowd) run(t *testing.T, g *gateway) string {
	t.Helper()
	used, err := c.Measure(g.process(), c.listener(g))
	if err != nil || g.waitExit(0) {
		t.Fatalf("the gateway ended: %v", err)
	}
	t.Logf("%d MB resident and %d descriptors at most", used.MemoryBytes>>20, used.Descriptors)
	return excess(used, lowMemory, maxDescriptors)
}

// excess returns what a process took beyond its limits, or "".
func excess(used crowd.Usage, memory int64, descriptors int) string {
	var problems []string
	if used.MemoryBytes > memory {
		problems = append(problems, fmt.Sprintf("the process took %d MB of memory, its settings allow %d MB", used.MemoryBytes>>20, memory>>20))
	}
	if used.Descriptors > descriptors {
		problems = append(problems, fmt.Sprintf("the process had %d descriptors open, its settings allow %d", used.Descriptors, descriptors))
	}
	return strings.Join(problems, "; ")
}

// TestGatewayCrowds guards against a gateway that takes more memory than its settings allow, or ends, or stops serving, when
// many callers send requests that they don't finish, in the protocols and framings that its listeners accept.
func TestGatewayCrowds(t *testing.T) {
	binary := buildBinary(t)
	for _, c := range gatewayCrowds {
		t.Run(c.Name, func(t *testing.T) {
			f := newFleetOfVersions(t, binary, 0, make([]string, serverCount), floodBudget)
			f.memory = lowMemory
			f.addGateways(1, func(int) float64 { return 0.8 })
			requireService(t, f, "before the crowd")
			knownred.Report(t, c.run(t, f.gateways[0]))
			requireService(t, f, "after the crowd")
		})
	}
}
