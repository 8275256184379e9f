// Package takeover ends the work on a stream before another attempt continues it: attempts in this process, and those
// at the gateways that recorded or resumed the stream.
package takeover

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/takeover"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/modules/transfer"
)

// These are times in which this process ran: guards extend them if their timers fire late.
const (
	// answerTimeout bounds the time for which a request that resumes a stream waits for another gateway. A gateway that
	// is short of processor time responds within some 0.2 s, one that is cut off doesn't respond.
	answerTimeout = time.Second
	// searchTimeout bounds the time for which it waits for all gateways.
	searchTimeout = 2 * answerTimeout
	// recordsTimeout bounds the time for which it waits for the records. A slow store responds in some 0.25 s.
	recordsTimeout = 350 * time.Millisecond
)

// errSuperseded is the cause of the end of an attempt that another one follows.
var errSuperseded = refusal.New(refusal.Superseded, 0, "the caller has resumed the stream with another request")

// Peers calls other gateways.
type Peers interface {
	// Supersede has the gateway end its attempts at the stream, as the successor resumes it. It returns once no server
	// works for these attempts.
	Supersede(ctx context.Context, peer netip.AddrPort, id lineage.ID, successor netip.AddrPort) (takeover.Answer, error)
}

// Recorders knows which gateways recorded a stream.
type Recorders interface {
	// Recorded reports whether this process recorded the stream.
	Recorded(id lineage.ID) bool
	// Recorders returns the other gateways that recorded the stream, as far as is known.
	Recorders(id lineage.ID) []netip.AddrPort
	// Refresh reads the records, unless they were read since the given time.
	Refresh(ctx context.Context, since time.Time) error
}

// Service holds the attempts at streams of this process.
type Service struct {
	log       hclog.Logger
	self      netip.AddrPort
	peers     Peers
	recorders Recorders
	metrics   *metric.Set

	mu       sync.Mutex
	registry *takeover.Registry
	attempts map[int64]*Attempt
}

// New returns the service of the gateway whose address for others is self.
func New(log hclog.Logger, self netip.AddrPort, peers Peers, recorders Recorders, metrics *metric.Set) *Service {
	return &Service{
		log: log.Named("takeover"), self: self, peers: peers, recorders: recorders, metrics: metrics,
		registry: takeover.NewRegistry(), attempts: map[int64]*Attempt{},
	}
}

// Attempt is one at a stream by one request of a caller. The methods of a nil Attempt do nothing.
type Attempt struct {
	service *Service
	id      lineage.ID
	number  int64
	cancel  context.CancelCauseFunc

	mu    sync.Mutex
	ended bool
	// released is closed once no connection carries the last send.
	released chan struct{}
}

// Begin registers an attempt at the stream, whose request is cancelled when another one follows. The caller closes it.
func (s *Service) Begin(id lineage.ID, cancel context.CancelCauseFunc) *Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Prune(time.Now())
	a := &Attempt{service: s, id: id, number: s.registry.Begin(id), cancel: cancel, released: make(chan struct{})}
	close(a.released)
	s.attempts[a.number] = a
	return a
}

// Close removes the attempt, which sends nothing more.
func (a *Attempt) Close() error {
	if a == nil {
		return nil
	}
	s := a.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.End(a.id, a.number)
	delete(s.attempts, a.number)
	return nil
}

// Send is called before each send. It returns an error if another attempt has followed, and otherwise a function that
// must be called once no connection carries the send any more.
func (a *Attempt) Send() (released func(), err error) {
	if a == nil {
		return func() {}, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return nil, errors.WithStack(errSuperseded)
	}
	done := make(chan struct{})
	a.released = done
	return sync.OnceFunc(func() { close(done) }), nil
}

// end cancels the attempt and returns a channel that is closed once no server works for it.
func (a *Attempt) end() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.cancel(errSuperseded)
	return a.released
}

// EndOthers ends the attempts at the stream that began before this one, here and at other gateways. It returns when
// no server works for them, or after a time in which the others don't say so. It reports whether the gateways that
// resume the stream later will find this one; otherwise it has to record the stream too. Records written before the
// given time, at which the request arrived, are read.
func (a *Attempt) EndOthers(ctx context.Context, since time.Time) bool {
	ctx, guard := transfer.Watch(ctx, transfer.Limits{Begin: searchTimeout})
	defer guard.Stop()
	s := a.service
	s.mu.Lock()
	numbers, successors := s.registry.Before(a.id, a.number), s.registry.Successors(a.id)
	s.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- s.end(ctx, numbers) }()
	search := takeover.NewSearch(s.self, s.recorders.Recorders(a.id)...)
	search.Record(takeover.Answer{Successors: successors, Recorded: s.recorders.Recorded(a.id)})
	s.ask(ctx, a.id, since, search)
	if err := <-ended; err != nil {
		s.log.Warn("attempt not ended", "error", err)
	}
	return search.Complete()
}

// ask has the gateways of the search end their attempts at the stream, all at once, and reads the records meanwhile: a
// gateway that recorded the stream may have missed a resumption by another one, which has recorded it too.
func (s *Service) ask(ctx context.Context, id lineage.ID, since time.Time, search *takeover.Search) {
	refreshed := make(chan error, 1)
	go func() { refreshed <- s.refresh(ctx, since) }()
	answers, open := make(chan takeover.Answer), 0
	for reading := true; ; {
		for peer, ok := search.Next(); ok; peer, ok = search.Next() {
			open++
			go func() { answers <- s.askOne(ctx, id, peer) }()
		}
		if open == 0 && !reading {
			return
		}
		select {
		case answer := <-answers:
			open--
			search.Record(answer)
		case err := <-refreshed:
			reading = false
			if err != nil {
				s.log.Info("gateways that resumed a stream not read", "error", err)
			}
			search.Add(s.recorders.Recorders(id)...)
		}
	}
}

func (s *Service) refresh(ctx context.Context, since time.Time) error {
	ctx, guard := transfer.Watch(ctx, transfer.Limits{Begin: recordsTimeout})
	defer guard.Stop()
	return s.recorders.Refresh(ctx, since)
}

// askOne has the gateway end its attempts at the stream. Without a response, the answer is empty.
func (s *Service) askOne(ctx context.Context, id lineage.ID, peer netip.AddrPort) takeover.Answer {
	start := time.Now()
	ctx, guard := transfer.Watch(ctx, transfer.Limits{Begin: answerTimeout})
	defer guard.Stop()
	answer, err := s.peers.Supersede(ctx, peer, id, s.self)
	if err != nil {
		s.metrics.Counter(gatewaysAsked + unanswered).Inc()
		s.log.Info("gateway not asked to end a stream", "peer", peer, "took", time.Since(start).Round(time.Millisecond), "error", err)
		return takeover.Answer{}
	}
	s.metrics.Counter(gatewaysAsked + answered).Inc()
	return answer
}

// Counters of the gateways that were asked to end their work on a stream, and of the attempts that ended here.
const (
	gatewaysAsked    = "crocusline_stream_takeovers_total"
	answered         = `{result="answered"}`
	unanswered       = `{result="unanswered"}`
	attemptsReplaced = "crocusline_attempts_superseded_total"
)

// Supersede ends the attempts at the stream, which the successor resumes. It returns once no server works for these
// attempts.
func (s *Service) Supersede(ctx context.Context, id lineage.ID, successor netip.AddrPort) (takeover.Answer, error) {
	s.mu.Lock()
	numbers, before := s.registry.Supersede(time.Now(), id, successor)
	s.mu.Unlock()
	return takeover.Answer{Successors: before, Recorded: s.recorders.Recorded(id)}, s.end(ctx, numbers)
}

// Holds reports whether this process has attempts at the stream, or knows another gateway that resumed it.
func (s *Service) Holds(id lineage.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Holds(id)
}

// end ends the attempts and waits until no server works for them.
func (s *Service) end(ctx context.Context, numbers []int64) error {
	var released []<-chan struct{}
	for _, n := range numbers {
		s.mu.Lock()
		a := s.attempts[n]
		s.mu.Unlock()
		if a == nil {
			continue
		}
		s.metrics.Counter(attemptsReplaced).Inc()
		released = append(released, a.end())
	}
	for _, r := range released {
		select {
		case <-r:
		case <-ctx.Done():
			return errors.WithStack(context.Cause(ctx))
		}
	}
	return nil
}
