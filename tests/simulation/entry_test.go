package simulation

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/once"
	model "github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
	"github.com/crocusline/crocusline/services/ledger"
)

const (
	// billCopyDelay is the time after which an entry posts a copy of a bill that the
	// sidecar has not posted.
	billCopyDelay = 3 * time.Second
	// abandonDelay is the time after which an entry releases the hold of an
	// unanswered request whose sidecar did not reply.
	abandonDelay  = 15 * time.Second
	maxDispatches = 4
)

// entry is a simulated entry that uses the real ledger client.
type entry struct {
	*process
	client *ledger.Client
}

func (env *environment) startEntry(name string) *entry {
	p := env.newProcess(name)
	return &entry{process: p, client: env.startClient(p, ledger.WithStandingReserve(isEntry))}
}

// isEntry reports whether an incarnation is an entry. All entries of the simulation
// are in one failure domain.
func isEntry(incarnation string) bool { return strings.HasPrefix(incarnation, "entry") }

// reply is the result of one call.
type reply struct {
	kind replyKind
	// err is the reason why there is no answer.
	err error
	// attempt is the number of the registered attempt, if there is one.
	attempt int64
	// participants are the incarnations that produced or relayed the answer.
	participants []string
}

type replyKind int

const (
	// interrupted means that the caller got no reply.
	interrupted replyKind = iota
	answered
	notRun
	unknown
)

// serve handles one call.
func (e *entry) serve(r *request) reply {
	if e.waitWhilePaused() != nil {
		return reply{kind: interrupted}
	}
	var result reply
	if r.idempotent {
		result = e.serveIdempotent(r)
	} else {
		result = e.serveNonIdempotent(r)
	}
	if e.waitWhilePaused() != nil {
		return reply{kind: interrupted}
	}
	return result
}

func (e *entry) reserve(r *request) (model.Hold, error) {
	return e.client.Reserve(e.ctx, r.workspace, int64(r.maxTokens)+1)
}

// sidecarRequest returns the request that is sent to a sidecar.
func (r *request) sidecarRequest(id string, hold model.Hold) run.Request {
	return run.Request{
		ID:         id,
		Workspace:  r.workspace,
		Kind:       "draft",
		Key:        r.key,
		Idempotent: r.idempotent,
		Hold:       hold,
		MaxTokens:  r.maxTokens,
		Digest:     []byte(r.key),
		Deadline:   r.deadline,
	}
}

func (e *entry) serveIdempotent(r *request) reply {
	id := r.nextID()
	var lost []model.Hold
	answer := reply{kind: unknown}
	for range maxDispatches {
		hold, err := e.reserve(r)
		if err != nil {
			if len(lost) == 0 {
				answer = reply{kind: notRun, err: err}
			}
			break
		}
		s := e.env.drawSidecar(e.process, r)
		final, err := s.call(e.process, r.sidecarRequest(id, hold))
		if err == nil {
			answer = e.settle(r, s, final, hold)
			break
		}
		if refused := isNotRun(err); refused {
			e.client.Release(r.workspace, hold)
		} else {
			lost = append(lost, hold)
		}
		if e.waitWhilePaused() != nil {
			return reply{kind: interrupted}
		}
		sleep(e.ctx, e.drawDuration(r.name, 50*time.Millisecond, 300*time.Millisecond))
		if !r.deadline.After(time.Now()) {
			answer = reply{kind: unknown, err: err}
			if len(lost) == 0 {
				answer.kind = notRun
			}
			break
		}
	}
	e.releaseLost(r, id, lost, answer.kind == answered)
	return answer
}

func isNotRun(err error) bool {
	refused, ok := refusal.As(err)
	return errors.Is(err, errConnectionRefused) || ok && refused.Outcome == refusal.NotRun
}

// releaseLost releases holds whose sidecar did not reply, by posting a bill of zero
// tokens. If the request was answered, another hold pays for it. Otherwise another
// process may still post the bill, so the hold is released after abandonDelay.
func (e *entry) releaseLost(r *request, id string, lost []model.Hold, answered bool) {
	for _, hold := range lost {
		e.env.tasks.Go(func() {
			if !answered {
				sleep(e.ctx, abandonDelay)
			}
			post(e.process, e.client, hold.Shard, model.Bill{
				RequestID: id, Workspace: r.workspace, Key: r.key, Hold: hold, Witness: e.incarnation,
			})
		})
	}
}

// settle completes an answered call: it releases the hold if another one pays, and
// posts a copy of the bill if the sidecar does not post it in time.
func (e *entry) settle(r *request, s *sidecar, final run.FinalFrame, hold model.Hold) reply {
	if final.Hold != hold {
		e.client.Release(r.workspace, hold)
	}
	e.env.tasks.Go(func() {
		sleep(e.ctx, billCopyDelay)
		if e.waitWhilePaused() != nil || e.client.Settled(final.Hold) {
			return
		}
		post(e.process, e.client, final.Hold.Shard, model.Bill{
			RequestID: final.RequestID,
			Workspace: r.workspace,
			Kind:      "draft",
			Key:       r.key,
			Hold:      final.Hold,
			Tokens:    final.BilledTokens,
			Witness:   s.incarnation,
		})
	})
	return reply{kind: answered, participants: []string{e.incarnation, s.incarnation, final.Hold.Holder}}
}

func (e *entry) serveNonIdempotent(r *request) reply {
	for range maxDispatches {
		hold, err := e.reserve(r)
		if err != nil {
			return reply{kind: notRun, err: err}
		}
		s := e.env.drawSidecar(e.process, r)
		reg, err := e.register(r, s)
		if err != nil {
			e.client.Release(r.workspace, hold)
			return reply{kind: notRun, err: err}
		}
		answer, retry := e.continueAttempt(r, s, reg, hold)
		answer.attempt = reg.Attempt
		if !retry {
			return answer
		}
		if e.waitWhilePaused() != nil {
			return reply{kind: interrupted}
		}
	}
	return reply{kind: unknown}
}

func (e *entry) register(r *request, s *sidecar) (ledger.RegistrationResult, error) {
	return e.client.Register(e.ctx, ledger.Registration{
		Workspace: r.workspace, Key: r.key, Digest: []byte(r.key), Sidecar: s.incarnation, Server: s.name,
	})
}

// continueAttempt acts on the result of a registration. It reports whether to
// register again.
func (e *entry) continueAttempt(r *request, s *sidecar, reg ledger.RegistrationResult, hold model.Hold) (reply, bool) {
	switch {
	case reg.Conflict:
		e.client.Release(r.workspace, hold)
		return reply{kind: notRun}, false
	case reg.Status == once.Ran:
		e.client.Release(r.workspace, hold)
		if !reg.BodyKept || string(reg.Body) != r.key {
			return reply{kind: unknown}, false
		}
		return reply{kind: answered}, false
	case reg.Status == once.Voided:
		e.client.Release(r.workspace, hold)
		return reply{kind: notRun}, true
	case reg.Granted:
		return e.dispatch(r, s, reg, hold)
	}
	e.client.Release(r.workspace, hold)
	return e.join(r, reg)
}

func (e *entry) dispatch(r *request, s *sidecar, reg ledger.RegistrationResult, hold model.Hold) (reply, bool) {
	req := r.sidecarRequest(r.nextID(), hold)
	req.Attempt, req.Incarnation = reg.Attempt, reg.Sidecar
	if e.waitWhilePaused() != nil {
		return reply{kind: interrupted}, false
	}
	final, err := s.call(e.process, req)
	if err == nil {
		return e.settle(r, s, final, hold), false
	}
	if !isNotRun(err) {
		e.env.tasks.Go(func() { e.resolveHold(r, s, reg.Attempt, hold) })
		return reply{kind: unknown, err: err}, false
	}
	// Only this call may dispatch the attempt, and it did not run.
	e.client.Release(r.workspace, hold)
	return e.void(r, reg.Attempt)
}

// resolveHold releases the hold of an attempt of unknown outcome once the sidecar
// can no longer bill it.
func (e *entry) resolveHold(r *request, s *sidecar, attempt int64, hold model.Hold) {
	sleep(e.ctx, abandonDelay)
	if e.waitWhilePaused() != nil || e.client.Settled(hold) {
		return
	}
	state, err := s.inquire(e.process, run.RequestRef{Workspace: r.workspace, Key: r.key, Attempt: attempt})
	if err == nil && state != run.Fenced && state != run.Unresolved {
		return
	}
	post(e.process, e.client, hold.Shard, model.Bill{RequestID: r.nextID(), Workspace: r.workspace, Hold: hold})
}

func (e *entry) void(r *request, attempt int64) (reply, bool) {
	ctx, cancel := context.WithTimeout(e.ctx, 2*time.Second)
	defer cancel()
	err := e.client.Void(ctx, r.workspace, r.key, attempt)
	return reply{kind: notRun, err: err}, err == nil
}

// join waits for the result of an attempt that another call registered, or voids
// the attempt if its sidecar has fenced it.
func (e *entry) join(r *request, reg ledger.RegistrationResult) (reply, bool) {
	s := e.env.sidecar(reg.Sidecar)
	if s == nil || s.dead() {
		return reply{kind: unknown}, false
	}
	state, err := s.inquire(e.process, run.RequestRef{Workspace: r.workspace, Key: r.key, Attempt: reg.Attempt})
	switch {
	case err != nil:
		return reply{kind: unknown, err: err}, false
	case state == run.Fenced:
		return e.void(r, reg.Attempt)
	case state == run.Unresolved:
		return reply{kind: unknown}, false
	}
	req := r.sidecarRequest(r.nextID(), model.Hold{Holder: e.incarnation})
	req.Attempt, req.Incarnation, req.JoinOnly = reg.Attempt, reg.Sidecar, true
	final, err := s.call(e.process, req)
	if err != nil {
		// The call that was joined may still be running.
		return reply{kind: unknown, err: err}, false
	}
	return reply{kind: answered, participants: []string{e.incarnation, s.incarnation, final.Hold.Holder}}, false
}
