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

var errProcessDead = errors.New("process is dead")

// process is one incarnation of a simulated process. It implements platform.Log
// with the faults injected for this process.
type process struct {
	name        string
	incarnation string
	env         *environment
	ctx         context.Context
	kill        context.CancelFunc

	mu                 sync.Mutex
	random             map[string]*rand.Rand
	resume             chan struct{}
	pausedAt           time.Time
	disconnected       bool
	responsesToDrop    int
	appendsToDuplicate int
	// dispatchStall is the length of a pause before the next call to a sidecar.
	dispatchStall time.Duration
}

func (p *process) dead() bool { return p.ctx.Err() != nil }

// pause blocks the process at its next call to or from another process.
func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume, p.pausedAt = make(chan struct{}), time.Now()
	}
}

func (p *process) unpause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume, p.pausedAt = nil, time.Time{}
	}
}

// beforeDispatch pauses the process if dispatchStall is set, and waits until it may
// continue.
func (p *process) beforeDispatch() error {
	p.mu.Lock()
	stall := p.dispatchStall
	p.dispatchStall = 0
	p.mu.Unlock()
	if stall > 0 {
		p.pause()
		p.env.tasks.Go(func() {
			sleep(p.env.ctx, stall)
			p.unpause()
		})
	}
	return p.waitWhilePaused()
}

// isSuspected reports whether the process is dead or has been paused for longer
// than the given time.
func (p *process) isSuspected(after time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ctx.Err() != nil || !p.pausedAt.IsZero() && time.Since(p.pausedAt) > after
}

// waitWhilePaused blocks while the process is paused. It returns errProcessDead if
// the process is dead.
func (p *process) waitWhilePaused() error {
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
		return errProcessDead
	}
	return nil
}

// drawInt draws a number below n. Each label has its own random source, so that the
// numbers do not depend on the order of simultaneous events.
func (p *process) drawInt(label string, n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random[label] == nil {
		h := fnv.New64a()
		_, _ = io.WriteString(h, p.incarnation+" "+label)
		p.random[label] = rand.New(rand.NewPCG(p.env.seed, h.Sum64()))
	}
	return p.random[label].IntN(n)
}

// drawDuration draws a duration with nanosecond resolution, so that few events are
// simultaneous.
func (p *process) drawDuration(label string, low, high time.Duration) time.Duration {
	return low + time.Duration(p.drawInt(label, int(high-low)))
}

func (p *process) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// consume decrements a counter of remaining faults. It reports false if the counter
// is zero.
func (p *process) consume(n *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (p *process) unavailable(stream string) error {
	return &platform.UnavailableError{Stream: stream, Cause: errors.New("disconnected")}
}

// transfer simulates one message to or from the log, with its delay.
func (p *process) transfer(ctx context.Context, direction, stream string) error {
	if err := p.waitWhilePaused(); err != nil {
		return p.unavailable(stream)
	}
	sleep(ctx, p.drawDuration(direction+stream, time.Millisecond, 3*time.Millisecond)+p.env.currentLogDelay())
	if err := p.waitWhilePaused(); err != nil || ctx.Err() != nil || p.isDisconnected() {
		return p.unavailable(stream)
	}
	return nil
}

func (p *process) isDisconnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disconnected
}

// Append implements platform.Log.
func (p *process) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := p.transfer(ctx, "append", stream); err != nil {
		return 0, err
	}
	offset, err := p.env.log.Append(ctx, stream, data)
	if err != nil {
		return 0, err
	}
	if p.consume(&p.appendsToDuplicate) {
		delay := p.drawDuration("late"+stream, 0, 5*time.Second)
		p.env.tasks.Go(func() {
			time.Sleep(delay)
			_, _ = p.env.log.Append(context.Background(), stream, data)
		})
	}
	if p.consume(&p.responsesToDrop) {
		return 0, p.unavailable(stream)
	}
	return offset, p.transfer(ctx, "append", stream)
}

// Read implements platform.Log.
func (p *process) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	if err := p.transfer(ctx, "read", stream); err != nil {
		return platform.Batch{}, err
	}
	batch, err := p.env.log.Read(ctx, stream, from, limit, wait)
	if err != nil {
		return batch, err
	}
	return batch, p.transfer(ctx, "read", stream)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
