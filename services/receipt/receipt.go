// Package receipt completes the billing of requests at an entry instance. It
// acknowledges delivered responses to the sidecar, keeps the instance's copy
// of the bill until the shard's stream contains a bill, and releases the holds
// of requests that did not run.
package receipt

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/ledger"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/services/dispatch"
)

// Name is the service's name in the kernel.
const Name = "receipt"

// States in which a sidecar never bills a request: the request is fenced, so that
// the sidecar refuses it from now on, or the sidecar ran it and does not know
// whether that took effect.
const (
	stateFenced     = "fenced"
	stateUnresolved = "unknown"
)

const (
	// capacity bounds the stored receipts and the queue of new ones.
	capacity = 16384
	// settleInterval is the time between two passes over the receipts.
	settleInterval = time.Second
	// maxCheckInterval is the maximum time between two checks of a receipt.
	maxCheckInterval = 16 * time.Second
	// callTimeout is the timeout of one call to a sidecar or the ledger.
	callTimeout = 2 * time.Second
	// flushTimeout bounds the final pass at shutdown.
	flushTimeout = 5 * time.Second
	// sidecarBillTimeout is how long the sidecar has to get its bill into the
	// stream before this instance posts its own copy.
	sidecarBillTimeout = 5 * time.Second
)

// Ledger is the part of the ledger client that receipts use.
type Ledger interface {
	// Post returns after the shard's stream contains the entries.
	Post(ctx context.Context, shard int, entries ...ledger.Entry) error
	// Settled reports whether the shard's stream contains a bill of the hold,
	// as far as this process has read it.
	Settled(hold ledger.Hold) bool
}

// Counters are the service's metrics.
type Counters interface {
	ReceiptDropped()
	ReceiptsWritten(n int)
}

// Service keeps receipts until they are settled. It implements
// dispatch.ReceiptStore.
type Service struct {
	log       hclog.Logger
	ledger    Ledger
	directory dispatch.Directory
	counters  Counters
	queue     chan pending
	receipts  []pending
	now       func() time.Time
	done      sync.WaitGroup
	cancel    context.CancelFunc
}

// pending is a receipt that is not settled yet.
type pending struct {
	dispatch.Receipt
	// delivered is set if the caller has received the whole response.
	delivered bool
	createdAt time.Time
	// nextCheck is the time of the next check, and checkInterval the time
	// between the last check and that one.
	nextCheck     time.Time
	checkInterval time.Duration
}

// withBackoff doubles the check interval. A sidecar keeps an interrupted
// request for its grace time, and querying many of them every second would
// overload the entry instance.
func (p pending) withBackoff(now time.Time) pending {
	p.checkInterval = min(max(2*p.checkInterval, settleInterval), maxCheckInterval)
	p.nextCheck = now.Add(p.checkInterval)
	return p
}

// New returns the service.
func New(log hclog.Logger, l Ledger, d dispatch.Directory, c Counters) *Service {
	return &Service{
		log:       log.Named(Name),
		ledger:    l,
		directory: d,
		counters:  c,
		queue:     make(chan pending, capacity),
		now:       time.Now,
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Close makes a final pass over the receipts and waits for it to end.
func (s *Service) Close() error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Add implements dispatch.ReceiptStore.
func (s *Service) Add(r dispatch.Receipt) {
	s.enqueue(pending{Receipt: r, delivered: true, createdAt: s.now()})
}

// Reconcile implements dispatch.ReceiptStore.
func (s *Service) Reconcile(r dispatch.Receipt) {
	s.enqueue(pending{Receipt: r, createdAt: s.now()})
}

// enqueue queues a receipt, or drops it if the queue is full.
func (s *Service) enqueue(p pending) {
	select {
	case s.queue <- p:
	default:
		s.drop(p)
	}
}

func (s *Service) drop(p pending) {
	s.counters.ReceiptDropped()
	s.log.Error("receipt dropped", "requestId", p.Bill.RequestID)
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case p := <-s.queue:
			s.add(ctx, p)
		case <-ticker.C:
			s.settleAll(ctx, sidecarBillTimeout)
		case <-ctx.Done():
			s.flush(context.WithoutCancel(ctx))
			return
		}
	}
}

// add stores a receipt. It first acknowledges a delivered response, so that
// the sidecar can bill without waiting for its grace time.
func (s *Service) add(ctx context.Context, p pending) {
	if p.delivered {
		s.acknowledge(ctx, p)
	}
	if len(s.receipts) >= capacity {
		s.drop(p)
		return
	}
	s.receipts = append(s.receipts, p)
}

// flush adds the queued receipts and makes one final pass over all of them.
func (s *Service) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for {
		select {
		case p := <-s.queue:
			s.add(ctx, p)
			continue
		default:
		}
		break
	}
	s.settleAll(ctx, 0)
	if len(s.receipts) > 0 {
		s.log.Warn("receipts unsettled at shutdown", "count", len(s.receipts))
	}
}

// settleAll makes one pass over the receipts. If the sidecar has not settled
// the bill of a delivered response within timeout, this instance posts its own
// copy.
func (s *Service) settleAll(ctx context.Context, timeout time.Duration) {
	var remaining []pending
	due := map[int][]pending{}
	now := s.now()
	for _, p := range s.receipts {
		if timeout > 0 && now.Before(p.nextCheck) {
			remaining = append(remaining, p)
			continue
		}
		switch s.progress(ctx, p, timeout) {
		case settled:
		case postBill:
			due[p.Bill.Hold.Shard] = append(due[p.Bill.Hold.Shard], p)
		case checkAgain:
			remaining = append(remaining, p.withBackoff(now))
		}
	}
	for shard, receipts := range due {
		if !s.postBills(ctx, shard, receipts) {
			remaining = append(remaining, receipts...)
		}
	}
	s.receipts = remaining
}

// progress is the result of checking a receipt.
type progress int

const (
	// checkAgain means that the receipt must be checked again.
	checkAgain progress = iota
	// postBill means that this instance must post the bill.
	postBill
	// settled means that the receipt is no longer needed.
	settled
)

func (s *Service) progress(ctx context.Context, p pending, timeout time.Duration) progress {
	switch {
	case !p.delivered:
		return s.abandonedProgress(ctx, p)
	case s.acknowledge(ctx, p):
		return settled
	case s.now().Sub(p.createdAt) >= timeout:
		return postBill
	default:
		return checkAgain
	}
}

// acknowledge confirms to the sidecar that the response was delivered. It
// reports whether the stream contains the sidecar's bill.
func (s *Service) acknowledge(ctx context.Context, p pending) bool {
	sidecar, ok := s.directory.Sidecar(p.Server)
	if !ok || sidecar.Incarnation != p.Sidecar {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &peerv1.AcknowledgeRequest{RequestId: p.Bill.RequestID}
	resp, err := sidecar.Client.Acknowledge(ctx, connect.NewRequest(req))
	return err == nil && resp.Msg.GetBilled()
}

// postBills posts this instance's copies of bills to a shard, as bills of 0
// tokens if the response was not delivered. If the sidecar posts its bill as
// well, only the first in the stream takes effect.
func (s *Service) postBills(ctx context.Context, shard int, receipts []pending) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	bills := make([]ledger.Entry, 0, len(receipts))
	for _, p := range receipts {
		if !p.delivered {
			p.Bill.Tokens = 0
		}
		bills = append(bills, p.Bill)
	}
	if err := s.ledger.Post(ctx, shard, bills...); err != nil {
		s.log.Warn("bills not written", "shard", shard, "count", len(bills), "error", err)
		return false
	}
	s.counters.ReceiptsWritten(len(bills))
	return true
}

// abandonedProgress checks the receipt of a request that may have run. Its
// hold is released, by a bill of 0 tokens, only after the sidecar can no
// longer bill it: the request is fenced at the sidecar, or the sidecar's
// incarnation was replaced. A sidecar's bill that is being posted meanwhile is not
// lost, because the first bill of a hold in the stream takes effect.
func (s *Service) abandonedProgress(ctx context.Context, p pending) progress {
	if s.ledger.Settled(p.Bill.Hold) {
		return settled
	}
	sidecar, ok := s.directory.Sidecar(p.Server)
	switch {
	case !ok:
		return checkAgain
	case sidecar.Incarnation != p.Sidecar || s.neverBilled(ctx, sidecar, p):
		return postBill
	default:
		return checkAgain
	}
}

// neverBilled makes the sidecar refuse the request from now on, and reports
// whether the sidecar will never bill it.
func (s *Service) neverBilled(ctx context.Context, sidecar dispatch.Sidecar, p pending) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := sidecar.Client.Inquire(ctx, connect.NewRequest(&peerv1.InquireRequest{
		Workspace: p.Bill.Workspace,
		RequestId: p.Bill.RequestID,
		Fence:     true,
	}))
	if err != nil || resp.Msg.GetIncarnation() != p.Sidecar {
		return false
	}
	state := resp.Msg.GetState()
	return state == stateFenced || state == stateUnresolved
}
