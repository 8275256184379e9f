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

// Registration is a request to register an attempt of a non-idempotent
// request.
type Registration struct {
	Workspace string
	Key       string
	// Digest identifies the kind and content of the request.
	Digest []byte
	// Sidecar is the incarnation that is to run the attempt.
	Sidecar string
	Server  string
}

// RegistrationResult is the latest attempt registered under a key, and how it
// relates to the call of Register.
type RegistrationResult struct {
	// Granted reports whether this call registered the attempt and may
	// dispatch it.
	Granted bool
	// Conflict reports whether the key was registered for a request with
	// another digest.
	Conflict bool
	Attempt  int64
	Status   once.Status
	// Entry is the entry incarnation that registered the attempt.
	Entry    string
	Sidecar  string
	Server   string
	Body     []byte
	BodyKept bool
}

// Register registers an attempt, unless the latest attempt under the key is
// registered and not void, has run, or has another digest. All errors are of
// type *refusal.Error; after an error the caller must not dispatch the
// request.
func (c *Client) Register(ctx context.Context, r Registration) (RegistrationResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	sh := c.shard(c.ShardOf(r.Workspace))
	id := uuid.NewString()
	if last, found, done := c.registerAtOwner(ctx, sh, r, id); done {
		if !found {
			return RegistrationResult{}, keyExpired()
		}
		return registrationResult(last, r, id), nil
	}
	return c.registerInStream(ctx, sh, r, id)
}

// registerInStream registers an attempt by appending to the shard's stream.
// The shard's owner may already have registered the same call; the ID shows
// that it is the same one.
func (c *Client) registerInStream(ctx context.Context, sh *shard, r Registration, id string) (RegistrationResult, error) {
	rep := c.acquireReplica(sh)
	defer sh.releaseReplica()
	if err := rep.ready(ctx); err != nil {
		return RegistrationResult{}, registryUnreachable()
	}
	last, found := rep.attempt(r.Workspace, r.Key)
	if found && last.Status != once.Voided {
		return registrationResult(last, r, id), nil
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
	if last, found = rep.attempt(r.Workspace, r.Key); !found {
		return RegistrationResult{}, keyExpired()
	}
	return registrationResult(last, r, id), nil
}

// registerAtOwner registers an attempt through the shard's owner, or only
// reads the latest one if id is empty. It returns the latest attempt. done is
// false if the owner did not answer.
func (c *Client) registerAtOwner(ctx context.Context, sh *shard, r Registration, id string) (a once.Attempt, found, done bool) {
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
	done = c.callOwner(ctx, sh, func(ctx context.Context, owner peerv1connect.LedgerServiceClient) error {
		resp, err := owner.Register(ctx, connect.NewRequest(req))
		if err != nil {
			return err
		}
		a, err = attemptFromWire(resp.Msg)
		found = resp.Msg.GetFound()
		return err
	})
	return a, found, done
}

func attemptFromWire(m *peerv1.RegisterResponse) (once.Attempt, error) {
	a := once.Attempt{
		ID:           m.GetId(),
		Number:       m.GetAttempt(),
		Digest:       m.GetDigest(),
		Requester:    m.GetEntry(),
		Runner:       m.GetSidecar(),
		Place:        m.GetServer(),
		Result:       m.GetBody(),
		ResultStored: m.GetBodyKept(),
	}
	for status := once.Registered; status <= once.Voided; status++ {
		if status.String() == m.GetState() {
			a.Status = status
			return a, nil
		}
	}
	return a, errors.Errorf("unknown state %q of an attempt", m.GetState())
}

// Void records that an attempt is proven not to have run and never to run.
func (c *Client) Void(ctx context.Context, workspace, key string, attempt int64) error {
	entry := ledger.Void{Workspace: workspace, Key: key, Attempt: attempt}
	return c.postWithFallback(ctx, c.ShardOf(workspace), entry)
}

// Attempt returns the latest attempt under a key from the shard's owner, or
// else from this process's replica of the shard.
func (c *Client) Attempt(ctx context.Context, workspace, key string) (once.Attempt, bool, error) {
	sh := c.shard(c.ShardOf(workspace))
	if a, found, done := c.registerAtOwner(ctx, sh, Registration{Workspace: workspace, Key: key}, ""); done {
		return a, found, nil
	}
	rep := c.acquireReplica(sh)
	defer sh.releaseReplica()
	if err := rep.ready(ctx); err != nil {
		return once.Attempt{}, false, registryUnreachable()
	}
	a, found := rep.attempt(workspace, key)
	return a, found, nil
}

func (r *replica) attempt(workspace, key string) (a once.Attempt, found bool) {
	r.stream.View(func(stream.Status) { a, found = r.state.Attempt(workspace, key) })
	return a, found
}

func registrationResult(a once.Attempt, r Registration, id string) RegistrationResult {
	return RegistrationResult{
		Granted:  id != "" && a.ID == id && a.Status == once.Registered,
		Conflict: string(a.Digest) != string(r.Digest),
		Attempt:  a.Number,
		Status:   a.Status,
		Entry:    a.Requester,
		Sidecar:  a.Runner,
		Server:   a.Place,
		Body:     a.Result,
		BodyKept: a.ResultStored,
	}
}

// keyExpired returns the refusal of a key whose earlier attempts may no longer
// be recorded.
func keyExpired() *refusal.Error {
	return &refusal.Error{
		Reason:  refusal.OutcomeUnknown,
		Outcome: refusal.Unknown,
		Advice:  "the key is older than the ledger remembers, or its time is ahead: an earlier request may have run; look at the outcome itself",
	}
}

func registryUnreachable() *refusal.Error {
	return refusal.New(refusal.RegistryUnreachable, retryAfterLogError,
		"the request could not be registered, so it was not run; retry with the same key")
}
