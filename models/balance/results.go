package balance

import (
	"time"

	"github.com/crocusline/crocusline/models/notice"
)

// Parameters of the reaction to failures: the bounds of the suspension of an
// unreachable server, and the window of the failure rate.
const (
	minSuspension = 400 * time.Millisecond
	maxSuspension = 3 * time.Second
	// failureWindow is the number of responses over which the failure rate is
	// averaged.
	failureWindow = 8.0
)

// RecordSent records that a request was sent to the server, until RecordEnd. The
// request's shared segments are recorded as cached at once, since the server
// processes later requests after this one.
func (b *Balancer) RecordSent(now time.Time, id string, r Request, c Choice) {
	s, ok := b.servers[id]
	if !ok {
		return
	}
	s.unread[r.ID] = b.newPrediction(now, s, r, c)
	s.running++
	s.pendingTokens += uncachedTokens(r, c.CachedTokens)
	if len(r.Segments) > 1 {
		s.cache.add(now, r.Segments[:len(r.Segments)-1])
	}
	if s.suspension > 0 {
		s.trials[r.ID] = true
	}
	b.board.RecordSent(now, s.Server)
	if start := b.board.Start(s.Server); start != nil {
		start.RecordSent(now, r.ID, c.PredictedLatency)
	}
}

// newPrediction returns what is predicted for a request that is sent now. Its time to the
// first event shows the server's speed unless the server may begin with less than all of
// the load: it may have shared segments cached from other gateways, and it has processed a
// part of the prompts that wait.
func (b *Balancer) newPrediction(now time.Time, s *server, r Request, c Choice) prediction {
	p := prediction{sentAt: now, firstEventDue: now.Add(c.PredictedLatency)}
	_, ambiguous := s.unread[r.ID]
	if b.cacheTokens == 0 {
		p.load, _ = b.load(s, r, false)
		p.comparable = !ambiguous
		return p
	}
	p.load = s.promptLoad(r, c.CachedTokens)
	p.comparable = !ambiguous && s.pendingTokens == 0 && c.CachedTokens >= sharedTokens(r.Segments)
	return p
}

// RecordFirstEvent records that the server has processed a request's prompt.
func (b *Balancer) RecordFirstEvent(now time.Time, id string, r Request, cached int64) {
	s, ok := b.servers[id]
	if !ok {
		return
	}
	if p, pending := s.unread[r.ID]; pending {
		s.delay = (s.backlog(now) + max(0, now.Sub(p.firstEventDue))) / 2
		s.delayedAt = now
		delete(s.unread, r.ID)
		if p.comparable {
			b.latency.Record(&s.latency, p.load, now.Sub(p.sentAt))
		}
	}
	s.pendingTokens = max(0, s.pendingTokens-uncachedTokens(r, cached))
	s.cache.add(now, r.Segments)
	if start := b.board.Start(s.Server); start != nil {
		start.RecordFirstEvent(now, r.ID, b.meanRunning())
	}
}

// meanRunning returns the number of this gateway's requests that run, per server.
func (b *Balancer) meanRunning() float64 {
	sum := 0
	for _, s := range b.servers {
		sum += s.running
	}
	return float64(sum) / float64(len(b.servers))
}

// RecordRejected records that the server refused or failed a request.
func (b *Balancer) RecordRejected(now time.Time, id string) {
	if s, ok := b.servers[id]; ok {
		s.slowDown(now, b.board)
	}
}

func (s *server) slowDown(now time.Time, board *notice.Board) {
	if start := board.Start(s.Server); start != nil {
		start.RecordFailure(now)
	}
}

// RecordUnread records that a request ended before its first event, so that its prompt no
// longer waits at the server. The time until then shows nothing about the server's speed.
func (b *Balancer) RecordUnread(id string, r Request, cached int64) {
	if s, ok := b.servers[id]; ok {
		delete(s.unread, r.ID)
		s.pendingTokens = max(0, s.pendingTokens-uncachedTokens(r, cached))
	}
}

// RecordEnd records the end of a request that was sent.
func (b *Balancer) RecordEnd(id string, r Request) {
	if s, ok := b.servers[id]; ok {
		delete(s.unread, r.ID)
		s.running = max(0, s.running-1)
		delete(s.trials, r.ID)
		if start := b.board.Start(s.Server); start != nil {
			start.RecordEnd(r.ID)
		}
	}
}

// RecordSuccess records a successful response and ends a suspension.
func (b *Balancer) RecordSuccess(id string) {
	if s, ok := b.servers[id]; ok {
		s.failureRate -= s.failureRate / failureWindow
		if s.suspension > 0 && b.endSuspension(s) {
			// It would keep the server idle, as it decays with responses only.
			s.failureRate = 0
		}
	}
}

// endSuspension ends a suspension, and reports whether the server starts slowly, as all gateways return to it
// at once.
func (b *Balancer) endSuspension(s *server) bool {
	s.suspension = 0
	b.board.StartSlowly(s.Server)
	return b.board.Start(s.Server) != nil
}

// RecordFailure records a response that reports a failure of the server. It ends a
// suspension, since the server is reachable.
func (b *Balancer) RecordFailure(id string) {
	if s, ok := b.servers[id]; ok {
		s.failureRate += (1 - s.failureRate) / failureWindow
		if s.suspension > 0 {
			b.endSuspension(s)
		}
	}
}

// RecordUnreachable records that the server did not respond, and suspends it for a
// time that doubles with each consecutive failure.
func (b *Balancer) RecordUnreachable(now time.Time, id string) {
	s, ok := b.servers[id]
	if !ok {
		return
	}
	s.failureRate += (1 - s.failureRate) / failureWindow
	s.slowDown(now, b.board)
	if now.Before(s.suspendedUntil) {
		return
	}
	s.suspension = min(max(minSuspension, 2*s.suspension), maxSuspension)
	s.suspendedUntil = now.Add(s.suspension)
}
