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
	// copyAfter is how long an entry leaves the bill to the sidecar.
	copyAfter = 3 * time.Second
	// abandonAfter is when an entry takes a hold back whose sidecar is gone and
	// whose request was not answered.
	abandonAfter  = 15 * time.Second
	maxDispatches = 4
)

// entry takes requests, with the client of the real entry.
type entry struct {
	*process
	client *ledger.Client
}

func (w *world) startEntry(name string) *entry {
	p := w.start(name)
	return &entry{process: p, client: w.client(p, ledger.WithStandingReserve(isEntry))}
}

// isEntry says whether an incarnation is an entry, all of which are in one
// failure domain here.
func isEntry(incarnation string) bool { return strings.HasPrefix(incarnation, "entry") }

// reply is the end of one call.
type reply struct {
	kind replyKind
	// err says why there is no answer.
	err error
	// attempt is the attempt that the reply speaks of, if one was registered.
	attempt int64
	// witnesses are the incarnations that had to do with the answer.
	witnesses []string
}

type replyKind int

const (
	broken replyKind = iota
	answered
	notRun
	unknown
)

// serve serves one call.
func (e *entry) serve(r *request) reply {
	if e.gate() != nil {
		return reply{kind: broken}
	}
	var got reply
	if r.idempotent {
		got = e.serveIdempotent(r)
	} else {
		got = e.serveOnce(r)
	}
	if e.gate() != nil {
		return reply{kind: broken}
	}
	return got
}

func (e *entry) hold(r *request) (model.Hold, error) {
	return e.client.Reserve(e.ctx, r.workspace, int64(r.maxTokens)+1)
}

// message returns what is sent to a sidecar.
func (r *request) message(id string, hold model.Hold) run.Request {
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
		hold, err := e.hold(r)
		if err != nil {
			if len(lost) == 0 {
				answer = reply{kind: notRun, err: err}
			}
			break
		}
		s := e.world.anySidecar(e.process, r)
		last, err := s.call(e.process, r.message(id, hold))
		if err == nil {
			answer = e.settle(r, s, last, hold)
			break
		}
		if known := isNotRun(err); known {
			e.client.Release(r.workspace, hold)
		} else {
			lost = append(lost, hold)
		}
		if e.gate() != nil {
			return reply{kind: broken}
		}
		sleep(e.ctx, e.between(r.name, 50*time.Millisecond, 300*time.Millisecond))
		if !r.deadline.After(time.Now()) {
			answer = reply{kind: unknown, err: err}
			if len(lost) == 0 {
				answer.kind = notRun
			}
			break
		}
	}
	e.takeBack(r, id, lost, answer.kind == answered)
	return answer
}

func isNotRun(err error) bool {
	why, ok := refusal.As(err)
	return errors.Is(err, errRefused) || ok && why.Outcome == refusal.NotRun
}

// takeBack gives holds back whose sidecar is gone. The request is billed by
// another hold if it was answered. Otherwise other entries may still hold the
// bill, and are given time to post it.
func (e *entry) takeBack(r *request, id string, lost []model.Hold, answered bool) {
	for _, hold := range lost {
		e.world.tasks.Go(func() {
			if !answered {
				sleep(e.ctx, abandonAfter)
			}
			post(e.process, e.client, hold.Shard, model.Bill{
				RequestID: id, Workspace: r.workspace, Key: r.key, Hold: hold, Witness: e.incarnation,
			})
		})
	}
}

// settle ends an answered call: the hold is given back if another one pays, and
// a copy of the bill is posted if the sidecar does not do it in time.
func (e *entry) settle(r *request, s *sidecar, last run.FinalFrame, hold model.Hold) reply {
	if last.Hold != hold {
		e.client.Release(r.workspace, hold)
	}
	e.world.tasks.Go(func() {
		sleep(e.ctx, copyAfter)
		if e.gate() != nil || e.client.Settled(last.Hold) {
			return
		}
		post(e.process, e.client, last.Hold.Shard, model.Bill{
			RequestID: last.RequestID,
			Workspace: r.workspace,
			Kind:      "draft",
			Key:       r.key,
			Hold:      last.Hold,
			Tokens:    last.BilledTokens,
			Witness:   s.incarnation,
		})
	})
	return reply{kind: answered, witnesses: []string{e.incarnation, s.incarnation, last.Hold.Holder}}
}

func (e *entry) serveOnce(r *request) reply {
	for range maxDispatches {
		hold, err := e.hold(r)
		if err != nil {
			return reply{kind: notRun, err: err}
		}
		s := e.world.anySidecar(e.process, r)
		reg, err := e.register(r, s)
		if err != nil {
			e.client.Release(r.workspace, hold)
			return reply{kind: notRun, err: err}
		}
		answer, again := e.attempt(r, s, reg, hold)
		answer.attempt = reg.Attempt
		if !again {
			return answer
		}
		if e.gate() != nil {
			return reply{kind: broken}
		}
	}
	return reply{kind: unknown}
}

func (e *entry) register(r *request, s *sidecar) (ledger.RegistrationResult, error) {
	return e.client.Register(e.ctx, ledger.Registration{
		Workspace: r.workspace, Key: r.key, Digest: []byte(r.key), Sidecar: s.incarnation, Server: s.name,
	})
}

// attempt goes on after a registration. It says whether to register again.
func (e *entry) attempt(r *request, s *sidecar, reg ledger.RegistrationResult, hold model.Hold) (reply, bool) {
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
	req := r.message(r.nextID(), hold)
	req.Attempt, req.Incarnation = reg.Attempt, reg.Sidecar
	if e.gate() != nil {
		return reply{kind: broken}, false
	}
	last, err := s.call(e.process, req)
	if err == nil {
		return e.settle(r, s, last, hold), false
	}
	if !isNotRun(err) {
		e.world.tasks.Go(func() { e.resolveHold(r, s, reg.Attempt, hold) })
		return reply{kind: unknown, err: err}, false
	}
	// Only this call could dispatch the attempt, and it did not run.
	e.client.Release(r.workspace, hold)
	return e.void(r, reg.Attempt)
}

// resolveHold takes the hold of an attempt of unknown outcome back, once the
// sidecar cannot bill it any more.
func (e *entry) resolveHold(r *request, s *sidecar, attempt int64, hold model.Hold) {
	sleep(e.ctx, abandonAfter)
	if e.gate() != nil || e.client.Settled(hold) {
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

// join asks the sidecar of an attempt that another call registered.
func (e *entry) join(r *request, reg ledger.RegistrationResult) (reply, bool) {
	s := e.world.sidecar(reg.Sidecar)
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
	req := r.message(r.nextID(), model.Hold{Holder: e.incarnation})
	req.Attempt, req.Incarnation, req.JoinOnly = reg.Attempt, reg.Sidecar, true
	last, err := s.call(e.process, req)
	if err != nil {
		// The call that was joined may run still.
		return reply{kind: unknown, err: err}, false
	}
	return reply{kind: answered, witnesses: []string{e.incarnation, s.incarnation, last.Hold.Holder}}, false
}
