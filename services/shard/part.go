package shard

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/lease"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

// writerMark parts an incarnation from the number of its opening of a stream.
const writerMark = "+host"

// part is one shard as this process hosts it.
type part struct {
	host   *Host
	number int
	// watch to hinted belong to the goroutine in serve.
	watch *lease.Monitor
	// watched is the epoch of the owner that the watch is about.
	watched  int64
	last     evaluation
	openings int
	// hinted is the last epoch of which the hint was published.
	hinted uint64

	mu   sync.Mutex
	open *opening
	// resigned is set when the shard is handed over.
	resigned bool
	calls    int
	// recalled is when the holders of a workspace's budget were last asked.
	recalled map[string]time.Time
}

// evaluation is the standing by the newest state looked at.
type evaluation struct {
	state    *fleet.State
	standing lease.Candidacy
	member   bool
}

// opening is one reading of the shard's stream, begun in order to own it.
type opening struct {
	writer string
	stream *stream.Stream
	// state belongs to the stream: it is read in Stream.View and Stream.Wait.
	state *ledger.State
}

// Apply implements stream.StateMachine.
func (o *opening) Apply(at stream.Position, bodies [][]byte) {
	for _, body := range bodies {
		o.state.ApplyBody(at.Time, body, countEffect)
	}
}

// Snapshot implements stream.StateMachine.
func (o *opening) Snapshot() ([]byte, error) { return o.state.Snapshot() }

// Restore implements stream.StateMachine.
func (o *opening) Restore(data []byte) error {
	if data == nil {
		*o.state = *ledger.New()
		return nil
	}
	return o.state.Restore(data)
}

// owns says whether the stream, as far as it was read, names this opening as the
// owner.
func (o *opening) owns() bool { return o.stream.Status().Owner == o.writer }

// serve keeps watch over the shard until the context ends.
func (p *part) serve(ctx context.Context) {
	p.watch = lease.NewMonitor(time.Now(), p.host.lease)
	ticker := time.NewTicker(p.host.lease / stepsPerLease)
	defer ticker.Stop()
	for {
		p.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *part) step(ctx context.Context) {
	p.mu.Lock()
	o := p.open
	p.mu.Unlock()
	if o != nil {
		p.keep(ctx, o)
		return
	}
	if !p.host.fleet.LogReachable() {
		// A process that can't claim must not have a shard handed over.
		p.watch.Reset(time.Now())
		return
	}
	state := p.host.fleet.State()
	owner := state.Owners[p.number]
	if owner.Epoch != p.watched {
		p.watched = owner.Epoch
		p.watch.Reset(time.Now())
	}
	standing, member := p.standing(state)
	if !member {
		return
	}
	switch p.watch.Next(time.Now(), standing).(type) {
	case lease.Probe:
		p.probe(ctx, owner)
	case lease.Claim:
		p.claim(ctx, owner)
	default:
	}
}

// standing returns what the state says of the shard's owner and of this process's
// turn, if this process is a member.
func (p *part) standing(state *fleet.State) (lease.Candidacy, bool) {
	if p.last.state == state {
		return p.last.standing, p.last.member
	}
	owner := state.Owners[p.number].Incarnation
	_, owned := state.Members[owner]
	owned = owned && owner != p.host.member.Incarnation
	if !owned {
		owner = ""
	}
	rank, member := p.rank(state, p.host.member.Incarnation, owner)
	p.last = evaluation{state: state, standing: lease.Candidacy{Rank: rank, Owned: owned}, member: member}
	return p.last.standing, member
}

// rank returns an entry's place in the shard's order of the members but except,
// if it is a member.
func (p *part) rank(state *fleet.State, incarnation, except string) (int, bool) {
	self, member := state.Members[incarnation]
	if !member {
		return 0, false
	}
	var names []string
	for _, m := range state.Members {
		if m.Role == fleet.Entry && m.Incarnation != except {
			names = append(names, m.Name)
		}
	}
	return lease.Rank(p.number, self.Name, names), true
}

// keep publishes the hint of an owned shard, and lets a lost or handed over one
// go.
func (p *part) keep(ctx context.Context, o *opening) {
	p.mu.Lock()
	idle := p.resigned && p.calls == 0
	p.mu.Unlock()
	_, member := p.host.fleet.State().Members[p.host.member.Incarnation]
	if !o.owns() || idle || !member {
		p.leave(o)
		return
	}
	epoch := o.stream.Status().Epoch
	if p.hinted == epoch {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	hint := fleet.OwnerHint{Shard: p.number, Owner: fleet.Owner{
		Incarnation: p.host.member.Incarnation,
		Address:     p.host.member.Address,
		Epoch:       int64(epoch),
	}}
	if _, err := p.host.fleet.Publish(ctx, hint); err != nil {
		p.host.logger.Warn("owner hint not published", "shard", p.number, "error", err)
		return
	}
	p.hinted = epoch
}

// leave ends the opening.
func (p *part) leave(o *opening) {
	p.mu.Lock()
	p.open, p.resigned = nil, false
	p.mu.Unlock()
	p.watch.Reset(time.Now())
	lost.Inc()
	p.host.logger.Info("shard left", "shard", p.number, "epoch", o.stream.Status().Epoch)
	if err := o.stream.Close(); err != nil {
		p.host.logger.Warn("shard stream not closed", "shard", p.number, "error", err)
	}
}

// probe asks the owner whether it still serves the shard.
func (p *part) probe(ctx context.Context, owner fleet.Owner) {
	switch p.host.probe(ctx, p.number, owner.Address).(type) {
	case serving:
		p.watch.Reset(time.Now())
	case notServing:
		p.watch.OwnerResigned()
	default:
		unanswered.Inc()
	}
}

// claim reads the shard's stream and claims it, unless it shows an owner that
// the fleet's state does not name yet and that answers.
func (p *part) claim(ctx context.Context, hint fleet.Owner) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	o := p.newOpening(ctx)
	claimed := false
	defer func() {
		if !claimed {
			if err := o.stream.Close(); err != nil {
				p.host.logger.Warn("shard stream not closed", "shard", p.number, "error", err)
			}
		}
	}()
	err := o.stream.Wait(ctx, func(st stream.Status) bool { return st.Ready && st.Reachable })
	if err != nil {
		return
	}
	st := o.stream.Status()
	if p.servedByOther(ctx, st, hint) {
		p.watch.Reset(time.Now())
		return
	}
	claims.Inc()
	err = o.stream.Claim(ctx, st.Epoch+1)
	var fenced *stream.FencedError
	if errors.As(err, &fenced) {
		claimsLost.Inc()
		p.watch.Reset(time.Now())
	}
	if err != nil {
		p.host.logger.Info("shard not claimed", "shard", p.number, "epoch", st.Epoch+1, "error", err)
		return
	}
	claimed = true
	p.mu.Lock()
	p.open, p.resigned = o, false
	p.recalled = map[string]time.Time{}
	p.mu.Unlock()
	p.host.logger.Info("shard claimed", "shard", p.number, "epoch", st.Epoch+1, "before", st.Owner)
	p.step(ctx)
}

// newOpening begins to read the shard's stream. Each opening writes under a name
// of its own, because the records of one writer are numbered through.
func (p *part) newOpening(ctx context.Context) *opening {
	p.openings++
	o := &opening{
		writer: fmt.Sprintf("%s%s%d", p.host.member.Incarnation, writerMark, p.openings),
		state:  ledger.New(),
	}
	o.stream = stream.New(ledger.StreamName(p.number), o.writer, p.host.log, o,
		stream.WithAppendInterval(p.host.interval),
		stream.WithLimiter(p.host.limiter),
		stream.WithLogger(p.host.logger),
		stream.WithCheckpoints(p.host.schedule, func() bool { return o.owns() }),
	)
	o.stream.Run(context.WithoutCancel(ctx))
	return o
}

// servedByOther says whether the stream's owner is another than the hint says,
// and answers.
func (p *part) servedByOther(ctx context.Context, st stream.Status, hint fleet.Owner) bool {
	incarnation := incarnationOf(st.Owner)
	if incarnation == hint.Incarnation || incarnation == p.host.member.Incarnation {
		return false
	}
	member, alive := p.host.fleet.State().Members[incarnation]
	if !alive {
		return false
	}
	_, answers := p.host.probe(ctx, p.number, member.Address).(serving)
	return answers
}

// owned returns the opening if this process owns the shard and serves it.
func (p *part) owned() (*opening, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil || p.resigned || !p.open.owns() {
		return nil, false
	}
	return p.open, true
}

// begin is owned for a call, which the caller ends.
func (p *part) begin() (*opening, bool) {
	o, ok := p.owned()
	if !ok {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return o, true
}

func (p *part) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls--
}

// resign ends the service of the shard, so that another may claim it at once.
func (p *part) resign() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resigned = true
}

func (p *part) close() error {
	p.mu.Lock()
	o := p.open
	p.open = nil
	p.mu.Unlock()
	if o == nil {
		return nil
	}
	return o.stream.Close()
}

// incarnationOf returns the incarnation of a writer.
func incarnationOf(writer string) string {
	incarnation, _, _ := strings.Cut(writer, writerMark)
	return incarnation
}
