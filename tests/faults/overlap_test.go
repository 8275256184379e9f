package faults_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/site"
)

const (
	// overlapStreams is the number of streams of a test, and overlapPause the pause between their events.
	overlapStreams = 8
	overlapPause   = 450 * time.Millisecond
	// observeTime is longer than a gateway takes to observe the others. Until then it opens one connection to each server.
	observeTime = 2 * time.Second
	// overlapBound is how long a server may work on a stream after it went on at another one.
	overlapBound = 400 * time.Millisecond
)

// leave begins the stream at the gateway or resumes it there, reads an event, and closes the connection after the last
// step.
func (s *clientStream) leave(t *testing.T, g *gateway, last func(net.Conn)) {
	t.Helper()
	before := s.events()
	header, o := s.next()
	conn, err := net.Dial("tcp", g.callerAddress.String())
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+host+"/draft/x", strings.NewReader(s.body))
	if err != nil {
		t.Error(err)
		return
	}
	r.Header = header
	if err := r.Write(conn); err != nil {
		t.Error(err)
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() {
		// Otherwise the rest of the body would be read.
		_ = conn.Close()
		_ = resp.Body.Close()
	}()
	buffer := make([]byte, 4<<10)
	for s.events() == before {
		n, err := resp.Body.Read(buffer)
		if resp.StatusCode == http.StatusOK {
			s.read(o.id, string(buffer[:n]))
		}
		if err != nil {
			return
		}
	}
	last(conn)
}

// execution returns the execution of the request with the id.
func (f *fleet) execution(id string) (site.Execution, bool) {
	for _, s := range f.servers {
		if e, found := s.Execution(id); found {
			return e, true
		}
	}
	return site.Execution{}, false
}

// overlaps returns for each stream how long the server of an attempt worked on after that of the next one had begun.
func (f *fleet) overlaps(streams []*clientStream, attempt int) []time.Duration {
	var all []time.Duration
	for _, s := range streams {
		first, found := f.execution(fmt.Sprintf("%s-try%d", s.name, attempt))
		second, continued := f.execution(fmt.Sprintf("%s-try%d", s.name, attempt+1))
		if !found || !continued {
			continue
		}
		if first.EndedAt.IsZero() {
			first.EndedAt = time.Now()
		}
		all = append(all, first.EndedAt.Sub(second.BeganAt))
	}
	return all
}

// tooLong describes the overlaps that are longer than the bound.
func tooLong(overlaps []time.Duration) string {
	n, longest := 0, time.Duration(0)
	for _, o := range overlaps {
		if o > overlapBound {
			n++
		}
		longest = max(longest, o)
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d servers worked on a stream for more than %v after it went on elsewhere, one for %v", n, len(overlaps), overlapBound, longest)
}

// distract keeps net/http from noticing that the caller leaves: it reads a byte after the request.
func distract(conn net.Conn) { _, _ = io.WriteString(conn, "G") }

// requireNoOverlap checks that no server worked on a stream that had gone on elsewhere after the attempt.
func (f *fleet) requireNoOverlap(name string, streams []*clientStream, attempt int) {
	f.Helper()
	overlaps := f.overlaps(streams, attempt)
	f.Logf("%s: %d of %d streams went on", name, len(overlaps), len(streams))
	if len(overlaps) < minStreams {
		f.Errorf("%s: %d of %d streams went on, the test needs %d", name, len(overlaps), len(streams), minStreams)
	}
	if problem := tooLong(overlaps); problem != "" {
		f.Errorf("%s: %s", name, problem)
	}
}

// newOverlapFleet starts a fleet whose servers pace their events.
func newOverlapFleet(t *testing.T, gateways int) *fleet {
	t.Helper()
	f := newFleetOfVersions(t, buildBinary(t), gateways, make([]string, 4), 0)
	requireService(t, f, "before the streams")
	time.Sleep(observeTime)
	// Gateways send a server more requests at a time once they have seen it finish some.
	begin(t.Context(), newClientStreams("first", gateways*streamCount), f.gateways, 0)()
	for _, s := range f.servers {
		s.SetPacedPause(overlapPause)
	}
	f.behaveAll(site.PacedEvents)
	return f
}

// TestServerWorksOnStreamResumedElsewhere guards against servers that still work on a stream which its caller has
// resumed at another gateway, or at the same one.
func TestServerWorksOnStreamResumedElsewhere(t *testing.T) {
	f := newOverlapFleet(t, 3)
	for i, name := range []string{"same", "other"} {
		next := f.gateways[i]
		streams := newClientStreams(name, overlapStreams)
		run(streams, 0, func(_ int, s *clientStream) {
			s.leave(t, f.gateways[0], distract)
			s.send(t.Context(), next)
		})()
		f.requireNoOverlap(name+" gateway", streams, 1)
	}
}

// TestServerWorksOnStreamResumedAfterAKill guards against servers that still work on a stream at the gateway that
// resumed it after the one that began it was killed.
func TestServerWorksOnStreamResumedAfterAKill(t *testing.T) {
	f := newOverlapFleet(t, 4)
	streams := newClientStreams("killed", overlapStreams)
	run(streams, 0, func(_ int, s *clientStream) { s.leave(t, f.gateways[0], func(net.Conn) {}) })()
	f.kill(f.gateways[0])
	streams = begun(streams)
	run(streams, 0, func(_ int, s *clientStream) {
		s.leave(t, f.gateways[1], distract)
		s.send(t.Context(), f.gateways[2])
	})()
	f.requireNoOverlap("after the kill", streams, 2)
}
