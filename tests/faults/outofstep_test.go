package faults_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/site"
)

const (
	// outOfStepFor is how long a gateway is out of step before streams are resumed at it.
	outOfStepFor = 3 * time.Second
	// queuedFor is how long requests wait at a gateway that stands still.
	queuedFor = 300 * time.Millisecond
)

// outOfStep is a way in which the last gateway is out of step with the others. begin starts it,
// resume is called while streams are resumed at the gateway, and end ends it.
type outOfStep struct {
	name               string
	begin, resume, end func(f *fleet)
}

// outOfStepWays returns the ways.
func outOfStepWays() []outOfStep {
	none := func(*fleet) {}
	cut := func(m proxyMode) func(*fleet) {
		return func(f *fleet) { f.last().storeProxy.setMode(m) }
	}
	signalOthers := func(f *fleet, s syscall.Signal) {
		for _, g := range f.others() {
			g.signal(s)
		}
	}
	return []outOfStep{
		{"stands still", func(f *fleet) { f.last().signal(syscall.SIGSTOP) }, func(f *fleet) {
			time.Sleep(queuedFor)
			f.last().signal(syscall.SIGCONT)
		}, none},
		{"cut off from the store", cut(stall), none, cut(forward)},
		{"cut off from the store and the others", cut(stall), func(f *fleet) { signalOthers(f, syscall.SIGSTOP) }, func(f *fleet) {
			signalOthers(f, syscall.SIGCONT)
			cut(forward)(f)
		}},
	}
}

// last returns the last gateway, which knows the addresses of the others.
func (f *fleet) last() *gateway { return f.gateways[len(f.gateways)-1] }

// others returns all gateways but the last.
func (f *fleet) others() []*gateway { return f.gateways[:len(f.gateways)-1] }

// joinNewVersion lets three servers of the new version join: one that starts again under its id and
// address, one at the address of another one that has left, and one of which nothing was known. The
// first server keeps the old version.
func (f *fleet) joinNewVersion() {
	const again, left, atAddress, unknown = 1, 2, 3, 4
	f.restartServerAs(again, newVersion)
	f.setServerState(left, "")
	f.serverProxies[left].lead(f.servers[atAddress].Address())
	f.servers[atAddress].SetStarted(startTime(0))
	f.putServerStart("s", f.servers[atAddress].ID, f.serverProxies[left].address(), "ready", newVersion, 0)
	f.setServerState(unknown, "ready")
}

// TestStreamsResumedAtGatewayOutOfStep guards against streams that began at servers of a version that joined
// while a gateway was out of step, are resumed at that gateway, and go on at servers of another version.
func TestStreamsResumedAtGatewayOutOfStep(t *testing.T) {
	for _, way := range outOfStepWays() {
		t.Run(way.name, func(t *testing.T) {
			f := newVersionFleet(t, 3, oldVersion, oldVersion, oldVersion, newVersion, newVersion)
			f.setVersionState(newVersion, "")
			time.Sleep(settleTime)
			early := f.leaveStreams("early")
			way.begin(f)
			f.joinNewVersion()
			time.Sleep(outOfStepFor)
			streams := slices.Concat(early, f.leaveStreams("late"))
			wait := run(streams, 0, func(_ int, s *clientStream) { s.send(t.Context(), f.last()) })
			way.resume(f)
			wait()
			t.Log(f.firstResumptions(streams))
			way.end(f)
			takeUp(t.Context(), streams, f.gateways, takeUpAttempts)
			n := completed(streams)
			t.Logf("%d of %d streams got all events", n, len(streams))
			if 2*n < len(streams) {
				t.Errorf("%d of %d streams went on", n, len(streams))
			}
			if problem := joined(streams); problem != "" {
				t.Error(problem)
			}
		})
	}
}

// leaveStreams begins streams at all gateways but the first, which the clients leave.
func (f *fleet) leaveStreams(name string) []*clientStream {
	f.Helper()
	f.behaveAll(site.PacedEvents)
	streams := newClientStreams(name, streamCount)
	ctx, leave := context.WithCancel(f.Context())
	wait := begin(ctx, streams, f.others(), killedAt)
	leave()
	wait()
	f.behaveAll(site.Serve)
	left := begun(streams)
	if len(left) < minStreams {
		f.Errorf("%s: %d of %d streams began, the test needs %d", name, len(left), len(streams), minStreams)
	}
	return left
}

// firstResumptions describes how the streams went on by version, and how many resumptions were refused.
// Those that were refused with a guarantee must not have run.
func (f *fleet) firstResumptions(streams []*clientStream) string {
	f.Helper()
	wentOn, refused, failed := map[string]int{}, map[string]int{}, 0
	for _, s := range streams {
		version, o := firstVersion(s.received), s.last()
		switch {
		case s.complete():
			wentOn[version]++
		case o.status == http.StatusServiceUnavailable && o.guaranteesNotRun():
			refused[version]++
			for _, server := range f.servers {
				if server.ExecutionCount(o.id) > 0 {
					f.Errorf("%s was refused and ran", o.id)
				}
			}
		default:
			failed++
		}
	}
	return fmt.Sprintf("by version, %v went on at once, %v were refused with a guarantee, %d failed otherwise", wentOn, refused, failed)
}

// TestServerThatCannotRegister guards against streams that begin on a server which started again as
// another version while the store was away, and which the list still shows as the version before.
func TestServerThatCannotRegister(t *testing.T) {
	f := newVersionFleet(t, 2)
	f.setVersionState(newVersion, "")
	time.Sleep(settleTime)
	f.setStoreModes(stall)
	f.servers[1].SetVersion(newVersion)
	f.servers[1].SetStarted(startTime(1))
	f.serverProxies[1].resetOpen()
	begin(t.Context(), newClientStreams("connecting", streamCount), f.gateways, 0)()
	time.Sleep(outOfStepFor)
	f.setStoreModes(forward)
	f.behaveAll(site.PacedAbort)
	time.Sleep(settleTime)
	streams := newClientStreams("unregistered", 2*streamCount)
	begin(t.Context(), streams, f.gateways, killedAt)()
	f.behaveAll(site.Serve)
	takeUp(t.Context(), streams, f.gateways, takeUpAttempts)
	t.Logf("%d of %d streams got all events", completed(streams), len(streams))
	if problem := joined(streams); problem != "" {
		t.Error(problem)
	}
}

// TestStreamsResumedByGatewayThatStoodStill guards against streams that break off while their gateway stands
// still, and that it resumes, by the list that it had before, at servers of another version.
func TestStreamsResumedByGatewayThatStoodStill(t *testing.T) {
	const stoodStill = 800 * time.Millisecond
	f := newVersionFleet(t, 2, oldVersion, oldVersion, oldVersion, newVersion, newVersion)
	f.setVersionState(newVersion, "")
	time.Sleep(settleTime)
	f.behaveAll(site.PacedEvents)
	streams := newClientStreams("own", 2*streamCount)
	wait := begin(t.Context(), streams, f.others(), 1)
	for _, g := range f.others() {
		g.signal(syscall.SIGSTOP)
	}
	f.joinNewVersion()
	f.behaveAll(site.Serve)
	time.Sleep(stoodStill)
	for _, g := range f.others() {
		g.signal(syscall.SIGCONT)
	}
	wait()
	within := completed(streams)
	takeUp(t.Context(), streams, f.gateways, takeUpAttempts)
	t.Logf("%d of %d streams got all events within their response, and %d when they were resumed", within, len(streams), completed(streams))
	if problem := joined(streams); problem != "" {
		t.Error(problem)
	}
}
