package ledger

import (
	"context"

	"github.com/google/uuid"

	"github.com/crocusline/crocusline/coordination/once"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
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

// Registered is what a shard knows of a key.
type Registered struct {
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
func (c *Client) Register(ctx context.Context, r Registration) (Registered, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	sh := c.shard(c.ShardOf(r.Workspace))
	if err := c.ready(ctx, sh); err != nil {
		return Registered{}, registryUnreachable()
	}
	last, found := sh.attempt(r.Workspace, r.Key)
	if found && last.Status != once.Voided {
		return registered(last, r, ""), nil
	}
	id := uuid.NewString()
	err := c.Post(ctx, sh.number, ledger.Register{
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
		return Registered{}, registryUnreachable()
	}
	last, _ = sh.attempt(r.Workspace, r.Key)
	return registered(last, r, id), nil
}

// Void records the proof that an attempt did not and will not run.
func (c *Client) Void(ctx context.Context, workspace, key string, attempt int64) error {
	entry := ledger.Void{Workspace: workspace, Key: key, Attempt: attempt}
	return c.Post(ctx, c.ShardOf(workspace), entry)
}

// Attempt returns what the shard knows of a key, as far as this process has
// read its stream.
func (c *Client) Attempt(ctx context.Context, workspace, key string) (once.Attempt, bool, error) {
	sh := c.shard(c.ShardOf(workspace))
	if err := c.ready(ctx, sh); err != nil {
		return once.Attempt{}, false, registryUnreachable()
	}
	a, found := sh.attempt(workspace, key)
	return a, found, nil
}

func (s *shard) attempt(workspace, key string) (a once.Attempt, found bool) {
	s.stream.View(func(stream.Status) { a, found = s.state.Attempt(workspace, key) })
	return a, found
}

func registered(a once.Attempt, r Registration, id string) Registered {
	return Registered{
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

func registryUnreachable() *refusal.Error {
	return refusal.New(refusal.RegistryUnreachable, retryLog,
		"the request could not be registered, so it was not run; retry with the same key")
}
