package faults_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/site"
	"github.com/crocusline/crocusline/tests/knownred"
)

const (
	// versionGateways is the number of gateways of the tests of versions, and streamCount that of
	// the streams that run at a time.
	versionGateways = 4
	streamCount     = 16
	// minStreams is the number of streams without which a test shows nothing.
	minStreams = 4
	// killedAt is the number of events of each stream when its gateway is killed.
	killedAt = 3
	// takeUpAttempts is the number of attempts in which a client takes a stream up.
	takeUpAttempts = 3
	// killCount is how often all gateways are killed.
	killCount              = 3
	oldVersion, newVersion = "v1", "v1.1"
)

// newVersionFleet starts a fleet with a server of each version, by default two of each of two versions.
func newVersionFleet(t *testing.T, gateways int, versions ...string) *fleet {
	t.Helper()
	if len(versions) == 0 {
		versions = []string{oldVersion, oldVersion, newVersion, newVersion}
	}
	f := newFleetOfVersions(t, buildBinary(t), gateways, versions, 0)
	requireService(t, f, "before the streams")
	// Gateways send a server more requests at a time once they have seen it finish some.
	f.behaveAll(site.PacedEvents)
	begin(t.Context(), newClientStreams("first", gateways*streamCount), f.gateways, 0)()
	return f
}

// setVersionState writes the registry entries of the servers of the version.
func (f *fleet) setVersionState(version, state string) {
	for i, s := range f.servers {
		if s.Version() == version {
			f.setServerState(i, state)
		}
	}
}

// behaveAll sets the behaviour of all servers.
func (f *fleet) behaveAll(b site.Behaviour) {
	for _, s := range f.servers {
		s.Behave(b)
	}
}

// kill kills the gateways at once, and waits for their ends.
func (f *fleet) kill(gateways ...*gateway) {
	for _, g := range gateways {
		g.signal(syscall.SIGKILL)
	}
	for _, g := range gateways {
		if !g.waitExit(exitTimeout) {
			f.Errorf("%s did not exit after SIGKILL", g.name)
		}
	}
}

// breakStreams begins streams at the gateways, kills these in the middle of the streams, and returns
// the streams that have begun. The servers then serve normally.
func (f *fleet) breakStreams(name string, gateways ...*gateway) []*clientStream {
	f.Helper()
	f.behaveAll(site.PacedEvents)
	streams := newClientStreams(name, streamCount)
	wait := begin(f.Context(), streams, gateways, killedAt)
	f.kill(gateways...)
	wait()
	f.behaveAll(site.Serve)
	broken := begun(streams)
	if len(broken) < minStreams {
		f.Errorf("%d of %d streams broke off after they had begun, the test needs %d", len(broken), len(streams), minStreams)
	}
	return broken
}

// startAll starts all gateways, and waits until they serve.
func (f *fleet) startAll(when string) {
	f.Helper()
	for _, g := range f.gateways {
		f.start(g)
	}
	requireService(f.T, f, when)
}

// takenUp takes the streams up, begins as many others, and describes what is wrong: joined streams,
// or a share that goes on below half of the share of the others that begin.
func (f *fleet) takenUp(name string, broken []*clientStream) string {
	f.Helper()
	others := newClientStreams(name+"-other", len(broken))
	takeUp(f.Context(), append(others, broken...), f.gateways, takeUpAttempts)
	wentOn, began := completed(broken), completed(others)
	f.Logf("%s: %d of %d streams went on, %d of %d others began", name, wentOn, len(broken), began, len(others))
	if began < len(others)/2 {
		f.Errorf("%s: %d of %d others began, the test needs half", name, began, len(others))
	}
	if problem := joined(append(others, broken...)); problem != "" {
		return fmt.Sprintf("%s: %s", name, problem)
	}
	if 2*wentOn < began {
		return fmt.Sprintf("%s: %d of %d streams went on, %d of %d others began", name, wentOn, len(broken), began, len(others))
	}
	return ""
}

// TestStreamResumedAtAnotherVersion guards against streams that a gateway resumes within one response
// at a server of another version.
func TestStreamResumedAtAnotherVersion(t *testing.T) {
	f := newVersionFleet(t, 2)
	f.setVersionState(newVersion, "")
	time.Sleep(settleTime)
	for _, s := range f.servers {
		if s.Version() == oldVersion {
			s.Behave(site.PacedAbort)
		}
	}
	streams := newClientStreams("resumed", streamCount)
	wait := begin(t.Context(), streams, f.gateways, 1)
	f.setVersionState(newVersion, "ready")
	wait()
	problem := joined(streams)
	n := completed(streams)
	t.Logf("%d of %d streams got all events", n, len(streams))
	if problem == "" && 2*n < len(streams) {
		problem = fmt.Sprintf("%d of %d streams that broke off went on", n, len(streams))
	}
	knownred.Report(t, problem)
}

// TestStreamTakenUpAtAnotherVersion guards against streams that clients take up at other gateways,
// after the first one was killed, and that don't go on or go on at servers of another version.
func TestStreamTakenUpAtAnotherVersion(t *testing.T) {
	f := newVersionFleet(t, 3)
	broken := f.breakStreams("taken", f.gateways[0])
	takeUp(t.Context(), broken, f.gateways[1:], takeUpAttempts)
	problem := joined(broken)
	if n := completed(broken); problem == "" && n < len(broken) {
		problem = fmt.Sprintf("%d of %d streams went on", n, len(broken))
	}
	knownred.Report(t, problem)
}

// TestStreamsTakenUpAfterAllGatewaysWereKilled guards against streams that don't go on, or go on at
// another version, after all gateways were killed at once and came back, several times in a row.
func TestStreamsTakenUpAfterAllGatewaysWereKilled(t *testing.T) {
	f := newVersionFleet(t, versionGateways)
	problem := ""
	for n := range killCount {
		name := fmt.Sprintf("kill-%d", n+1)
		broken := f.breakStreams(name, f.gateways...)
		f.startAll("after " + name)
		if found := f.takenUp(name, broken); found != "" {
			t.Log(found)
			problem = found
		}
	}
	knownred.Report(t, problem)
}

// TestStreamsTakenUpAfterTheirVersionLeft guards against streams that go on at another version after
// all gateways were killed and the servers of their version left, and against refusals that are untrue.
func TestStreamsTakenUpAfterTheirVersionLeft(t *testing.T) {
	f := newVersionFleet(t, versionGateways)
	f.setVersionState(newVersion, "")
	time.Sleep(settleTime)
	broken := f.breakStreams("left", f.gateways...)
	f.setVersionState(oldVersion, "")
	f.setVersionState(newVersion, "ready")
	f.startAll("after the version left")
	takeUp(t.Context(), broken, f.gateways, 1)
	problem := joined(broken)
	if problem == "" {
		problem = f.accepted(broken)
	}
	knownred.Report(t, problem)
}

// TestTakeUpOfATakeUp guards against streams that go on at another version when the client takes them
// up once more, after two gateways were killed.
func TestTakeUpOfATakeUp(t *testing.T) {
	const secondKillAt = killedAt + 3
	f := newVersionFleet(t, 3)
	broken := f.breakStreams("again", f.gateways[0])
	f.behaveAll(site.PacedEvents)
	wait := begin(t.Context(), broken, f.gateways[1:2], secondKillAt)
	f.kill(f.gateways[1])
	wait()
	f.behaveAll(site.Serve)
	takeUp(t.Context(), broken, f.gateways[2:], takeUpAttempts)
	problem := joined(broken)
	if n := completed(broken); problem == "" && n < len(broken) {
		problem = fmt.Sprintf("%d of %d streams went on", n, len(broken))
	}
	knownred.Report(t, problem)
}

// TestTakeUpWithoutItsRecord guards against streams that go on though the gateways can't know the
// version that began them.
func TestTakeUpWithoutItsRecord(t *testing.T) {
	f := newVersionFleet(t, 3)
	for _, c := range []struct {
		name   string
		change func(http.Header)
	}{
		{"missing", func(h http.Header) { h.Del("Resumes") }},
		{"empty", func(h http.Header) { h.Set("Resumes", "") }},
		{"unknown", func(h http.Header) { h.Set("Resumes", "no-such-attempt") }},
		{"itself", func(h http.Header) { h.Set("Resumes", h.Get("Request-Id")) }},
		{"two", func(h http.Header) { h["Resumes"] = []string{"no-such-attempt", h.Get("Resumes")} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken := f.breakStreams("record-"+c.name, f.gateways...)
			f.startAll("after " + c.name)
			takeUp(t.Context(), broken, f.gateways, 1, c.change)
			knownred.Report(t, f.accepted(broken))
		})
	}
	t.Run("lost", func(t *testing.T) {
		f.copyStore()
		broken := f.breakStreams("record-lost", f.gateways...)
		f.restoreStore(0)
		f.startAll("after the copy")
		takeUp(t.Context(), broken, f.gateways, 1)
		knownred.Report(t, f.accepted(broken))
	})
}
