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

func (t *topUpCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("topup")
	sub.Description = "Add prepaid tokens to a workspace's budget."
	sub.AddPositionalValue(&t.workspace, "workspace", 1, true, "workspace whose budget is increased")
	sub.AddPositionalValue(&t.amount, "tokens", 2, true, "number of tokens, such as 500000 or 500_000")
	t.addPlatformFlags(sub)
	sub.String(&t.id, "", "id", "id of the top-up, such as the invoice's number; a second top-up with the same id adds nothing")
	sub.Int(&t.shards, "", "shards", "number of ledger shards; 0 uses the number of the running instances")
	sub.Bool(&t.unlisted, "", "unlisted", "allow a workspace that is not in the published tables yet")
	sub.AdditionalHelpAppend = `
  If the command fails before it has printed that the tokens were added, run it
  again with the same --id.

  crocusline topup -p http://10.0.0.2:7000 --id invoice-4711 clinics 500_000`
	return sub
}

func (t *topUpCommand) run(ctx context.Context, con console) error {
	tokens, err := strconv.ParseInt(strings.ReplaceAll(t.amount, "_", ""), 10, 64)
	if err != nil || tokens <= 0 {
		return usagef("%q is not a number of tokens above 0", t.amount)
	}
	id, err := changeID(t.id)
	if err != nil {
		return err
	}
	s, err := t.openSession(ctx, con)
	if err != nil {
		return err
	}
	defer s.close()
	count, err := t.shardCount(s.state)
	if err != nil {
		return err
	}
	if _, found := s.state.Tables.Workspaces[t.workspace]; !found && !t.unlisted {
		return usagef("the published tables have no workspace %q; publish it first, or give --unlisted", t.workspace)
	}
	con.logf("id=%s", id)
	entry := ledger.TopUp{ID: id, Workspace: t.workspace, Tokens: tokens}
	replica, err := s.appendTopUp(ctx, ledger.ShardOf(t.workspace, count), entry)
	if err != nil {
		return err
	}
	return t.report(con, replica, tokens)
}

// shardCount returns the number of ledger shards that the fleet uses.
func (t *topUpCommand) shardCount(state *fleet.State) (int, error) {
	count := t.shards
	for _, m := range state.Members {
		if m.Shards == 0 {
			continue
		}
		if count != 0 && count != m.Shards {
			return 0, usagef("%s uses %d ledger shards, not %d", m.Name, m.Shards, count)
		}
		count = m.Shards
	}
	if count == 0 {
		return 0, usagef("no running instance reports the number of ledger shards; give --shards as in the settings")
	}
	return count, nil
}

func (t *topUpCommand) report(con console, replica *topUpReplica, tokens int64) error {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	b := replica.state.Budget(t.workspace)
	switch replica.effect {
	case ledger.Applied:
		fmt.Fprintf(con.out, "added %d tokens to %s\n", tokens, t.workspace)
	case ledger.Duplicate:
		fmt.Fprintf(con.out, "nothing added: %s was topped up under this id before\n", t.workspace)
	default:
		return usagef("nothing added: the ledger returned %s for the entry", replica.effect)
	}
	fmt.Fprintf(con.out, "budget of %s: %d topped up, %d settled, %d outstanding, %d free\n",
		t.workspace, b.ToppedUp, b.Settled, b.Outstanding, b.Free())
	return nil
}

// appendTopUp appends the top-up to the shard's stream and returns a replica of the shard's
// state that has applied it.
func (s *session) appendTopUp(ctx context.Context, shard int, entry ledger.TopUp) (*topUpReplica, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	body, err := ledger.Encode(entry)
	if err != nil {
		return nil, err
	}
	replica := &topUpReplica{state: ledger.New(), id: entry.ID, workspace: entry.Workspace}
	st := stream.New(ledger.StreamName(shard), s.incarnation, s.log, replica)
	st.Run(ctx)
	defer func() { _ = st.Close() }()
	if _, err := st.Append(ctx, body); err != nil {
		return nil, publishError(err)
	}
	return replica, nil
}

// topUpReplica is a replica of a shard's state that records the effect of one top-up.
type topUpReplica struct {
	id        string
	workspace string

	mu     sync.Mutex
	state  *ledger.State
	effect ledger.Effect
}

// Apply implements stream.StateMachine.
func (r *topUpReplica) Apply(at stream.Position, bodies [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, body := range bodies {
		entries, err := ledger.Decode(body)
		if err != nil {
			continue
		}
		for _, e := range entries {
			effect := r.state.Apply(at.Time, e)
			if t, ok := e.(ledger.TopUp); ok && t.ID == r.id && t.Workspace == r.workspace {
				r.effect = effect
			}
		}
	}
}

// Snapshot implements stream.StateMachine.
func (r *topUpReplica) Snapshot() ([]byte, error) { return r.state.Snapshot() }

// Restore implements stream.StateMachine.
func (r *topUpReplica) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if data == nil {
		r.state = ledger.New()
		return nil
	}
	return r.state.Restore(data)
}
