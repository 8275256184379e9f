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
	// overlapBound is how long a server may work on a stream after it went on at another one.
	overlapBound = 400 * time.Millisecond
)

// leave begins the stream at the gateway, reads its first event, and closes the connection after the last step.
func (s *clientStream) leave(t *testing.T, g *gateway, last func(net.Conn)) {
	t.Helper()
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
	for s.events() == 0 {
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

// overlaps returns for each stream how long its first server worked on after the server of its second attempt had begun.
func (f *fleet) overlaps(streams []*clientStream) []time.Duration {
	var all []time.Duration
	for _, s := range streams {
		first, found := f.execution(s.name + "-try1")
		second, continued := f.execution(s.name + "-try2")
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

// TestServerWorksOnStreamResumedElsewhere guards against servers that still work on a stream which its caller has
// resumed at another gateway, or at the same one. A byte that follows the request keeps net/http from noticing that the
// caller has left.
func TestServerWorksOnStreamResumedElsewhere(t *testing.T) {
	const gateways = 3
	f := newFleetOfVersions(t, buildBinary(t), gateways, make([]string, 4), 0)
	requireService(t, f, "before the streams")
	// Gateways send a server more requests at a time once they have seen it finish some.
	begin(t.Context(), newClientStreams("first", gateways*streamCount), f.gateways, 0)()
	for _, s := range f.servers {
		s.SetPacedPause(overlapPause)
	}
	f.behaveAll(site.PacedEvents)
	for i, name := range []string{"same", "other"} {
		next := f.gateways[i]
		streams := newClientStreams(name, overlapStreams)
		run(streams, 0, func(_ int, s *clientStream) {
			s.leave(t, f.gateways[0], func(conn net.Conn) { _, _ = io.WriteString(conn, "G") })
			s.send(t.Context(), next)
		})()
		overlaps := f.overlaps(streams)
		if len(overlaps) < minStreams {
			t.Errorf("%s gateway: %d of %d streams went on, the test needs %d", name, len(overlaps), len(streams), minStreams)
		}
		if problem := tooLong(overlaps); problem != "" {
			t.Errorf("%s gateway: %s", name, problem)
		}
	}
}
