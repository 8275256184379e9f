package ledger

import (
	"context"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/once"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/stream"
)

// Registration asks to register an attempt of a non-idempotent request.
type Registration struct {
	Workspace string
	Key       string
	// Digest identifies kind and content of the request.
	Digest []byte
	// Sidecar is the incarnation that is to run the attempt.
	Sidecar string
	Server  string
}

// RegistrationResult is what a shard knows of a key.
type RegistrationResult struct {
	// Granted says that this call registered the attempt, and may dispatch it.
	Granted bool
	// Conflict says that the key belongs to another request.
	Conflict bool
	Attempt  int64
	Status   once.Status
	// Entry is the incarnation that registered the attempt.
	Entry    string
	Sidecar  string
	Server   string
	Body     []byte
	BodyKept bool
}

// Register registers an attempt, unless one is registered, ran, or has another
// digest. Its errors are of type *refusal.Error, after which the caller must
// not dispatch.
func (c *Client) Register(ctx context.Context, r Registration) (RegistrationResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	sh := c.shard(c.ShardOf(r.Workspace))
	id := uuid.NewString()
	if last, found, done := c.registerAt(ctx, sh, r, id); done {
		if !found {
			return RegistrationResult{}, keyExpired()
		}
		return registered(last, r, id), nil
	}
	return c.registerDirectly(ctx, sh, r, id)
}

// registerDirectly registers an attempt without the shard's owner. The owner may
// have registered the same call just before.
func (c *Client) registerDirectly(ctx context.Context, sh *shard, r Registration, id string) (RegistrationResult, error) {
	t := c.acquire(sh)
	defer sh.release()
	if err := t.ready(ctx); err != nil {
		return RegistrationResult{}, registryUnreachable()
	}
	last, found := t.attempt(r.Workspace, r.Key)
	if found && last.Status != once.Voided {
		return registered(last, r, id), nil
	}
	err := c.append(ctx, sh, ledger.Register{
		ID:        id,
		Workspace: r.Workspace,
		Key:       r.Key,
		Digest:    r.Digest,
		Attempt:   last.Number + 1,
		Entry:     c.incarnation,
		Sidecar:   r.Sidecar,
		Server:    r.Server,
	})
	if err != nil {
		return RegistrationResult{}, registryUnreachable()
	}
	if last, found = t.attempt(r.Workspace, r.Key); !found {
		return RegistrationResult{}, keyExpired()
	}
	return registered(last, r, id), nil
}

// registerAt registers an attempt at the shard's owner, or only looks if id is
// empty. It returns the attempt that stands then.
func (c *Client) registerAt(ctx context.Context, sh *shard, r Registration, id string) (a once.Attempt, found, done bool) {
	req := &peerv1.RegisterRequest{
		Shard:          int32(sh.number),
		Workspace:      r.Workspace,
		IdempotencyKey: r.Key,
		Digest:         r.Digest,
		Entry:          c.incarnation,
		Sidecar:        r.Sidecar,
		Server:         r.Server,
		Id:             id,
	}
	done = c.ask(ctx, sh, func(ctx context.Context, owner peerv1connect.LedgerServiceClient) error {
		resp, err := owner.Register(ctx, connect.NewRequest(req))
		if err != nil {
			return err
		}
		a, err = attemptOf(resp.Msg)
		found = resp.Msg.GetFound()
		return err
	})
	return a, found, done
}

func attemptOf(m *peerv1.RegisterResponse) (once.Attempt, error) {
	a := once.Attempt{
		ID:        m.GetId(),
		Number:    m.GetAttempt(),
		Digest:    m.GetDigest(),
		Requester: m.GetEntry(),
		Runner:    m.GetSidecar(),
		Place:     m.GetServer(),
		Result:    m.GetBody(),
		Kept:      m.GetBodyKept(),
	}
	for status := once.Registered; status <= once.Voided; status++ {
		if status.String() == m.GetState() {
			a.Status = status
			return a, nil
		}
	}
	return a, errors.Errorf("unknown state %q of an attempt", m.GetState())
}

// Void records the proof that an attempt did not and will not run.
func (c *Client) Void(ctx context.Context, workspace, key string, attempt int64) error {
	entry := ledger.Void{Workspace: workspace, Key: key, Attempt: attempt}
	return c.postNow(ctx, c.ShardOf(workspace), entry)
}

// Attempt returns what the shard's owner knows of a key, or else what this
// process has read in the shard's stream.
func (c *Client) Attempt(ctx context.Context, workspace, key string) (once.Attempt, bool, error) {
	sh := c.shard(c.ShardOf(workspace))
	if a, found, done := c.registerAt(ctx, sh, Registration{Workspace: workspace, Key: key}, ""); done {
		return a, found, nil
	}
	t := c.acquire(sh)
	defer sh.release()
	if err := t.ready(ctx); err != nil {
		return once.Attempt{}, false, registryUnreachable()
	}
	a, found := t.attempt(workspace, key)
	return a, found, nil
}

func (t *tail) attempt(workspace, key string) (a once.Attempt, found bool) {
	t.stream.View(func(stream.Status) { a, found = t.state.Attempt(workspace, key) })
	return a, found
}

func registered(a once.Attempt, r Registration, id string) RegistrationResult {
	return RegistrationResult{
		Granted:  id != "" && a.ID == id && a.Status == once.Registered,
		Conflict: string(a.Digest) != string(r.Digest),
		Attempt:  a.Number,
		Status:   a.Status,
		Entry:    a.Requester,
		Sidecar:  a.Runner,
		Server:   a.Place,
		Body:     a.Result,
		BodyKept: a.Kept,
	}
}

// keyExpired refuses a key whose earlier attempts may be forgotten.
func keyExpired() *refusal.Error {
	return &refusal.Error{
		Reason:  refusal.OutcomeUnknown,
		Outcome: refusal.Unknown,
		Advice:  "the key is older than the ledger remembers, or its time is ahead: an earlier request may have run; look at the outcome itself",
	}
}

func registryUnreachable() *refusal.Error {
	return refusal.New(refusal.RegistryUnreachable, retryLog,
		"the request could not be registered, so it was not run; retry with the same key")
}
