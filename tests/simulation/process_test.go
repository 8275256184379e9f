package simulation

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/platform"
)

var errDead = errors.New("process is dead")

// process is one incarnation of a simulated process, and the log as it sees it.
type process struct {
	name        string
	incarnation string
	world       *world
	ctx         context.Context
	kill        context.CancelFunc

	mu     sync.Mutex
	random map[string]*rand.Rand
	resume chan struct{}
	paused time.Time
	cut    bool
	lose   int
	double int
	// stall is how long the process pauses before its next call to a sidecar.
	stall time.Duration
}

func (p *process) dead() bool { return p.ctx.Err() != nil }

// pause stops the process at its next call to or from outside.
func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume, p.paused = make(chan struct{}), time.Now()
	}
}

func (p *process) unpause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume, p.paused = nil, time.Time{}
	}
}

// dispatching pauses the process if it is to stall.
func (p *process) dispatching() error {
	p.mu.Lock()
	stall := p.stall
	p.stall = 0
	p.mu.Unlock()
	if stall > 0 {
		p.pause()
		p.world.tasks.Go(func() {
			sleep(p.world.ctx, stall)
			p.unpause()
		})
	}
	return p.gate()
}

// suspected says whether others would take the process for dead by now.
func (p *process) suspected(after time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ctx.Err() != nil || !p.paused.IsZero() && time.Since(p.paused) > after
}

// gate waits while the process is paused. It fails once the process is dead.
func (p *process) gate() error {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		select {
		case <-resume:
		case <-p.ctx.Done():
		}
	}
	if p.dead() {
		return errDead
	}
	return nil
}

// draw draws a number below n. Each label has a source of its own, so that what
// is drawn does not depend on the order of what happens at one instant.
func (p *process) draw(label string, n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random[label] == nil {
		h := fnv.New64a()
		_, _ = io.WriteString(h, p.incarnation+" "+label)
		p.random[label] = rand.New(rand.NewPCG(p.world.seed, h.Sum64()))
	}
	return p.random[label].IntN(n)
}

// between draws a duration, with nanoseconds so that few events tie.
func (p *process) between(label string, low, high time.Duration) time.Duration {
	return low + time.Duration(p.draw(label, int(high-low)))
}

func (p *process) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// take counts one of the faults down.
func (p *process) take(n *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (p *process) unavailable(stream string) error {
	return &platform.UnavailableError{Stream: stream, Cause: errors.New("cut")}
}

// pass is one way to or from the log.
func (p *process) pass(ctx context.Context, way, stream string) error {
	if err := p.gate(); err != nil {
		return p.unavailable(stream)
	}
	sleep(ctx, p.between(way+stream, time.Millisecond, 3*time.Millisecond)+p.world.slowness())
	if err := p.gate(); err != nil || ctx.Err() != nil || p.isCut() {
		return p.unavailable(stream)
	}
	return nil
}

func (p *process) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// Append implements platform.Log.
func (p *process) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := p.pass(ctx, "append", stream); err != nil {
		return 0, err
	}
	offset, err := p.world.log.Append(ctx, stream, data)
	if err != nil {
		return 0, err
	}
	if p.take(&p.double) {
		late := p.between("late"+stream, 0, 5*time.Second)
		p.world.tasks.Go(func() {
			time.Sleep(late)
			_, _ = p.world.log.Append(context.Background(), stream, data)
		})
	}
	if p.take(&p.lose) {
		return 0, p.unavailable(stream)
	}
	return offset, p.pass(ctx, "append", stream)
}

// Read implements platform.Log.
func (p *process) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	if err := p.pass(ctx, "read", stream); err != nil {
		return platform.Batch{}, err
	}
	batch, err := p.world.log.Read(ctx, stream, from, limit, wait)
	if err != nil {
		return batch, err
	}
	return batch, p.pass(ctx, "read", stream)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
