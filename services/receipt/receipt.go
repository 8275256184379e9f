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

// stateFenced is a sidecar's word for a request that it will never run or bill.
const stateFenced = "fenced"

const (
	// capacity bounds the receipts kept, and the ring that brings them.
	capacity = 16384
	// settleInterval is the pause between rounds over the receipts.
	settleInterval = time.Second
	// callTimeout bounds one call to a sidecar or the ledger.
	callTimeout = 2 * time.Second
	// sidecarPatience is how long the sidecar has to get its bill into the
	// stream before the entry writes its own copy.
	sidecarPatience = 5 * time.Second
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
	ReceiptWritten()
}

// Service keeps receipts. It implements dispatch.Receipts.
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

// Keep implements dispatch.Receipts.
func (s *Service) Keep(r dispatch.Receipt) {
	s.put(pending{Receipt: r, answered: true, since: s.now()})
}

// Abandon implements dispatch.Receipts.
func (s *Service) Abandon(r dispatch.Receipt) {
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
			s.settleAll(ctx)
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

func (s *Service) lastRound(ctx context.Context) {
	for {
		select {
		case p := <-s.ring:
			s.take(ctx, p)
			continue
		default:
		}
		break
	}
	s.settleAll(ctx)
	for _, p := range s.kept {
		if p.answered {
			s.write(ctx, p)
		}
	}
}

func (s *Service) settleAll(ctx context.Context) {
	rest := s.kept[:0]
	for _, p := range s.kept {
		if !s.settle(ctx, p) {
			rest = append(rest, p)
		}
	}
	s.kept = rest
}

// settle says whether a receipt is settled.
func (s *Service) settle(ctx context.Context, p pending) bool {
	if !p.answered {
		return s.free(ctx, p)
	}
	if s.acknowledge(ctx, p) {
		return true
	}
	if s.now().Sub(p.since) < sidecarPatience {
		return false
	}
	return s.write(ctx, p)
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

// write puts the entry's copy of the bill into the stream. The fold takes the
// first of the two.
func (s *Service) write(ctx context.Context, p pending) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.ledger.Post(ctx, p.Bill.Hold.Shard, p.Bill); err != nil {
		s.log.Warn("bill not written", "requestId", p.Bill.RequestID, "error", err)
		return false
	}
	s.counters.ReceiptWritten()
	return true
}

// free settles a hold whose request may have run. It waits until the sidecar
// cannot bill the hold any more: because it was told to refuse the request, or
// because its incarnation is gone. A bill of nothing then frees the hold. The
// fold takes the first bill of a hold, so that one on its way still counts.
func (s *Service) free(ctx context.Context, p pending) bool {
	if s.ledger.Settled(p.Bill.Hold) {
		return true
	}
	sidecar, ok := s.directory.Sidecar(p.Server)
	if !ok {
		return false
	}
	p.Bill.Tokens = 0
	if sidecar.Incarnation != p.Sidecar {
		return s.write(ctx, p)
	}
	return s.fenced(ctx, sidecar, p) && s.write(ctx, p)
}

// fenced says whether the sidecar will neither run nor bill the request.
func (s *Service) fenced(ctx context.Context, sidecar dispatch.Sidecar, p pending) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := sidecar.Client.Inquire(ctx, connect.NewRequest(&peerv1.InquireRequest{
		Workspace: p.Bill.Workspace,
		RequestId: p.Bill.RequestID,
		Fence:     true,
	}))
	return err == nil && resp.Msg.GetIncarnation() == p.Sidecar && resp.Msg.GetState() == stateFenced
}
