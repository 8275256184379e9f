package faults_test

import (
	"context"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/site"
	"github.com/crocusline/crocusline/tests/knownred"
)

const (
	// unreadFor is how long gateways couldn't read the store when streams begin.
	unreadFor = time.Second
	// copyAge is how long after a copy the store returns to it, and awayFor how long it is away.
	copyAge = time.Second
	awayFor = 300 * time.Millisecond
)

// TestServerStartsAgainAsAnotherVersion guards against streams that go on at a server that started again
// under its identifier as another version, when the gateway couldn't read that in the store.
func TestServerStartsAgainAsAnotherVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is whether the store can't be read already when the streams begin.
		before bool
	}{
		{"unread before the streams", true}, {"unread during the streams", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newVersionFleet(t, 2)
			f.setVersionState(newVersion, "")
			time.Sleep(settleTime)
			f.behaveAll(site.PacedEvents)
			if c.before {
				f.setStoreModes(stall)
				time.Sleep(unreadFor)
			}
			streams := newClientStreams("restarted", streamCount)
			wait := begin(t.Context(), streams, f.gateways, killedAt)
			f.setStoreModes(stall)
			for i, s := range f.servers {
				if s.Version() == oldVersion {
					f.restartServerAs(i, newVersion)
				}
			}
			wait()
			f.behaveAll(site.Serve)
			takeUp(t.Context(), streams, f.gateways, 1)
			f.setStoreModes(forward)
			requireService(t, f, "after the store was unread")
			takeUp(t.Context(), begun(streams), f.gateways, takeUpAttempts)
			t.Logf("%d of %d streams got all events", completed(streams), len(streams))
			knownred.Report(t, joined(streams))
		})
	}
}

// setStoreModes sets the mode of all gateways' connections to the store.
func (f *fleet) setStoreModes(m proxyMode) {
	for _, g := range f.gateways {
		g.storeProxy.setMode(m)
	}
}

// TestStreamsBegunWithoutTheStore guards against streams that go on at another version after they began
// while the store failed calls, and all gateways were killed.
func TestStreamsBegunWithoutTheStore(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault site.Fault
	}{
		{"unavailable", site.Unavailable}, {"responses dropped", site.DropResponses},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newVersionFleet(t, versionGateways)
			f.store.SetFault(c.fault)
			streams := newClientStreams("without", streamCount)
			wait := begin(t.Context(), streams, f.gateways, killedAt)
			f.kill(f.gateways...)
			wait()
			f.behaveAll(site.Serve)
			broken := begun(streams)
			f.store.SetFault(site.NoFault)
			f.startAll("after the store was away")
			takeUp(t.Context(), broken, f.gateways, takeUpAttempts)
			t.Logf("%d of %d streams had begun, %d got all events", len(broken), len(streams), completed(broken))
			knownred.Report(t, joined(broken))
		})
	}
}

// TestStreamsTakenUpAfterTheStoreReturnedFromACopy guards against streams that don't go on, or go on at
// another version, when the store returned from a copy that was made after they had begun.
func TestStreamsTakenUpAfterTheStoreReturnedFromACopy(t *testing.T) {
	f := newVersionFleet(t, versionGateways)
	broken := f.breakStreams("copied", f.gateways...)
	f.startAll("before the copy")
	f.copyStore()
	time.Sleep(copyAge)
	f.restoreStore(awayFor)
	requireService(t, f, "after the copy")
	knownred.Report(t, f.takenUp("copied", broken))
}

// TestStreamsTakenUpWhileTheStoreIsAway guards against streams that don't go on at other gateways while the store
// is away, though the gateways that began them live.
func TestStreamsTakenUpWhileTheStoreIsAway(t *testing.T) {
	f := newVersionFleet(t, versionGateways)
	f.store.SetFault(site.Unavailable)
	ctx, leave := context.WithCancel(t.Context())
	streams := newClientStreams("away", streamCount)
	wait := begin(ctx, streams, f.gateways, killedAt)
	leave()
	wait()
	f.behaveAll(site.Serve)
	problem := f.takenUp("away", begun(streams))
	f.store.SetFault(site.NoFault)
	if problem != "" {
		t.Error(problem)
	}
}
