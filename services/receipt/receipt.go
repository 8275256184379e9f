// Package receipt settles what an entry owes after an answer: it tells the
// sidecar that the answer arrived, keeps the entry's copy of the bill until the
// shard's stream holds it, and frees holds whose request did not run.
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

// Name is the service's name.
const Name = "receipt"

// The states in which a sidecar never bills a request: it refuses the request from
// now on, or it ran it without learning whether it took effect.
const (
	stateFenced     = "fenced"
	stateUnresolved = "unknown"
)

const (
	// capacity bounds the receipts kept, and the ring that brings them.
	capacity = 16384
	// settleInterval is the pause between rounds over the receipts.
	settleInterval = time.Second
	// longestPause is the longest time between two looks at a receipt.
	longestPause = 16 * time.Second
	// callTimeout bounds one call to a sidecar or the ledger.
	callTimeout = 2 * time.Second
	// lastRoundTimeout bounds the round before the process ends.
	lastRoundTimeout = 5 * time.Second
	// sidecarBillTimeout is how long the sidecar has to get its bill into the
	// stream before the entry writes its own copy.
	sidecarBillTimeout = 5 * time.Second
)

// Ledger is what receipts need of the ledger.
type Ledger interface {
	// Post returns once the shard's stream holds the entries.
	Post(ctx context.Context, shard int, entries ...ledger.Entry) error
	// Settled says whether the shard's stream holds a bill of the hold, as far
	// as this process has read it.
	Settled(hold ledger.Hold) bool
}

// Counters are the service's metrics.
type Counters interface {
	ReceiptDropped()
	ReceiptsWritten(n int)
}

// Service keeps receipts. It implements dispatch.ReceiptStore.
type Service struct {
	log       hclog.Logger
	ledger    Ledger
	directory dispatch.Directory
	counters  Counters
	ring      chan pending
	kept      []pending
	now       func() time.Time
	done      sync.WaitGroup
	cancel    context.CancelFunc
}

// pending is a receipt that is not settled yet.
type pending struct {
	dispatch.Receipt
	// answered says that the caller has the whole answer.
	answered bool
	since    time.Time
	// next is when to look again, and pause the time until the look after that.
	next  time.Time
	pause time.Duration
}

// later doubles the pause: a sidecar keeps an interrupted request for its grace
// time, and asking for many of them each second would load the entry.
func (p pending) later(now time.Time) pending {
	p.pause = min(max(2*p.pause, settleInterval), longestPause)
	p.next = now.Add(p.pause)
	return p
}

// New returns the service.
func New(log hclog.Logger, l Ledger, d dispatch.Directory, c Counters) *Service {
	return &Service{
		log:       log.Named(Name),
		ledger:    l,
		directory: d,
		counters:  c,
		ring:      make(chan pending, capacity),
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

// Close makes a last round over the receipts and waits for it.
func (s *Service) Close() error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Add implements dispatch.ReceiptStore.
func (s *Service) Add(r dispatch.Receipt) {
	s.put(pending{Receipt: r, answered: true, since: s.now()})
}

// Reconcile implements dispatch.ReceiptStore.
func (s *Service) Reconcile(r dispatch.Receipt) {
	s.put(pending{Receipt: r, since: s.now()})
}

func (s *Service) put(p pending) {
	select {
	case s.ring <- p:
	default:
		s.counters.ReceiptDropped()
		s.log.Error("receipt dropped", "requestId", p.Bill.RequestID)
	}
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case p := <-s.ring:
			s.take(ctx, p)
		case <-ticker.C:
			s.settleAll(ctx, sidecarBillTimeout)
		case <-ctx.Done():
			s.lastRound(context.WithoutCancel(ctx))
			return
		}
	}
}

// take settles an answered receipt at once if the sidecar answers, which is
// what lets the sidecar bill without its grace time.
func (s *Service) take(ctx context.Context, p pending) {
	if p.answered {
		s.acknowledge(ctx, p)
	}
	if len(s.kept) >= capacity {
		s.counters.ReceiptDropped()
		return
	}
	s.kept = append(s.kept, p)
}

// lastRound settles what it can before the process ends.
func (s *Service) lastRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastRoundTimeout)
	defer cancel()
	for {
		select {
		case p := <-s.ring:
			s.take(ctx, p)
			continue
		default:
		}
		break
	}
	s.settleAll(ctx, 0)
	if len(s.kept) > 0 {
		s.log.Warn("receipts left behind", "count", len(s.kept))
	}
}

// settleAll makes one round. An answered receipt older than timeout whose bill
// the sidecar has not settled is written by this entry.
func (s *Service) settleAll(ctx context.Context, timeout time.Duration) {
	var rest []pending
	due := map[int][]pending{}
	now := s.now()
	for _, p := range s.kept {
		if timeout > 0 && now.Before(p.next) {
			rest = append(rest, p)
			continue
		}
		switch s.progress(ctx, p, timeout) {
		case settled:
		case writable:
			due[p.Bill.Hold.Shard] = append(due[p.Bill.Hold.Shard], p)
		case waiting:
			rest = append(rest, p.later(now))
		}
	}
	for shard, receipts := range due {
		if !s.write(ctx, shard, receipts) {
			rest = append(rest, receipts...)
		}
	}
	s.kept = rest
}

// progress is how far a receipt has come.
type progress int

const (
	// waiting receipts need another round.
	waiting progress = iota
	// writable receipts are for this entry to write.
	writable
	// settled receipts are done with.
	settled
)

func (s *Service) progress(ctx context.Context, p pending, timeout time.Duration) progress {
	switch {
	case !p.answered:
		return s.abandoned(ctx, p)
	case s.acknowledge(ctx, p):
		return settled
	case s.now().Sub(p.since) >= timeout:
		return writable
	default:
		return waiting
	}
}

// acknowledge tells the sidecar that the answer arrived, and says whether the
// sidecar's bill is in the stream.
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

// write puts the entry's copies of bills into a shard's stream. The fold takes
// the first of the two.
func (s *Service) write(ctx context.Context, shard int, receipts []pending) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	bills := make([]ledger.Entry, 0, len(receipts))
	for _, p := range receipts {
		if !p.answered {
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

// abandoned says how far the receipt of a request is that may have run. Its
// hold waits until the sidecar cannot bill it any more: because it was told to
// refuse the request, or because its incarnation is gone. A bill of nothing then
// frees the hold. The fold takes the first bill of a hold, so that one that
// is being posted still counts.
func (s *Service) abandoned(ctx context.Context, p pending) progress {
	if s.ledger.Settled(p.Bill.Hold) {
		return settled
	}
	sidecar, ok := s.directory.Sidecar(p.Server)
	switch {
	case !ok:
		return waiting
	case sidecar.Incarnation != p.Sidecar || s.unbilled(ctx, sidecar, p):
		return writable
	default:
		return waiting
	}
}

// unbilled says whether the sidecar will never bill the request.
func (s *Service) unbilled(ctx context.Context, sidecar dispatch.Sidecar, p pending) bool {
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
