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
	"github.com/crocusline/crocusline/services/memory"
)

// inquireTimeout bounds the search for a request that an earlier call of the
// caller started.
const inquireTimeout = 500 * time.Millisecond

// runIdempotent runs work that may run more than once. If a server fails, another
// server continues the response.
func (j *job) runIdempotent(ctx context.Context) (Response, error) {
	hold, err := j.ledger.Reserve(ctx, j.req.Workspace, j.plan.MaxCost)
	if err != nil {
		return Response{}, err
	}
	if j.req.Retry && j.req.IdempotencyKey != "" {
		response, joined, err := j.joinRunning(ctx, hold)
		if joined {
			return response, err
		}
		j.relay.firstWanted = 0
	}
	return j.tryServers(ctx, hold)
}

// tryServers calls one sidecar after the other until a response is complete or
// no further retry is allowed.
func (j *job) tryServers(ctx context.Context, hold ledger.Hold) (Response, error) {
	var exclude []string
	for attempts := 1; ; attempts++ {
		call, err := j.nextCall(hold, exclude)
		if err != nil {
			j.ledger.Release(j.req.Workspace, hold)
			return Response{}, j.adjustOutcome(err)
		}
		finished, err := j.callSidecar(ctx, call)
		if err == nil {
			j.releaseUnusedHold(hold, finished)
			j.retries.RecordSuccess()
			return j.response(call, finished), nil
		}
		var failed *callError
		if !errors.As(err, &failed) {
			j.receipts.Reconcile(*j.newReceipt(call, j.requestID, hold, 0))
			return Response{}, err
		}
		if j.relay.dropped {
			// Another server can't go on with tokens that aren't known any more. The caller can, as it has them.
			j.receipts.Reconcile(*j.newReceipt(call, j.requestID, hold, 0))
			return Response{}, &memory.ResponseError{Bytes: tokenBytes * int(j.relay.received)}
		}
		exclude = append(exclude, call.sidecar.Server)
		if !failed.notRun() {
			// The server may have run part of the request: the hold stays reserved
			// until that is settled, and the next call needs its own hold.
			j.mayHaveRun = true
			j.receipts.Reconcile(*j.newReceipt(call, j.requestID, hold, 0))
		}
		if err := j.awaitRetry(ctx, failed, attempts); err != nil {
			if failed.notRun() {
				j.ledger.Release(j.req.Workspace, hold)
			}
			return Response{}, j.adjustOutcome(err)
		}
		if failed.notRun() {
			continue
		}
		if hold, err = j.ledger.Reserve(ctx, j.req.Workspace, j.plan.MaxCost); err != nil {
			return Response{}, j.adjustOutcome(err)
		}
	}
}

// nextCall prepares the call of the best server that is not excluded. Its error
// is a *refusal.Error.
func (j *job) nextCall(hold ledger.Hold, exclude []string) (sidecarCall, error) {
	servers, err := j.selector.Choose(j.plan.Route.Pool, placement.Request{
		Prompt:  j.req.Prompt,
		Rank:    j.plan.Route.Rank,
		Exclude: exclude,
	})
	if err != nil {
		return sidecarCall{}, err
	}
	for _, server := range servers {
		if sidecar, ok := j.directory.Sidecar(server); ok {
			return sidecarCall{sidecar: sidecar, hold: hold}, nil
		}
	}
	return sidecarCall{}, refusal.New(refusal.NoServer, time.Second, "no backend server of the pool can be reached; retry later")
}

// awaitRetry waits until the next attempt is due, or returns the *refusal.Error
// that ends the request.
func (j *job) awaitRetry(ctx context.Context, failed *callError, attempts int) error {
	if ctx.Err() != nil {
		return &refusal.Error{
			Reason:     refusal.DeadlineExpired,
			Outcome:    failed.refusal.Outcome,
			RetryAfter: time.Second,
			Advice:     "the time limit passed; retry with the same key and a longer limit",
		}
	}
	decision := j.retries.Decide(retry.Attempt{
		Idempotent: j.plan.Route.Idempotent,
		Dispatched: true,
		ServerLost: failed.serverLost,
		Err:        failed.refusal,
		Attempts:   attempts,
		TimeLeft:   timeLeft(ctx),
	})
	if !decision.Retry {
		return decision.Err
	}
	j.counters.RecordRetry(failed.refusal.Reason)
	if !delay.Wait(ctx, decision.Delay) {
		return failed.refusal
	}
	return nil
}

// adjustOutcome sets the outcome of a refusal to unknown if a server may have run
// part of the request. The outcome that the last server or the ledger reported
// does not cover earlier calls.
func (j *job) adjustOutcome(err error) error {
	e, ok := refusal.As(err)
	if !ok || !j.mayHaveRun && j.relay.received == 0 {
		return err
	}
	partial := *e
	partial.Outcome = refusal.Unknown
	return &partial
}

// joinRunning looks for a request that an earlier call of the caller started, and
// streams its response. It returns false if there is none to join.
func (j *job) joinRunning(ctx context.Context, hold ledger.Hold) (Response, bool, error) {
	sidecar, found := j.findRunning(ctx)
	if !found {
		return Response{}, false, nil
	}
	call := sidecarCall{sidecar: sidecar, hold: hold, joinOnly: true}
	finished, err := j.callSidecar(ctx, call)
	if err == nil {
		j.releaseUnusedHold(hold, finished)
		return j.response(call, finished), true, nil
	}
	var sinkErr *SinkError
	if errors.As(err, &sinkErr) {
		j.ledger.Release(j.req.Workspace, hold)
		return Response{}, true, sinkErr
	}
	if !j.relay.accepted {
		return Response{}, false, nil
	}
	response, err := j.tryServers(ctx, hold)
	return response, true, err
}

// findRunning inquires about the request at all sidecars of the pool.
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
			if state, _ := j.inquire(ctx, sidecar, 0, false); joinable(state) {
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

// States of a request at a sidecar.
const (
	stateQueued  = "queued"
	stateRunning = "running"
	stateRan     = "ran"
	stateFenced  = "fenced"
	stateUnknown = "unknown"
)

// joinable reports whether a request in that state can be joined.
func joinable(state string) bool {
	return state == stateQueued || state == stateRunning || state == stateRan
}

// inquire returns the request's state at a sidecar. With fence, the sidecar
// rejects the attempt from then on if it has not received it yet.
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

// incarnationError is returned when another incarnation of the sidecar responded.
type incarnationError struct {
	want, got string
}

func (e *incarnationError) Error() string {
	return "sidecar incarnation is " + e.got + ", want " + e.want
}
