package ledger

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/crocusline/crocusline/coordination/escrow"
	"github.com/crocusline/crocusline/models/allowance"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/modules/peer"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
)

const (
	// ownerTimeout is how long a shard's owner may take to answer.
	ownerTimeout = 750 * time.Millisecond
	// ownerQuiet is how long an owner that did not answer is not asked again.
	ownerQuiet = time.Second
	// ownerWait is how long entries that nobody waits for are kept for a known
	// owner that does not answer, or the one that follows it.
	ownerWait = 5 * time.Second
	// ownerRetry is the time between two tries of such entries.
	ownerRetry = 250 * time.Millisecond
)

// Locator returns where the owner of a shard is reached, if it is known.
type Locator func(shard int) (netip.AddrPort, bool)

// WithOwners makes the client use the shards through their owners, and read and
// append to the streams itself only while an owner does not answer. client
// reaches peers.
func WithOwners(locate Locator, client *http.Client) Option {
	return func(c *Client) {
		c.owners = &owners{
			locate:  locate,
			http:    client,
			clients: map[netip.AddrPort]peerv1connect.LedgerServiceClient{},
		}
	}
}

// owners holds the clients of the shards' owners.
type owners struct {
	locate Locator
	http   *http.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]peerv1connect.LedgerServiceClient
}

func (o *owners) client(address netip.AddrPort) peerv1connect.LedgerServiceClient {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.clients[address] == nil {
		o.clients[address] = peerv1connect.NewLedgerServiceClient(o.http, peer.URL(address))
	}
	return o.clients[address]
}

// SetLocalOwner makes calls of the owner at this process's own address without the
// network. It comes before Start, and after WithOwners.
func (c *Client) SetLocalOwner(address netip.AddrPort, owner peerv1connect.LedgerServiceClient) {
	c.owners.mu.Lock()
	defer c.owners.mu.Unlock()
	c.owners.clients[address] = owner
}

// ownerCall is one call of a shard's owner.
type ownerCall func(ctx context.Context, owner peerv1connect.LedgerServiceClient) error

// hasOwner says whether a shard's owner is known.
func (c *Client) hasOwner(number int) bool {
	if c.owners == nil {
		return false
	}
	_, known := c.owners.locate(number)
	return known
}

// ask calls a shard's owner and says whether it did what it was asked. If not,
// it may have done so nevertheless.
func (c *Client) ask(ctx context.Context, sh *shard, call ownerCall) bool {
	if c.owners == nil || sh.isQuiet(time.Now()) {
		return false
	}
	address, known := c.owners.locate(sh.number)
	if !known {
		ownerCalls.unknown.Inc()
		return false
	}
	err := c.askAt(ctx, address, call)
	if next, moved := movedTo(err); moved && next != address {
		ownerCalls.moved.Inc()
		err = c.askAt(ctx, next, call)
	}
	if err == nil {
		ownerCalls.answered.Inc()
		sh.setSilent(time.Time{})
		return true
	}
	ownerCalls.failed.Inc()
	c.logger.Debug("shard owner did not answer", "shard", sh.number, "address", address, "error", err)
	sh.setSilent(time.Now())
	if ctx.Err() == nil {
		sh.setQuiet(time.Now().Add(ownerQuiet))
	}
	return false
}

// setSilent notes since when the owner does not answer, or with the zero time
// that it does.
func (sh *shard) setSilent(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if now.IsZero() || sh.silent.IsZero() {
		sh.silent = now
	}
}

// awaitsOwner says whether entries that nobody waits for are better kept for the
// owner: without it, each process would append by itself.
func (c *Client) awaitsOwner(sh *shard) bool {
	if !c.hasOwner(sh.number) {
		return false
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return time.Since(sh.silent) < ownerWait
}

func (c *Client) askAt(ctx context.Context, address netip.AddrPort, call ownerCall) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return call(ctx, c.owners.client(address))
}

func (sh *shard) isQuiet(now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return now.Before(sh.quiet)
}

func (sh *shard) setQuiet(until time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.quiet = until
}

// movedTo returns the owner that a process which does not own the shard names.
func movedTo(err error) (netip.AddrPort, bool) {
	var failed *connect.Error
	if !errors.As(err, &failed) || failed.Code() != connect.CodeFailedPrecondition {
		return netip.AddrPort{}, false
	}
	for _, d := range failed.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if detail, ok := value.(*peerv1.OwnerDetail); ok {
			address, err := netip.ParseAddrPort(detail.GetAddress())
			return address, err == nil
		}
	}
	return netip.AddrPort{}, false
}

// drawFrom moves tokens through the shard's owner and takes over the account
// that it answers with.
func (c *Client) drawFrom(ctx context.Context, sh *shard, a *account, req *peerv1.DrawRequest) bool {
	req.Shard = int32(sh.number)
	req.Workspace = a.workspace
	req.Holder = c.incarnation
	var resp *connect.Response[peerv1.DrawResponse]
	done := c.ask(ctx, sh, func(ctx context.Context, owner peerv1connect.LedgerServiceClient) (err error) {
		resp, err = owner.Draw(ctx, connect.NewRequest(req))
		return err
	})
	if !done {
		return false
	}
	sh.takeSettled(resp.Msg.GetSettled())
	a.mu.Lock()
	a.seen = a.seen.newer(viewOf(resp.Msg))
	a.mu.Unlock()
	if resp.Msg.GetClosed() {
		sh.closed.Store(true)
	}
	c.reconcile(sh, a)
	return true
}

func (sh *shard) takeSettled(ranges []*peerv1.SequenceRange) {
	settled := make(escrow.Ranges, 0, len(ranges))
	for _, r := range ranges {
		settled = append(settled, escrow.Range{First: r.GetFirst(), Last: r.GetLast()})
	}
	sh.holds.settleAll(settled)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.settled = settled
	sh.refreshed = time.Now()
}

func viewOf(m *peerv1.DrawResponse) view {
	return view{
		budget: budgetOf(m.GetBudget()),
		sums:   allowance.AccountTotals{Granted: m.GetGranted(), Returned: m.GetReturned(), Sequence: m.GetSequence()},
		closed: m.GetClosed(),
		now:    m.GetNow().AsTime(),
		read:   time.Now(),
	}
}

func budgetOf(m *peerv1.Budget) ledger.Budget {
	b := ledger.Budget{
		Workspace:   m.GetWorkspace(),
		ToppedUp:    m.GetToppedUp(),
		Settled:     m.GetSettled(),
		Outstanding: m.GetOutstanding(),
		Bills:       m.GetBills(),
		Duplicates:  m.GetDuplicates(),
		WriteOff:    ledger.WriteOff{Bills: m.GetWrittenOffBills(), Tokens: m.GetWrittenOffTokens()},
	}
	if m.GetShort() != nil {
		b.Short = m.GetShort().AsTime()
	}
	return b
}

// postTo hands entries to the shard's owner.
func (c *Client) postTo(ctx context.Context, sh *shard, entries []ledger.Entry) (bool, error) {
	if c.owners == nil {
		return false, nil
	}
	body, err := ledger.Encode(entries...)
	if err != nil {
		return false, err
	}
	req := &peerv1.PostRequest{Shard: int32(sh.number), Entries: [][]byte{body}}
	done := c.ask(ctx, sh, func(ctx context.Context, owner peerv1connect.LedgerServiceClient) error {
		_, err := owner.Post(ctx, connect.NewRequest(req))
		return err
	})
	return done, nil
}

// budgetsFrom reads budgets from the shard's owner, all if workspace is empty.
func (c *Client) budgetsFrom(ctx context.Context, sh *shard, workspace string) ([]ledger.Budget, bool) {
	var budgets []ledger.Budget
	req := &peerv1.BudgetsRequest{Shard: int32(sh.number), Workspace: workspace}
	done := c.ask(ctx, sh, func(ctx context.Context, owner peerv1connect.LedgerServiceClient) error {
		resp, err := owner.Budgets(ctx, connect.NewRequest(req))
		if err != nil {
			return err
		}
		for _, m := range resp.Msg.GetBudgets() {
			budgets = append(budgets, budgetOf(m))
		}
		return nil
	})
	return budgets, done
}

// drawRequest returns a request that moves no tokens.
func (c *Client) drawRequest() *peerv1.DrawRequest {
	return &peerv1.DrawRequest{Wait: durationpb.New(c.recallWait)}
}
