package simulation

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	model "github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
	"github.com/crocusline/crocusline/services/ledger"
)

// joinDelay is how long a new sidecar is listed before it serves.
const joinDelay = 3 * time.Second

var (
	// errBroken says that a call may have been taken.
	errBroken = errors.New("connection broken")
	// errRefused says that a call was not taken.
	errRefused = errors.New("connection refused")
)

// sidecar runs requests at a fake server with the decision code of the real
// sidecar.
type sidecar struct {
	*process
	client *ledger.Client
	serves time.Time

	mu    sync.Mutex
	book  *run.Tracker
	ended map[run.ID]chan struct{}
	cuts  map[run.SubscriptionID]chan struct{}
	fails map[run.ID]error
}

func (w *world) startSidecar(name string, joins time.Duration) *sidecar {
	p := w.start(name)
	s := &sidecar{
		process: p,
		client:  w.client(p),
		serves:  time.Now().Add(joins),
		book:    run.NewTracker(name, p.incarnation, run.DefaultLimits()),
		ended:   map[run.ID]chan struct{}{},
		cuts:    map[run.SubscriptionID]chan struct{}{},
		fails:   map[run.ID]error{},
	}
	w.tasks.Go(func() {
		for !s.dead() {
			sleep(s.ctx, 500*time.Millisecond)
			if s.gate() == nil {
				s.change(func(b *run.Tracker) []run.Action { return b.Expire(time.Now()) })
			}
		}
	})
	return s
}

// change changes the record and does what it asks for.
func (s *sidecar) change(f func(*run.Tracker) []run.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, action := range f(s.book) {
		switch a := action.(type) {
		case run.Charge:
			s.world.tasks.Go(func() { s.post(a) })
		case run.Cancel:
			err := refusal.New(refusal.DeadlineExpired, 0, "cancelled")
			if a.Started {
				err.Outcome = refusal.Unknown
			}
			s.fails[a.Run] = err
			s.end(a.Run)
		case run.Disconnect:
			close(s.cuts[a.Subscription])
		case run.Discard:
		}
	}
}

func (s *sidecar) post(charge run.Charge) {
	if post(s.process, s.client, charge.Shard, charge.Entries...) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.book.MarkSettled(charge.Run)
	}
}

// post posts entries until the stream holds them or the process dies.
func post(p *process, c *ledger.Client, shard int, entries ...model.Entry) bool {
	for p.gate() == nil {
		ctx, cancel := context.WithTimeout(p.ctx, 5*time.Second)
		err := c.Post(ctx, shard, entries...)
		cancel()
		if err == nil {
			return true
		}
		sleep(p.ctx, p.between("post", 100*time.Millisecond, time.Second))
	}
	return false
}

// call takes a request from an entry and returns the answer's last frame.
func (s *sidecar) call(from *process, req run.Request) (run.FinalFrame, error) {
	if err := s.arrive(from, req); err != nil {
		return run.FinalFrame{}, err
	}
	adm, ended, cut, err := s.submit(req)
	if err != nil {
		return run.FinalFrame{}, err
	}
	select {
	case <-ended:
	case <-cut:
		return run.FinalFrame{}, &refusal.Error{Reason: refusal.Fenced, Outcome: refusal.Unknown}
	case <-s.ctx.Done():
		return run.FinalFrame{}, errBroken
	case <-from.ctx.Done():
		s.change(func(b *run.Tracker) []run.Action { return b.CloseSubscription(time.Now(), adm.Subscription, false) })
		return run.FinalFrame{}, errBroken
	}
	return s.handOver(from, req, adm)
}

// arrive is a request's way to the sidecar, up to the check of its entry.
func (s *sidecar) arrive(from *process, req run.Request) error {
	if s.dead() || time.Now().Before(s.serves) {
		return errRefused
	}
	if from.dispatching() != nil {
		return errRefused
	}
	time.Sleep(from.between(req.ID, time.Millisecond, 2*time.Millisecond))
	if s.gate() != nil {
		return errBroken
	}
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	closed, err := s.client.Closed(ctx, req.Hold)
	if err != nil || closed {
		return refusal.New(refusal.Fenced, 0, "the entry may be closed")
	}
	return nil
}

func (s *sidecar) submit(req run.Request) (run.Admission, chan struct{}, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	adm, err := s.book.Submit(time.Now(), req)
	if err != nil {
		return adm, nil, nil, err
	}
	if adm.New {
		s.ended[adm.Run] = make(chan struct{})
		s.world.tasks.Go(func() { s.execute(adm.Run, req) })
	}
	s.cuts[adm.Subscription] = make(chan struct{})
	return adm, s.ended[adm.Run], s.cuts[adm.Subscription], nil
}

func (s *sidecar) handOver(from *process, req run.Request, adm run.Admission) (run.FinalFrame, error) {
	if s.gate() != nil {
		return run.FinalFrame{}, errBroken
	}
	s.mu.Lock()
	last, ok := s.book.PrepareFinalFrame(adm.Subscription)
	err := s.fails[adm.Run]
	s.mu.Unlock()
	if !ok {
		if err == nil {
			err = errBroken
		}
		return last, err
	}
	time.Sleep(from.between(req.ID, time.Millisecond, 2*time.Millisecond))
	arrived := !s.dead() && !from.dead()
	// The last frame may have been sent to an entry that is gone.
	handed := arrived || from.draw(req.ID, 2) == 0
	s.change(func(b *run.Tracker) []run.Action {
		if s.dead() {
			return nil
		}
		return b.CloseSubscription(time.Now(), adm.Subscription, handed)
	})
	if !arrived {
		return last, errBroken
	}
	return last, nil
}

// execute is the server's part of a run.
func (s *sidecar) execute(id run.ID, req run.Request) {
	sleep(s.ctx, s.between(req.ID, 0, 200*time.Millisecond))
	s.mu.Lock()
	started := s.book.Start(id)
	s.mu.Unlock()
	if !started || s.gate() != nil {
		return
	}
	sleep(s.ctx, s.between(req.ID, 10*time.Millisecond, 800*time.Millisecond))
	fault := s.draw(req.ID, 40)
	if fault == 0 {
		s.fail(id, refusal.NotRun)
		return
	}
	if s.gate() != nil {
		return
	}
	s.world.ran(req)
	sleep(s.ctx, s.between(req.ID, time.Millisecond, 20*time.Millisecond))
	if s.gate() != nil {
		return
	}
	if fault == 1 {
		s.fail(id, refusal.Unknown)
		return
	}
	result := run.Result{PromptTokens: 1, OutputTokens: int64(s.draw(req.ID, req.MaxTokens)), Body: []byte(req.Key)}
	s.change(func(b *run.Tracker) []run.Action {
		s.end(id)
		return b.Finish(time.Now(), id, result)
	})
}

// end wakes the calls that wait for a run. The caller holds mu.
func (s *sidecar) end(id run.ID) {
	select {
	case <-s.ended[id]:
	default:
		close(s.ended[id])
	}
}

// fail ends a run as the server's failure, of which outcome says what is known.
func (s *sidecar) fail(id run.ID, outcome refusal.Outcome) {
	s.change(func(b *run.Tracker) []run.Action {
		b.Fail(time.Now(), id, outcome)
		s.fails[id] = &refusal.Error{Reason: refusal.ServerFailed, Outcome: outcome}
		s.end(id)
		return nil
	})
}

// inquire asks what became of an attempt, and fences it if it was not seen.
func (s *sidecar) inquire(from *process, name run.RequestRef) (state run.State, err error) {
	time.Sleep(from.between(name.Key, time.Millisecond, 2*time.Millisecond))
	if s.gate() != nil || from.gate() != nil {
		return run.NotSeen, errBroken
	}
	s.change(func(b *run.Tracker) (actions []run.Action) {
		state, actions, err = b.Inquire(time.Now(), name, true)
		return actions
	})
	return state, err
}

// fence refuses an entry from now on. It says whether its holds are settled.
func (s *sidecar) fence(entry string) (settled bool) {
	if s.gate() != nil {
		return true
	}
	s.change(func(b *run.Tracker) (actions []run.Action) {
		settled, actions = b.FenceEntry(time.Now(), entry)
		return actions
	})
	return settled
}
