package catalog

import (
	"context"
	"time"

	"github.com/crocusline/crocusline/models/roster"
)

// maxViewWait is how long work waits for the read that follows a pause of the process.
const maxViewWait = 150 * time.Millisecond

// bounded returns the age from which on a state counts as outdated.
func bounded(bound time.Duration) time.Duration {
	return time.Duration(currentShare * float64(bound))
}

func (s *Service) tablesView() roster.View {
	return roster.View{
		Age: s.Age(), Bound: bounded(s.tableBound), Reachable: s.tables.Reachable(), Slow: s.tablesSlow.Load(),
	}
}

func (s *Service) serversView() roster.View {
	return roster.View{Age: s.servers.Age(), Bound: bounded(s.serverBound), Reachable: s.servers.Reachable()}
}

// listTime returns the time up to which the list of servers is known: the present one, unless the process has not read
// for a while. Entries that weren't seen in that time may have been written.
func (s *Service) listTime(now time.Time) time.Time {
	if v := s.serversView(); v.UpdateExpected() {
		return now.Add(-v.Age)
	}
	return now
}

// Current reports whether the routing tables hold all that the operators' bound requires.
// Tables that are not current may lack routes and API keys.
func (s *Service) Current() bool { return s.tablesView().Current() }

// AwaitTables waits for the next read of the routing tables if this process has not run for a while, and reports
// whether it has waited. It returns soon in any case.
func (s *Service) AwaitTables(ctx context.Context) bool {
	return s.await(ctx, func() bool { return s.tablesView().UpdateExpected() })
}

// AwaitServers does for the list of servers, and for the evacuations if operators have set a bound for them, what
// AwaitTables does for the tables.
func (s *Service) AwaitServers(ctx context.Context) bool {
	return s.await(ctx, func() bool {
		return s.serversView().UpdateExpected() || s.evacuationsView().UpdateExpected()
	})
}

// await waits while an update is expected. If there was no read in time and the tables' response arrives, no other work
// waits for that.
func (s *Service) await(ctx context.Context, expected func() bool) bool {
	if !expected() {
		return false
	}
	timer := time.NewTimer(maxViewWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		read := s.read
		s.mu.Unlock()
		if !expected() {
			return true
		}
		select {
		case <-read:
		case <-timer.C:
			if s.tables.Arriving() && (s.tablesView().UpdateExpected() || s.evacuationsView().UpdateExpected()) {
				s.tablesSlow.Store(true)
			}
			return true
		case <-ctx.Done():
			return true
		}
	}
}

// notifyRead wakes those that wait for a read, with the service locked.
func (s *Service) notifyRead() {
	close(s.read)
	s.read = make(chan struct{})
}
