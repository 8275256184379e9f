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
	// ownerTimeout is the timeout of one call to a shard's owner.
	ownerTimeout = 750 * time.Millisecond
	// ownerBackoff is how long an owner that did not answer is not called
	// again.
	ownerBackoff = time.Second
	// ownerWaitLimit is how long Post waits for a known owner that does not
	// answer, or for its successor.
	ownerWaitLimit = 5 * time.Second
	// ownerRetryInterval is the time between two attempts of Post to reach the
	// owner.
	ownerRetryInterval = 250 * time.Millisecond
)

// Locator returns the address of a shard's owner, if it is known.
type Locator func(shard int) (netip.AddrPort, bool)

// WithOwners makes the client use the shards through their owners. It then
// reads and appends to a shard's stream itself only while the owner does not
// answer. client is the HTTP client for calls to other processes.
func WithOwners(locate Locator, client *http.Client) Option {
	return func(c *Client) {
		c.owners = &owners{
			locate:  locate,
			http:    client,
			clients: map[netip.AddrPort]peerv1connect.LedgerServiceClient{},
		}
	}
}

// owners locates the shards' owners and caches the RPC clients for them.
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

// SetLocalOwner makes calls to the owner at this process's own address bypass
// the network. It must be called after New with WithOwners, and before Start.
func (c *Client) SetLocalOwner(address netip.AddrPort, owner peerv1connect.LedgerServiceClient) {
	c.owners.mu.Lock()
	defer c.owners.mu.Unlock()
	c.owners.clients[address] = owner
}

// ownerCall makes one call to a shard's owner.
type ownerCall func(ctx context.Context, owner peerv1connect.LedgerServiceClient) error

// hasOwner reports whether a shard's owner is known.
func (c *Client) hasOwner(number int) bool {
	if c.owners == nil {
		return false
	}
	_, known := c.owners.locate(number)
	return known
}

// callOwner calls a shard's owner and reports whether it succeeded. If not,
// the call may have taken effect all the same.
func (c *Client) callOwner(ctx context.Context, sh *shard, call ownerCall) bool {
	if c.owners == nil || sh.inBackoff(time.Now()) {
		return false
	}
	address, known := c.owners.locate(sh.number)
	if !known {
		ownerCalls.unknown.Inc()
		return false
	}
	err := c.callOwnerAt(ctx, address, call)
	if next, moved := redirectTarget(err); moved && next != address {
		ownerCalls.moved.Inc()
		err = c.callOwnerAt(ctx, next, call)
	}
	if err == nil {
		ownerCalls.answered.Inc()
		sh.setUnresponsive(time.Time{})
		return true
	}
	ownerCalls.failed.Inc()
	c.logger.Debug("shard owner did not answer", "shard", sh.number, "address", address, "error", err)
	sh.setUnresponsive(time.Now())
	if ctx.Err() == nil {
		sh.setBackoff(time.Now().Add(ownerBackoff))
	}
	return false
}

// setUnresponsive records that the owner did not answer at now, unless it is
// already unresponsive. The zero time records that it answered.
func (sh *shard) setUnresponsive(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if now.IsZero() || sh.unresponsiveSince.IsZero() {
		sh.unresponsiveSince = now
	}
}

// shouldAwaitOwner reports whether Post should wait for the owner: without the
// owner, each process would append to the stream separately.
func (c *Client) shouldAwaitOwner(sh *shard) bool {
	if !c.hasOwner(sh.number) {
		return false
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return time.Since(sh.unresponsiveSince) < ownerWaitLimit
}

func (c *Client) callOwnerAt(ctx context.Context, address netip.AddrPort, call ownerCall) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return call(ctx, c.owners.client(address))
}

func (sh *shard) inBackoff(now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return now.Before(sh.backoffUntil)
}

func (sh *shard) setBackoff(until time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.backoffUntil = until
}

// redirectTarget returns the address of the current owner from the error of a
// process that does not own the shard.
func redirectTarget(err error) (netip.AddrPort, bool) {
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

// drawFromOwner draws or returns tokens through the shard's owner, and stores
// the account in its response.
func (c *Client) drawFromOwner(ctx context.Context, sh *shard, a *account, req *peerv1.DrawRequest) bool {
	req.Shard = int32(sh.number)
	req.Workspace = a.workspace
	req.Holder = c.incarnation
	var resp *connect.Response[peerv1.DrawResponse]
	done := c.callOwner(ctx, sh, func(ctx context.Context, owner peerv1connect.LedgerServiceClient) (err error) {
		resp, err = owner.Draw(ctx, connect.NewRequest(req))
		return err
	})
	if !done {
		return false
	}
	sh.setSettled(resp.Msg.GetSettled())
	a.mu.Lock()
	a.ownerView = a.ownerView.newer(viewFromResponse(resp.Msg))
	a.mu.Unlock()
	if resp.Msg.GetClosed() {
		sh.closed.Store(true)
	}
	c.reconcile(sh, a)
	return true
}

func (sh *shard) setSettled(ranges []*peerv1.SequenceRange) {
	settled := make(escrow.Ranges, 0, len(ranges))
	for _, r := range ranges {
		settled = append(settled, escrow.Range{First: r.GetFirst(), Last: r.GetLast()})
	}
	sh.holds.settleAll(settled)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.settled = settled
	sh.settledReadAt = time.Now()
}

func viewFromResponse(m *peerv1.DrawResponse) accountView {
	return accountView{
		budget:  budgetFromWire(m.GetBudget()),
		totals:  allowance.AccountTotals{Granted: m.GetGranted(), Returned: m.GetReturned(), Sequence: m.GetSequence()},
		closed:  m.GetClosed(),
		logTime: m.GetNow().AsTime(),
		readAt:  time.Now(),
	}
}

func budgetFromWire(m *peerv1.Budget) ledger.Budget {
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

// postToOwner posts entries to the shard's owner and reports whether it
// answered.
func (c *Client) postToOwner(ctx context.Context, sh *shard, entries []ledger.Entry) (bool, error) {
	if c.owners == nil {
		return false, nil
	}
	body, err := ledger.Encode(entries...)
	if err != nil {
		return false, err
	}
	req := &peerv1.PostRequest{Shard: int32(sh.number), Entries: [][]byte{body}}
	done := c.callOwner(ctx, sh, func(ctx context.Context, owner peerv1connect.LedgerServiceClient) error {
		_, err := owner.Post(ctx, connect.NewRequest(req))
		return err
	})
	return done, nil
}

// budgetsFromOwner reads the budget of a workspace from the shard's owner, or
// all of the shard's budgets if workspace is empty.
func (c *Client) budgetsFromOwner(ctx context.Context, sh *shard, workspace string) ([]ledger.Budget, bool) {
	var budgets []ledger.Budget
	req := &peerv1.BudgetsRequest{Shard: int32(sh.number), Workspace: workspace}
	done := c.callOwner(ctx, sh, func(ctx context.Context, owner peerv1connect.LedgerServiceClient) error {
		resp, err := owner.Budgets(ctx, connect.NewRequest(req))
		if err != nil {
			return err
		}
		for _, m := range resp.Msg.GetBudgets() {
			budgets = append(budgets, budgetFromWire(m))
		}
		return nil
	})
	return budgets, done
}

// newDrawRequest returns a request that draws no tokens yet.
func (c *Client) newDrawRequest() *peerv1.DrawRequest {
	return &peerv1.DrawRequest{Wait: durationpb.New(c.recallWait)}
}
