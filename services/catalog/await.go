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
	return s.await(ctx, s.tablesView, func() {
		if s.tables.Arriving() && s.tablesView().UpdateExpected() {
			s.tablesSlow.Store(true)
		}
	})
}

// AwaitServers does for the list of servers what AwaitTables does for the tables.
func (s *Service) AwaitServers(ctx context.Context) bool {
	return s.await(ctx, s.serversView, func() {})
}

// await calls inVain if there was no read in time.
func (s *Service) await(ctx context.Context, view func() roster.View, inVain func()) bool {
	if !view().UpdateExpected() {
		return false
	}
	timer := time.NewTimer(maxViewWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		read := s.read
		s.mu.Unlock()
		if !view().UpdateExpected() {
			return true
		}
		select {
		case <-read:
		case <-timer.C:
			inVain()
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
