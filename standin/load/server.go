package load

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// server is a sidecar with its queue and the engine behind it.
type server struct {
	run      *run
	name     string
	domain   string
	pool     *Pool
	queue    *queue.Queue
	engine   *engine
	attempts map[string]*attempt
	lost     bool
	// eachNth lets each nth call fail when it is above 0.
	eachNth  int
	calls    int
	stepping bool
	// life tells the steps of an earlier life from those of this one.
	life int
	wake time.Time
	// busy adds up the time that slots were in use.
	busy time.Duration
}

func (r *run) newServer(name, domain string, pool *Pool) *server {
	s := &server{run: r, name: name, domain: domain, pool: pool}
	s.reset()
	return s
}

// reset starts the sidecar and its engine anew.
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
	s.stepping, s.wake = false, time.Time{}
	s.life++
}

// offer hands an attempt to the queue.
func (s *server) offer(a *attempt) error {
	r := a.request
	_, err := s.queue.Enqueue(s.run.now, queue.Request{
		ID: a.id, Workspace: r.workspace, Kind: r.stream.Kind, Rank: r.stream.Rank,
		PromptTokens: int64(a.promptTokens()), MaxTokens: int64(r.stream.MaxOutput - a.base),
		Deadline: r.deadline, NonPreemptible: !r.stream.Idempotent,
	})
	if err != nil {
		return err
	}
	s.attempts[a.id] = a
	s.act()
	return nil
}

// act carries out what the queue decides now.
func (s *server) act() {
	for _, action := range s.queue.Schedule(s.run.now) {
		switch action := action.(type) {
		case queue.Start:
			s.start(s.attempts[action.ID])
		case queue.Preempt:
			s.engine.stop(s.attempts[action.ID])
		case queue.Expire:
			a := s.attempts[action.ID]
			delete(s.attempts, action.ID)
			a.entry.refused(a, action.Err)
		}
	}
	s.schedule()
}

func (s *server) start(a *attempt) {
	hit := s.engine.start(a)
	if a.looked {
		return
	}
	a.looked = true
	s.run.result.prefixHit(s.run.now, hit, a.request)
	s.calls++
	a.failing = s.eachNth > 0 && s.calls%s.eachNth == 0
}

// schedule plans the next step and the next wake-up of the queue.
func (s *server) schedule() {
	life := s.life
	if !s.stepping && len(s.engine.running) > 0 {
		s.stepping = true
		reads, took := s.engine.plan()
		s.run.after(took, func() {
			if s.life == life {
				s.step(reads, took)
			}
		})
	}
	if at, ok := s.queue.NextExpiry(); ok && !at.Equal(s.wake) {
		s.wake = at
		s.run.at(at.Add(time.Nanosecond), func() {
			if s.life == life {
				s.act()
			}
		})
	}
}

// step ends a step of the engine.
func (s *server) step(reads map[*attempt]int, took time.Duration) {
	s.stepping = false
	for _, a := range append([]*attempt(nil), s.engine.running...) {
		read, planned := reads[a]
		if !planned {
			continue
		}
		s.busy += took
		s.run.result.slot(a.request, took)
		if s.engine.advance(a, read) {
			s.token(a)
		}
		if !a.request.deadline.IsZero() && s.run.now.After(a.request.deadline) && s.attempts[a.id] == a {
			s.cut(a, refusal.DeadlineExpired)
		}
	}
	s.act()
}

func (s *server) token(a *attempt) {
	if a.failing {
		a.served--
		s.cut(a, refusal.ServerFailed)
		return
	}
	s.queue.RecordTokens(a.id, 1)
	a.request.token(s.run.now.Add(s.run.workload.Hop))
	if a.left() > 0 {
		return
	}
	s.engine.stop(a)
	s.queue.Finish(s.run.now, a.id)
	delete(s.attempts, a.id)
	a.entry.finished(a)
}

// cut ends a running attempt without a whole answer.
func (s *server) cut(a *attempt, reason refusal.Reason) {
	s.engine.stop(a)
	s.queue.Cancel(s.run.now, a.id)
	delete(s.attempts, a.id)
	s.run.after(s.run.workload.Hop, func() {
		a.entry.failed(a, broken, &refusal.Error{Reason: reason, Outcome: refusal.Unknown})
	})
}

// lose takes the server away with all it holds.
func (s *server) lose() {
	s.lost = true
	held := make([]*attempt, 0, len(s.attempts))
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		held = append(held, s.attempts[id])
	}
	s.reset()
	s.run.after(s.run.workload.Detect, func() {
		for _, a := range held {
			a.entry.place(a.server).RecordFailure(s.run.now, s.name)
			a.entry.failed(a, lostAfter, &refusal.Error{Reason: refusal.ServerFailed, Outcome: refusal.Unknown})
		}
	})
}
