package load

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// server is a backend server: a sidecar with its queue, and its engine.
type server struct {
	run      *run
	name     string
	domain   string
	pool     *Pool
	queue    *queue.Queue
	engine   *engine
	attempts map[string]*attempt
	down     bool
	// eachNth makes every nth call fail if it is above 0.
	eachNth  int
	calls    int
	stepping bool
	// generation is incremented by each reset, so that events scheduled before a
	// reset are ignored.
	generation int
	wakeAt     time.Time
	// busyTime is the sum of the time for which slots were in use.
	busyTime time.Duration
}

func (r *run) newServer(name, domain string, pool *Pool) *server {
	s := &server{run: r, name: name, domain: domain, pool: pool}
	s.reset()
	return s
}

// reset replaces the queue, the engine and its cache with empty ones.
func (s *server) reset() {
	p := s.run.workload.Policy
	opts := []queue.Option{
		queue.WithSlots(s.pool.Slots), queue.WithOrder(p.Order),
		queue.WithTimePerToken(s.pool.fullStep()),
		queue.WithFloor(rank.Normal, p.NormalFloor), queue.WithFloor(rank.Bulk, p.BulkFloor),
	}
	if !p.Prediction {
		opts = append(opts, queue.WithoutPrediction())
	}
	if !p.Preemption {
		opts = append(opts, queue.WithoutPreemption())
	}
	s.queue = queue.New(opts...)
	s.engine = &engine{pool: s.pool, cache: newCache(s.pool.CacheTokens)}
	s.attempts = map[string]*attempt{}
	s.stepping, s.wakeAt = false, time.Time{}
	s.generation++
}

// enqueue adds an attempt to the queue, or returns the queue's refusal.
func (s *server) enqueue(a *attempt) error {
	r := a.request
	_, err := s.queue.Enqueue(s.run.now, queue.Request{
		ID: a.id, Workspace: r.workspace, Kind: r.stream.Kind, Rank: r.stream.Rank,
		PromptTokens: int64(a.promptTokens()), MaxTokens: int64(r.stream.MaxOutput - a.resumedFrom),
		Deadline: r.deadline, NonPreemptible: !r.stream.Idempotent,
	})
	if err != nil {
		return err
	}
	s.attempts[a.id] = a
	s.applyActions()
	return nil
}

// applyActions carries out the queue's current scheduling decisions.
func (s *server) applyActions() {
	for _, action := range s.queue.Schedule(s.run.now) {
		switch action := action.(type) {
		case queue.Start:
			s.startAttempt(s.attempts[action.ID])
		case queue.Preempt:
			s.engine.stop(s.attempts[action.ID])
		case queue.Expire:
			a := s.attempts[action.ID]
			delete(s.attempts, action.ID)
			a.entry.handleRefusal(a, action.Err)
		}
	}
	s.scheduleNext()
}

func (s *server) startAttempt(a *attempt) {
	prefixHit := s.engine.start(a)
	if a.cacheCounted {
		return
	}
	a.cacheCounted = true
	s.run.result.recordPrefixHit(s.run.now, prefixHit, a.request)
	s.calls++
	a.willFail = s.eachNth > 0 && s.calls%s.eachNth == 0
}

// scheduleNext schedules the next engine step and the queue's next expiry.
func (s *server) scheduleNext() {
	generation := s.generation
	if !s.stepping && len(s.engine.running) > 0 {
		s.stepping = true
		prefill, took := s.engine.planStep()
		s.run.after(took, func() {
			if s.generation == generation {
				s.finishStep(prefill, took)
			}
		})
	}
	if at, ok := s.queue.NextExpiry(); ok && !at.Equal(s.wakeAt) {
		s.wakeAt = at
		s.run.at(at.Add(time.Nanosecond), func() {
			if s.generation == generation {
				s.applyActions()
			}
		})
	}
}

// finishStep completes a step of the engine.
func (s *server) finishStep(prefill map[*attempt]int, took time.Duration) {
	s.stepping = false
	for _, a := range append([]*attempt(nil), s.engine.running...) {
		prefilled, planned := prefill[a]
		if !planned {
			continue
		}
		s.busyTime += took
		s.run.result.recordSlotTime(a.request, took)
		if s.engine.advance(a, prefilled) {
			s.emitToken(a)
		}
		if !a.request.deadline.IsZero() && s.run.now.After(a.request.deadline) && s.attempts[a.id] == a {
			s.abort(a, refusal.DeadlineExpired)
		}
	}
	s.applyActions()
}

// emitToken records a generated token and completes the attempt after its last one.
func (s *server) emitToken(a *attempt) {
	if a.willFail {
		a.generated--
		s.abort(a, refusal.ServerFailed)
		return
	}
	s.queue.RecordTokens(a.id, 1)
	a.request.addToken(s.run.now.Add(s.run.workload.Hop))
	if a.remaining() > 0 {
		return
	}
	s.engine.stop(a)
	s.queue.Finish(s.run.now, a.id)
	delete(s.attempts, a.id)
	a.entry.handleCompletion(a)
}

// abort ends a running attempt without a complete response.
func (s *server) abort(a *attempt, reason refusal.Reason) {
	s.engine.stop(a)
	s.queue.Cancel(s.run.now, a.id)
	delete(s.attempts, a.id)
	s.run.after(s.run.workload.Hop, func() {
		a.entry.handleFailure(a, callFailed, &refusal.Error{Reason: reason, Outcome: refusal.Unknown})
	})
}

// takeDown makes the server unreachable and discards its queued and running
// attempts.
func (s *server) takeDown() {
	s.down = true
	attempts := make([]*attempt, 0, len(s.attempts))
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		attempts = append(attempts, s.attempts[id])
	}
	s.reset()
	s.run.after(s.run.workload.Detect, func() {
		for _, a := range attempts {
			a.entry.selector(a.server).RecordFailure(s.run.now, s.name)
			a.entry.handleFailure(a, lostAfterDelivery, &refusal.Error{Reason: refusal.ServerFailed, Outcome: refusal.Unknown})
		}
	})
}
