package quarantine

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/quarantine"
	"github.com/crocusline/crocusline/modules/delay"
)

// Dialer establishes connections to servers.
type Dialer interface {
	// Connect returns an error if the server accepts no connection, of the kind
	// syscall.ECONNREFUSED if it refuses one.
	Connect(ctx context.Context, address netip.AddrPort) error
}

// Server identifies the start of a server.
type Server struct {
	ID      string
	Address netip.AddrPort
	// Started is in ms since 1970, by the server's clock, or 0 if unknown.
	Started int64
}

func (s Server) start() string { return fmt.Sprintf("%s/%d", s.ID, s.Started) }

// RecordBroken records that a server broke off the response to a prompt with the segments
// that it was about to answer. The server is called to find out whether it has crashed.
func (s *Service) RecordBroken(server Server, segments []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || len(segments) == 0 {
		return
	}
	if len(s.broken) == 0 {
		s.running.Go(s.callBroken)
	}
	s.broken[server] = union(s.broken[server], considered(segments))
}

// callBroken gathers servers that break off responses, calls them, and publishes the crashes of
// those that accept no connection.
func (s *Service) callBroken() {
	if !delay.Wait(s.ctx, gatherTime) {
		return
	}
	s.mu.Lock()
	broken := s.broken
	s.broken = map[Server][]string{}
	s.mu.Unlock()
	crashed := s.call(broken)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, c := range crashed {
		s.crashed[c.Server] = now
		s.tracker.RecordCrash(now, c)
		s.publish(quarantine.Observation{Server: c.Server, Segments: c.Segments})
	}
	s.clearAnswered()
}

// call calls the servers and returns those that refuse the connection: no process listens there any
// more. A server that merely can't be reached may be cut off from this gateway.
func (s *Service) call(broken map[Server][]string) []quarantine.Crash {
	var mu sync.Mutex
	var calls sync.WaitGroup
	var crashed []quarantine.Crash
	for server, segments := range broken {
		calls.Go(func() {
			err := s.dialer.Connect(s.ctx, server.Address)
			if err == nil || s.ctx.Err() != nil {
				return
			}
			if !errors.Is(err, syscall.ECONNREFUSED) {
				s.log.Debug("server not reachable", "server", server.ID, "segments", segments, "error", err)
				return
			}
			s.log.Info("server crashed under prompts", "server", server.ID, "segments", segments, "error", err)
			mu.Lock()
			defer mu.Unlock()
			crashed = append(crashed, quarantine.Crash{Server: server.start(), Segments: segments})
		})
	}
	calls.Wait()
	return crashed
}

// union returns the segments of both lists, each once.
func union(a, b []string) []string {
	for _, id := range b {
		if !slices.Contains(a, id) {
			a = append(a, id)
		}
	}
	return a
}
