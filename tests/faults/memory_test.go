package faults_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusline/crocusline/tests/knownred"
)

const (
	// lowMemory and maxDescriptors are the limits of a small machine, by the gateway's settings, and
	// smallestMemory is the limit of the smallest ones.
	lowMemory      = 112 << 20
	smallestMemory = 88 << 20
	maxDescriptors = 4100
	// heldBodyBytes is the largest body that is allowed, and bodyCallers the number of callers that send
	// one at once. Their bodies together are more than three times the gateway's memory.
	heldBodyBytes = 4 << 20
	bodyCallers   = 100
	// completeEvery is how many callers there are for each that sends its body to the end.
	completeEvery = 8
	// headerCallers is the number of connections with a part of a header, of heldHeaderBytes.
	headerCallers   = 3000
	heldHeaderBytes = 15 << 10
	// holdTime is how long a caller keeps its connection open after it stopped sending.
	holdTime = 3 * time.Second
	// sampleInterval is the time between two counts of the gateway's file descriptors.
	sampleInterval = 50 * time.Millisecond
)

// heldRequest is how a caller sends a request that it doesn't finish.
type heldRequest struct {
	name    string
	callers int
	// write sends the request. Without complete, it stops short of the end.
	write func(w io.Writer, head string, complete bool) error
}

var heldRequests = []heldRequest{
	{"whole bodies with a length", bodyCallers, func(w io.Writer, head string, complete bool) error {
		return writeLength(w, head, complete, heldBodyBytes, 0)
	}},
	{"bodies with a length piece by piece", bodyCallers, func(w io.Writer, head string, complete bool) error {
		return writeLength(w, head, complete, 256<<10, 10*time.Millisecond)
	}},
	{"chunks of 64 KiB", bodyCallers, func(w io.Writer, head string, complete bool) error {
		return writeChunks(w, head, complete, 64<<10)
	}},
	{"chunks of one byte", bodyCallers, func(w io.Writer, head string, complete bool) error {
		return writeChunks(w, head, complete, 1)
	}},
	{"parts of headers", headerCallers, func(w io.Writer, head string, _ bool) error {
		_, err := io.WriteString(w, head+"\r\nX-Long: "+strings.Repeat("x", heldHeaderBytes))
		return err
	}},
	{"parts of HTTP/2 frames", bodyCallers * 3, func(w io.Writer, _ string, _ bool) error {
		_, err := io.WriteString(w, http2Preface+http2Settings+http2DataHeader+strings.Repeat("x", heldFrameBytes-1))
		return err
	}},
}

// The start of an HTTP/2 connection: the preface, an empty frame with settings, and the header of a data
// frame of heldFrameBytes, the largest size that net/http takes unless it is set.
const (
	http2Preface    = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	http2Settings   = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	http2DataHeader = "\x10\x00\x00\x00\x00\x00\x00\x00\x01"
	heldFrameBytes  = 1 << 20
)

// TestHeldRequests guards against a process that takes more memory than its settings allow, or ends, or
// stops serving, when many callers send large requests at once, stop short of their end and keep the
// connections open.
func TestHeldRequests(t *testing.T) {
	binary := buildBinary(t)
	for _, h := range heldRequests {
		t.Run(h.name, func(t *testing.T) {
			f := newFleetOfVersions(t, binary, 0, make([]string, serverCount), floodBudget)
			f.memory = lowMemory
			f.addGateways(1, func(int) float64 { return 0.8 })
			requireService(t, f, "before the crowd")
			knownred.Report(t, h.run(t, f.gateways[0]))
			requireService(t, f, "after the crowd")
		})
	}
}

// run sends the requests and returns what is wrong with the gateway meanwhile, or "".
func (h heldRequest) run(t *testing.T, g *gateway) string {
	g.resetPeak(t)
	var calling sync.WaitGroup
	for i := range h.callers {
		calling.Go(func() { h.call(g, i) })
	}
	ended := make(chan struct{})
	go func() {
		calling.Wait()
		close(ended)
	}()
	descriptors := 0
	for running := true; running; {
		descriptors = max(descriptors, g.descriptors(t))
		select {
		case <-ended:
			running = false
		case <-time.After(sampleInterval):
		}
	}
	if g.waitExit(0) {
		t.Fatalf("the gateway ended with exit code %d", g.exitCode())
	}
	peak := g.memory(t)
	t.Logf("%d MB resident and %d descriptors at most", peak>>20, descriptors)
	var problems []string
	if peak > lowMemory {
		problems = append(problems, fmt.Sprintf("the gateway took %d MB of memory, its settings allow %d MB", peak>>20, lowMemory>>20))
	}
	if descriptors > maxDescriptors {
		problems = append(problems, fmt.Sprintf("the gateway had %d descriptors open, its settings allow %d", descriptors, maxDescriptors))
	}
	return strings.Join(problems, "; ")
}

// call sends one request and keeps the connection open. That the gateway refuses the request or closes
// the connection is allowed.
func (h heldRequest) call(g *gateway, i int) {
	conn, err := net.Dial("tcp", g.callerAddress.String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: held-%d\r\nAuthorization: Token %s\r\nDeadline-Ms: 2000", host, i, apiKey)
	if err := h.write(conn, head, i%completeEvery == 0); err != nil {
		return
	}
	if err := conn.SetReadDeadline(time.Now().Add(holdTime)); err != nil {
		return
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// writeLength sends a body with its length in pieces, and without complete all but its last byte.
func writeLength(w io.Writer, head string, complete bool, piece int, pause time.Duration) error {
	if _, err := fmt.Fprintf(w, "%s\r\nContent-Length: %d\r\n\r\n", head, heldBodyBytes); err != nil {
		return err
	}
	left := heldBodyBytes
	if !complete {
		left--
	}
	data := make([]byte, piece)
	for left > 0 {
		n, err := w.Write(data[:min(left, piece)])
		if err != nil {
			return err
		}
		left -= n
		time.Sleep(pause)
	}
	return nil
}

// writeChunks sends a body in chunks of the size, and without complete all but the end of its last one.
func writeChunks(w io.Writer, head string, complete bool, size int) error {
	if _, err := io.WriteString(w, head+"\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	const written = 64 << 10
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	chunks := heldBodyBytes / size
	perWrite := max(1, written/len(chunk))
	block := bytes.Repeat(chunk, perWrite)
	for ; chunks > perWrite; chunks -= perWrite {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	last := bytes.Repeat(chunk, chunks)
	if complete {
		last = append(last, "0\r\n\r\n"...)
	} else {
		last = last[:len(last)-3]
	}
	_, err := w.Write(last)
	return err
}

// descriptors returns the number of file descriptors that the process has open.
func (g *gateway) descriptors(t *testing.T) int {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// TestLargestRequests guards against a bound that refuses single requests of the largest size at the
// smallest machines, with a length or in chunks, or with the largest header.
func TestLargestRequests(t *testing.T) {
	f := newFleetOfVersions(t, buildBinary(t), 0, make([]string, serverCount), floodBudget)
	f.memory = smallestMemory
	f.addGateways(1, func(int) float64 { return 0.144 })
	requireService(t, f, "before the requests")
	head := fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: 2000\r\nX-Long: %s\r\nRequest-Id: ",
		host, apiKey, strings.Repeat("x", heldHeaderBytes))
	for i := range 10 {
		for name, write := range map[string]func(io.Writer, string) error{
			"length": func(w io.Writer, head string) error { return writeLength(w, head, true, heldBodyBytes, 0) },
			"chunks": func(w io.Writer, head string) error { return writeChunks(w, head, true, 64<<10) },
		} {
			conn, err := net.Dial("tcp", f.gateways[0].callerAddress.String())
			if err != nil {
				t.Fatal(err)
			}
			if err := write(conn, fmt.Sprintf("%slargest-%s-%d", head, name, i)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if resp.StatusCode != http.StatusOK {
				t.Errorf("%s: got status %d", name, resp.StatusCode)
			}
			_ = resp.Body.Close()
			_ = conn.Close()
		}
	}
}

// TestMemoryLimitLowered guards against a process that keeps to the memory limit that it started with
// after a hang-up signal.
func TestMemoryLimitLowered(t *testing.T) {
	f := newFleetOfVersions(t, buildBinary(t), 0, make([]string, serverCount), floodBudget)
	f.memory = 8 * lowMemory
	f.addGateways(1, func(int) float64 { return 0.8 })
	requireService(t, f, "before the signal")
	g := f.gateways[0]
	settings, err := os.ReadFile(g.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	limit := func(bytes int) []byte { return fmt.Appendf(nil, `"memory_mb":%d`, bytes>>20) }
	if err := os.WriteFile(g.settingsFile, bytes.Replace(settings, limit(8*lowMemory), limit(lowMemory), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	g.signal(syscall.SIGHUP)
	for logged := false; !logged; time.Sleep(sampleInterval) {
		text, err := os.ReadFile(g.logFile.Name())
		if err != nil {
			t.Fatal(err)
		}
		logged = bytes.Contains(text, fmt.Appendf(nil, `event="settings reloaded" file=%s memory=%d`, g.settingsFile, lowMemory))
	}
	for _, h := range heldRequests {
		if problem := h.run(t, g); problem != "" {
			t.Errorf("%s: %s", h.name, problem)
		}
	}
	requireService(t, f, "after the crowd")
}
