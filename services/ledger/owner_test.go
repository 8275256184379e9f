package ledger_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	model "github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/modules/platform/platformtest"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/ledger"
)

// owner is a shard owner that keeps its state in memory only.
type owner struct {
	peerv1connect.UnimplementedLedgerServiceHandler

	mu          sync.Mutex
	state       *model.State
	unreachable bool
}

func (o *owner) apply(entries ...model.Entry) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unreachable {
		return connect.NewError(connect.CodeUnavailable, nil)
	}
	for _, e := range entries {
		o.state.Apply(time.Now(), e)
	}
	return nil
}

func (o *owner) Post(_ context.Context, req *connect.Request[peerv1.PostRequest]) (*connect.Response[peerv1.PostResponse], error) {
	for _, body := range req.Msg.GetEntries() {
		entries, err := model.Decode(body)
		if err != nil {
			return nil, err
		}
		if err := o.apply(entries...); err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(&peerv1.PostResponse{}), nil
}

func (o *owner) Draw(_ context.Context, req *connect.Request[peerv1.DrawRequest]) (*connect.Response[peerv1.DrawResponse], error) {
	m := req.Msg
	var entry model.Entry = model.Grant{
		Workspace: m.GetWorkspace(), Holder: m.GetHolder(), Sequence: m.GetSequence(), Tokens: m.GetWant(),
	}
	if m.GetGive() > 0 {
		entry = model.Return{
			Workspace: m.GetWorkspace(), Holder: m.GetHolder(), Sequence: m.GetSequence(), Tokens: m.GetGive(),
		}
	}
	if err := o.apply(entry); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	account, b := o.state.Account(m.GetWorkspace(), m.GetHolder()), o.state.Budget(m.GetWorkspace())
	return connect.NewResponse(&peerv1.DrawResponse{
		Granted:  account.Granted,
		Returned: account.Returned,
		Sequence: account.Sequence,
		Now:      timestamppb.Now(),
		Budget: &peerv1.Budget{
			Workspace: b.Workspace, ToppedUp: b.ToppedUp, Settled: b.Settled, Outstanding: b.Outstanding, Bills: b.Bills,
		},
	}), nil
}

// servedDuringOutage uses one budget evenly at two entry instances through the
// shard's owner, and returns how many requests one of them can still serve
// after the owner and the log have become unreachable.
func servedDuringOutage(t *testing.T, opts ...ledger.Option) (served int) {
	synctest.Test(t, func(t *testing.T) {
		log, o := platformtest.New(), &owner{state: model.New()}
		address := netip.MustParseAddrPort("127.0.0.1:1")
		locate := func(int) (netip.AddrPort, bool) { return address, true }
		opts = append(opts, ledger.WithShards(1), ledger.WithOwners(locate, nil))
		c, other := start(t, "entry1", log, opts...), start(t, "entry2", log, opts...)
		c.SetLocalOwner(address, o)
		other.SetLocalOwner(address, o)
		topUp(t, c, "clinic", 10_000)
		for i := range 60 {
			bill(t, c, "clinic", fmt.Sprint(i), reserve(t, c, "clinic", 100), 40)
			bill(t, other, "clinic", fmt.Sprint("other", i), reserve(t, other, "clinic", 100), 40)
			time.Sleep(time.Second)
		}
		o.mu.Lock()
		o.unreachable = true
		b := o.state.Budget("clinic")
		o.mu.Unlock()
		if left := b.ToppedUp - b.Settled; b.Outstanding > left*9/10 {
			t.Errorf("%d of %d unspent tokens are outstanding", b.Outstanding, left)
		}
		log.SetUnavailable(true)
		for range 100 {
			if _, err := c.Reserve(t.Context(), "clinic", 100); err != nil {
				break
			}
			served++
		}
		if err := o.state.Check(); err != nil {
			t.Error(err)
		}
	})
	return served
}

func TestReserveBehindOwner(t *testing.T) {
	without := servedDuringOutage(t)
	with := servedDuringOutage(t, ledger.WithStandingReserve(func(string) bool { return false }))
	// 5200 tokens are unspent. The standing reserves take about three quarters
	// of them, half of it at each instance.
	if without > 10 || with < 12 || with > 26 {
		t.Errorf("%d requests served without a standing reserve, %d with one", without, with)
	}
	t.Logf("%d requests served without a standing reserve, %d with one", without, with)
}
