package dispatch

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/retry"
	"github.com/crocusline/crocusline/modules/delay"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
)

// inquireTimeout bounds the search for a request that an earlier try started.
const inquireTimeout = 500 * time.Millisecond

// runIdempotent runs work that may run more than once. The answer goes on at
// another server where one fails.
func (j *job) runIdempotent(ctx context.Context) (Response, error) {
	hold, err := j.ledger.Reserve(ctx, j.req.Workspace, j.plan.MaxCost)
	if err != nil {
		return Response{}, err
	}
	if j.req.Retry && j.req.IdempotencyKey != "" {
		answer, joined, err := j.rejoin(ctx, hold)
		if joined {
			return answer, err
		}
		j.relay.from = 0
	}
	return j.tryServers(ctx, hold)
}

// tryServers runs legs until one answers whole or no more may be tried.
func (j *job) tryServers(ctx context.Context, hold ledger.Hold) (Response, error) {
	var exclude []string
	for tries := 1; ; tries++ {
		l, err := j.nextLeg(hold, exclude)
		if err != nil {
			j.ledger.Release(j.req.Workspace, hold)
			return Response{}, j.truthful(err)
		}
		finished, err := j.runLeg(ctx, l)
		if err == nil {
			j.settleHold(hold, finished)
			j.retries.RecordSuccess()
			return j.answer(l, finished), nil
		}
		var failed *legError
		if !errors.As(err, &failed) {
			j.receipts.Reconcile(*j.receipt(l, j.requestID, hold, 0))
			return Response{}, err
		}
		exclude = append(exclude, l.sidecar.Server)
		if !failed.notRun() {
			// The server may have run part of it: its hold stays until that is
			// settled, and the next leg needs one of its own.
			j.mayHaveRun = true
			j.receipts.Reconcile(*j.receipt(l, j.requestID, hold, 0))
		}
		if err := j.beforeRetry(ctx, failed, tries); err != nil {
			if failed.notRun() {
				j.ledger.Release(j.req.Workspace, hold)
			}
			return Response{}, j.truthful(err)
		}
		if failed.notRun() {
			continue
		}
		if hold, err = j.ledger.Reserve(ctx, j.req.Workspace, j.plan.MaxCost); err != nil {
			return Response{}, j.truthful(err)
		}
	}
}

// nextLeg picks the best server that was not tried. Its error is a
// *refusal.Error.
func (j *job) nextLeg(hold ledger.Hold, exclude []string) (leg, error) {
	servers, err := j.chooser.Choose(j.plan.Route.Pool, placement.Request{
		Prompt:  j.req.Prompt,
		Rank:    j.plan.Route.Rank,
		Exclude: exclude,
	})
	if err != nil {
		return leg{}, err
	}
	for _, server := range servers {
		if sidecar, ok := j.directory.Sidecar(server); ok {
			return leg{sidecar: sidecar, hold: hold}, nil
		}
	}
	return leg{}, refusal.New(refusal.NoServer, time.Second, "no backend server of the pool can be reached; retry later")
}

// beforeRetry waits for the next try, or returns the *refusal.Error that ends
// the request.
func (j *job) beforeRetry(ctx context.Context, failed *legError, tries int) error {
	if ctx.Err() != nil {
		return &refusal.Error{
			Reason:     refusal.DeadlineExpired,
			Outcome:    failed.refused.Outcome,
			RetryAfter: time.Second,
			Advice:     "the time limit passed; retry with the same key and a longer limit",
		}
	}
	verdict := j.retries.Decide(retry.Attempt{
		Idempotent: j.plan.Route.Idempotent,
		Dispatched: true,
		ServerLost: failed.lost,
		Err:        failed.refused,
		Attempts:   tries,
		TimeLeft:   timeLeft(ctx),
	})
	if !verdict.Retry {
		return verdict.Err
	}
	j.counters.RecordRetry(failed.refused.Reason)
	if !delay.Wait(ctx, verdict.Delay) {
		return failed.refused
	}
	return nil
}

// truthful says "unknown" once a server may have run part of the request,
// whatever the last server or the ledger said.
func (j *job) truthful(err error) error {
	e, ok := refusal.As(err)
	if !ok || !j.mayHaveRun && len(j.relay.tokens) == 0 {
		return err
	}
	partial := *e
	partial.Outcome = refusal.Unknown
	return &partial
}

// rejoin looks for a request that an earlier try of the caller started and
// takes its answer up.
func (j *job) rejoin(ctx context.Context, hold ledger.Hold) (Response, bool, error) {
	sidecar, found := j.findRunning(ctx)
	if !found {
		return Response{}, false, nil
	}
	l := leg{sidecar: sidecar, hold: hold, joinOnly: true}
	finished, err := j.runLeg(ctx, l)
	if err == nil {
		j.settleHold(hold, finished)
		return j.answer(l, finished), true, nil
	}
	var sinkErr *SinkError
	if errors.As(err, &sinkErr) {
		j.ledger.Release(j.req.Workspace, hold)
		return Response{}, true, sinkErr
	}
	if !j.relay.accepted {
		return Response{}, false, nil
	}
	answer, err := j.tryServers(ctx, hold)
	return answer, true, err
}

// findRunning asks the pool's sidecars for the request.
func (j *job) findRunning(ctx context.Context) (Sidecar, bool) {
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	found := make(chan Sidecar, len(j.plan.Servers))
	var wg sync.WaitGroup
	for _, server := range j.plan.Servers {
		sidecar, ok := j.directory.Sidecar(server)
		if !ok {
			continue
		}
		wg.Go(func() {
			if state, _ := j.inquire(ctx, sidecar, 0, false); isHere(state) {
				found <- sidecar
				cancel()
			}
		})
	}
	wg.Wait()
	close(found)
	sidecar, ok := <-found
	return sidecar, ok
}

// The states that a sidecar reports of a request.
const (
	stateQueued  = "queued"
	stateRunning = "running"
	stateRan     = "ran"
	stateFenced  = "fenced"
	stateUnknown = "unknown"
)

// isHere says whether a request in that state can be joined.
func isHere(state string) bool {
	return state == stateQueued || state == stateRunning || state == stateRan
}

// inquire asks a sidecar what became of the request.
func (j *job) inquire(ctx context.Context, s Sidecar, attempt int64, fence bool) (state string, err error) {
	resp, err := s.Client.Inquire(ctx, connect.NewRequest(&peerv1.InquireRequest{
		Workspace:      j.req.Workspace,
		IdempotencyKey: j.req.IdempotencyKey,
		Attempt:        attempt,
		Fence:          fence,
	}))
	if err != nil {
		return "", err
	}
	if resp.Msg.GetIncarnation() != s.Incarnation {
		return "", &incarnationError{want: s.Incarnation, got: resp.Msg.GetIncarnation()}
	}
	return resp.Msg.GetState(), nil
}

// incarnationError says that another incarnation answered.
type incarnationError struct {
	want, got string
}

func (e *incarnationError) Error() string {
	return "sidecar is " + e.got + ", not " + e.want
}
