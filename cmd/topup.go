package cmd

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

// topUpCommand adds prepaid tokens to a workspace's budget.
type topUpCommand struct {
	platformFlags
	workspace string
	amount    string
	id        string
	shards    int
	unlisted  bool
}

func newTopUpCommand() *topUpCommand {
	return &topUpCommand{platformFlags: newPlatformFlags()}
}

func (t *topUpCommand) attach() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("topup")
	sub.Description = "Add prepaid tokens to a workspace's budget."
	sub.AddPositionalValue(&t.workspace, "workspace", 1, true, "workspace whose budget grows")
	sub.AddPositionalValue(&t.amount, "tokens", 2, true, "number of tokens, such as 500000 or 500_000")
	t.platformFlags.attach(sub)
	sub.String(&t.id, "", "id", "id of the top-up, such as the invoice's number; a second one of the same id adds nothing")
	sub.Int(&t.shards, "", "shards", "number of ledger shards; 0 takes it from the running instances")
	sub.Bool(&t.unlisted, "", "unlisted", "the workspace is not in the published tables yet")
	sub.AdditionalHelpAppend = `
  If the command does not say that the tokens were added, run it again with the
  same --id.

  crocusline topup -p http://10.0.0.2:7000 --id invoice-4711 clinics 500_000`
	return sub
}

func (t *topUpCommand) run(ctx context.Context, con console) error {
	tokens, err := strconv.ParseInt(strings.ReplaceAll(t.amount, "_", ""), 10, 64)
	if err != nil || tokens <= 0 {
		return usagef("%q is not a number of tokens above 0", t.amount)
	}
	id, err := newID(t.id)
	if err != nil {
		return err
	}
	s, err := t.open(ctx, con)
	if err != nil {
		return err
	}
	defer s.end()
	count, err := t.shardCount(s.state)
	if err != nil {
		return err
	}
	if _, known := s.state.Tables.Workspaces[t.workspace]; !known && !t.unlisted {
		return usagef("the published tables have no workspace %q; publish it first, or give --unlisted", t.workspace)
	}
	con.notef("id=%s", id)
	entry := ledger.TopUp{ID: id, Workspace: t.workspace, Tokens: tokens}
	fold, err := s.post(ctx, ledger.ShardOf(t.workspace, count), entry)
	if err != nil {
		return err
	}
	return t.report(con, fold, tokens)
}

// shardCount returns the number of shards that the fleet works with.
func (t *topUpCommand) shardCount(state *fleet.State) (int, error) {
	count := t.shards
	for _, m := range state.Members {
		if m.Shards == 0 {
			continue
		}
		if count != 0 && count != m.Shards {
			return 0, usagef("%s works with %d ledger shards, not %d", m.Name, m.Shards, count)
		}
		count = m.Shards
	}
	if count == 0 {
		return 0, usagef("no instance says how many ledger shards there are; give --shards as in the settings")
	}
	return count, nil
}

func (t *topUpCommand) report(con console, fold *topUpFold, tokens int64) error {
	fold.mu.Lock()
	defer fold.mu.Unlock()
	b := fold.state.Budget(t.workspace)
	switch fold.effect {
	case ledger.Applied:
		fmt.Fprintf(con.out, "added %d tokens to %s\n", tokens, t.workspace)
	case ledger.Duplicate:
		fmt.Fprintf(con.out, "nothing added: %s was topped up under this id before\n", t.workspace)
	default:
		return usagef("nothing added: the ledger calls the entry %s", fold.effect)
	}
	fmt.Fprintf(con.out, "budget of %s: %d topped up, %d settled, %d outstanding, %d free\n",
		t.workspace, b.ToppedUp, b.Settled, b.Outstanding, b.Free())
	return nil
}

// post appends the top-up to the shard's stream and returns the fold that has
// read it back.
func (s *session) post(ctx context.Context, shard int, entry ledger.TopUp) (*topUpFold, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	body, err := ledger.Encode(entry)
	if err != nil {
		return nil, err
	}
	fold := &topUpFold{state: ledger.New(), id: entry.ID, workspace: entry.Workspace}
	st := stream.New(ledger.StreamName(shard), s.incarnation, s.log, fold)
	st.Run(ctx)
	defer func() { _ = st.Close() }()
	if _, err := st.Append(ctx, body); err != nil {
		return nil, publishError(err)
	}
	return fold, nil
}

// topUpFold is a shard's state that remembers what one top-up did.
type topUpFold struct {
	id        string
	workspace string

	mu     sync.Mutex
	state  *ledger.State
	effect ledger.Effect
}

// Apply implements stream.StateMachine.
func (f *topUpFold) Apply(at stream.Position, bodies [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, body := range bodies {
		entries, err := ledger.Decode(body)
		if err != nil {
			continue
		}
		for _, e := range entries {
			effect := f.state.Apply(at.Time, e)
			if t, ok := e.(ledger.TopUp); ok && t.ID == f.id && t.Workspace == f.workspace {
				f.effect = effect
			}
		}
	}
}

// Snapshot implements stream.StateMachine.
func (f *topUpFold) Snapshot() ([]byte, error) { return f.state.Snapshot() }

// Restore implements stream.StateMachine.
func (f *topUpFold) Restore(data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if data == nil {
		f.state = ledger.New()
		return nil
	}
	return f.state.Restore(data)
}
