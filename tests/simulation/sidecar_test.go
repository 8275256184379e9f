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

// joinDelay is the time between the listing of a new sidecar and its first request.
const joinDelay = 3 * time.Second

var (
	// errConnectionLost means that the sidecar may have accepted the call.
	errConnectionLost = errors.New("connection lost")
	// errConnectionRefused means that the sidecar did not accept the call.
	errConnectionRefused = errors.New("connection refused")
)

// sidecar is a simulated sidecar that uses the real request tracker and ledger
// client. Its server is simulated as well.
type sidecar struct {
	*process
	client     *ledger.Client
	servesFrom time.Time

	mu          sync.Mutex
	tracker     *run.Tracker
	done        map[run.ID]chan struct{}
	disconnects map[run.SubscriptionID]chan struct{}
	failures    map[run.ID]error
}

func (env *environment) startSidecar(name string, delay time.Duration) *sidecar {
	p := env.newProcess(name)
	s := &sidecar{
		process:     p,
		client:      env.startClient(p),
		servesFrom:  time.Now().Add(delay),
		tracker:     run.NewTracker(name, p.incarnation, run.DefaultLimits()),
		done:        map[run.ID]chan struct{}{},
		disconnects: map[run.SubscriptionID]chan struct{}{},
		failures:    map[run.ID]error{},
	}
	env.tasks.Go(func() {
		for !s.dead() {
			sleep(s.ctx, 500*time.Millisecond)
			if s.waitWhilePaused() == nil {
				s.updateTracker(func(tracker *run.Tracker) []run.Action { return tracker.Expire(time.Now()) })
			}
		}
	})
	return s
}

// updateTracker applies a change to the tracker and carries out the resulting actions.
func (s *sidecar) updateTracker(f func(*run.Tracker) []run.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, action := range f(s.tracker) {
		switch a := action.(type) {
		case run.Charge:
			s.env.tasks.Go(func() { s.postCharge(a) })
		case run.Cancel:
			err := refusal.New(refusal.DeadlineExpired, 0, "cancelled")
			if a.Started {
				err.Outcome = refusal.Unknown
			}
			s.failures[a.Run] = err
			s.signalDone(a.Run)
		case run.Disconnect:
			close(s.disconnects[a.Subscription])
		case run.Discard:
		}
	}
}

func (s *sidecar) postCharge(charge run.Charge) {
	if post(s.process, s.client, charge.Shard, charge.Entries...) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tracker.MarkSettled(charge.Run)
	}
}

// post retries until the entries are posted or the process is dead. It reports
// whether they were posted.
func post(p *process, c *ledger.Client, shard int, entries ...model.Entry) bool {
	for p.waitWhilePaused() == nil {
		ctx, cancel := context.WithTimeout(p.ctx, 5*time.Second)
		err := c.Post(ctx, shard, entries...)
		cancel()
		if err == nil {
			return true
		}
		sleep(p.ctx, p.drawDuration("post", 100*time.Millisecond, time.Second))
	}
	return false
}

// call handles a request from an entry and returns the final frame of the response.
func (s *sidecar) call(from *process, req run.Request) (run.FinalFrame, error) {
	if err := s.receive(from, req); err != nil {
		return run.FinalFrame{}, err
	}
	adm, done, disconnected, err := s.submit(req)
	if err != nil {
		return run.FinalFrame{}, err
	}
	select {
	case <-done:
	case <-disconnected:
		return run.FinalFrame{}, &refusal.Error{Reason: refusal.Fenced, Outcome: refusal.Unknown}
	case <-s.ctx.Done():
		return run.FinalFrame{}, errConnectionLost
	case <-from.ctx.Done():
		s.updateTracker(func(tracker *run.Tracker) []run.Action {
			return tracker.CloseSubscription(time.Now(), adm.Subscription, false)
		})
		return run.FinalFrame{}, errConnectionLost
	}
	return s.deliverFinalFrame(from, req, adm)
}

// receive simulates the transfer of a request to the sidecar and checks that its
// holder is not closed.
func (s *sidecar) receive(from *process, req run.Request) error {
	if s.dead() || time.Now().Before(s.servesFrom) {
		return errConnectionRefused
	}
	if from.beforeDispatch() != nil {
		return errConnectionRefused
	}
	time.Sleep(from.drawDuration(req.ID, time.Millisecond, 2*time.Millisecond))
	if s.waitWhilePaused() != nil {
		return errConnectionLost
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
	adm, err := s.tracker.Submit(time.Now(), req)
	if err != nil {
		return adm, nil, nil, err
	}
	if adm.New {
		s.done[adm.Run] = make(chan struct{})
		s.env.tasks.Go(func() { s.execute(adm.Run, req) })
	}
	s.disconnects[adm.Subscription] = make(chan struct{})
	return adm, s.done[adm.Run], s.disconnects[adm.Subscription], nil
}

func (s *sidecar) deliverFinalFrame(from *process, req run.Request, adm run.Admission) (run.FinalFrame, error) {
	if s.waitWhilePaused() != nil {
		return run.FinalFrame{}, errConnectionLost
	}
	s.mu.Lock()
	final, ok := s.tracker.PrepareFinalFrame(adm.Subscription)
	err := s.failures[adm.Run]
	s.mu.Unlock()
	if !ok {
		if err == nil {
			err = errConnectionLost
		}
		return final, err
	}
	time.Sleep(from.drawDuration(req.ID, time.Millisecond, 2*time.Millisecond))
	arrived := !s.dead() && !from.dead()
	// The final frame may also have been sent to an entry that has died.
	delivered := arrived || from.drawInt(req.ID, 2) == 0
	s.updateTracker(func(tracker *run.Tracker) []run.Action {
		if s.dead() {
			return nil
		}
		return tracker.CloseSubscription(time.Now(), adm.Subscription, delivered)
	})
	if !arrived {
		return final, errConnectionLost
	}
	return final, nil
}

// execute simulates the execution of a request at the server.
func (s *sidecar) execute(id run.ID, req run.Request) {
	sleep(s.ctx, s.drawDuration(req.ID, 0, 200*time.Millisecond))
	s.mu.Lock()
	started := s.tracker.Start(id)
	s.mu.Unlock()
	if !started || s.waitWhilePaused() != nil {
		return
	}
	sleep(s.ctx, s.drawDuration(req.ID, 10*time.Millisecond, 800*time.Millisecond))
	fault := s.drawInt(req.ID, 40)
	if fault == 0 {
		s.fail(id, refusal.NotRun)
		return
	}
	if s.waitWhilePaused() != nil {
		return
	}
	s.env.recordExecution(req)
	sleep(s.ctx, s.drawDuration(req.ID, time.Millisecond, 20*time.Millisecond))
	if s.waitWhilePaused() != nil {
		return
	}
	if fault == 1 {
		s.fail(id, refusal.Unknown)
		return
	}
	result := run.Result{PromptTokens: 1, OutputTokens: int64(s.drawInt(req.ID, req.MaxTokens)), Body: []byte(req.Key)}
	s.updateTracker(func(tracker *run.Tracker) []run.Action {
		s.signalDone(id)
		return tracker.Finish(time.Now(), id, result)
	})
}

// signalDone wakes the calls that wait for a run. The caller must hold mu.
func (s *sidecar) signalDone(id run.ID) {
	select {
	case <-s.done[id]:
	default:
		close(s.done[id])
	}
}

// fail ends a run with a failure of the server and the given outcome.
func (s *sidecar) fail(id run.ID, outcome refusal.Outcome) {
	s.updateTracker(func(tracker *run.Tracker) []run.Action {
		tracker.Fail(time.Now(), id, outcome)
		s.failures[id] = &refusal.Error{Reason: refusal.ServerFailed, Outcome: outcome}
		s.signalDone(id)
		return nil
	})
}

// inquire returns the state of an attempt, and fences the attempt if the sidecar has
// not received it.
func (s *sidecar) inquire(from *process, ref run.RequestRef) (state run.State, err error) {
	time.Sleep(from.drawDuration(ref.Key, time.Millisecond, 2*time.Millisecond))
	if s.waitWhilePaused() != nil || from.waitWhilePaused() != nil {
		return run.NotSeen, errConnectionLost
	}
	s.updateTracker(func(tracker *run.Tracker) (actions []run.Action) {
		state, actions, err = tracker.Inquire(time.Now(), ref, true)
		return actions
	})
	return state, err
}

// fence makes the sidecar refuse all further requests of an entry. It reports
// whether the entry's holds are settled.
func (s *sidecar) fence(entry string) (settled bool) {
	if s.waitWhilePaused() != nil {
		return true
	}
	s.updateTracker(func(tracker *run.Tracker) (actions []run.Action) {
		settled, actions = tracker.FenceEntry(time.Now(), entry)
		return actions
	})
	return settled
}
