package simulation

import (
	"fmt"
	"time"
)

// fault is one kind of fault.
type fault int

const (
	killEntry fault = iota
	killSidecar
	killOwner
	pauseEntry
	pauseSidecar
	pauseOwner
	// stallEntry pauses an entry between a decision to dispatch and the call.
	stallEntry
	cutEntry
	cutSidecar
	cutOwner
	outage
	slowLog
	lostAnswers
	doubledAppends
	faultKinds
)

// event is one fault at one time.
type event struct {
	kind   fault
	at     time.Duration
	length time.Duration
	target int
}

// faults draws one or two kinds of fault, each one to three times. Seeds in a
// row go through all pairs.
func (w *world) faults() []event {
	first, second := fault(w.seed%uint64(faultKinds)), fault(w.seed/uint64(faultKinds)%uint64(faultKinds))
	var all []event
	for _, kind := range []fault{first, second} {
		for range 1 + w.random.IntN(3) {
			all = append(all, event{
				kind:   kind,
				at:     2*time.Second + time.Duration(w.random.Int64N(int64(18*time.Second))),
				length: time.Second + time.Duration(w.random.Int64N(int64(12*time.Second))),
				target: w.random.IntN(3),
			})
		}
		if first == second {
			break
		}
	}
	return all
}

// strike applies a fault and ends it.
func (w *world) strike(f event) {
	sleep(w.ctx, f.at)
	switch f.kind {
	case killEntry:
		w.replaceEntry(f.target, f.length/5)
	case killSidecar:
		w.replaceSidecar(f.target, f.length/5)
	case killOwner:
		w.replaceOwner(f.target%2, f.length)
	case pauseEntry, pauseSidecar, pauseOwner:
		p := w.target(f)
		p.pause()
		sleep(w.ctx, f.length)
		p.unpause()
	case stallEntry:
		p := w.target(f)
		p.set(func() { p.stall = f.length })
	case cutEntry, cutSidecar, cutOwner:
		p := w.target(f)
		p.set(func() { p.cut = true })
		sleep(w.ctx, f.length)
		p.set(func() { p.cut = false })
	case outage:
		w.log.SetUnavailable(true)
		sleep(w.ctx, f.length)
		w.log.SetUnavailable(false)
	case slowLog:
		w.setSlow(200 * time.Millisecond)
		sleep(w.ctx, f.length)
		w.setSlow(0)
	case lostAnswers:
		for _, p := range w.processes() {
			p.set(func() { p.lose = 1 + f.target })
		}
	case doubledAppends:
		for _, p := range w.processes() {
			p.set(func() { p.double = 1 + f.target })
		}
	case faultKinds:
	}
}

func (w *world) setSlow(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow = d
}

func (w *world) target(f event) *process {
	switch f.kind {
	case pauseEntry, stallEntry, cutEntry:
		return w.entry(f.target).process
	case pauseSidecar, cutSidecar:
		return w.allSidecars()[f.target].process
	default:
		return w.owner(f.target % 2).process
	}
}

func (w *world) owner(i int) *owner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owners[i]
}

func (w *world) processes() []*process {
	var all []*process
	for i := range entries {
		all = append(all, w.entry(i).process)
	}
	for _, s := range w.allSidecars() {
		all = append(all, s.process)
	}
	return append(all, w.owner(0).process, w.owner(1).process)
}

// end kills a process for good.
func (w *world) end(p *process) {
	p.kill()
	p.unpause()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.died[p.incarnation] = true
}

func (w *world) replaceEntry(i int, after time.Duration) {
	old := w.entry(i)
	if old.dead() {
		return
	}
	w.end(old.process)
	w.mu.Lock()
	w.suspects[old.incarnation] = old.process
	w.mu.Unlock()
	sleep(w.ctx, after)
	fresh := w.startEntry(old.name)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[i] = fresh
}

func (w *world) replaceSidecar(i int, after time.Duration) {
	old := w.allSidecars()[i]
	if old.dead() {
		return
	}
	w.end(old.process)
	sleep(w.ctx, after)
	w.addSidecar(i, w.startSidecar(old.name, joinDelay))
}

func (w *world) replaceOwner(i int, after time.Duration) {
	old := w.owner(i)
	if old.dead() {
		return
	}
	w.end(old.process)
	sleep(w.ctx, after)
	old.close()
	fresh := w.startOwner(old.name)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owners[i] = fresh
}

// supervise restarts the entries that were taken for dead.
func (w *world) supervise() {
	for w.ctx.Err() == nil {
		sleep(w.ctx, time.Second)
		for i := range entries {
			if e := w.entry(i); !e.dead() && e.client.Err() != nil {
				w.replaceEntry(i, time.Second)
			}
		}
	}
}

func (f event) String() string {
	names := [...]string{
		"killEntry", "killSidecar", "killOwner", "pauseEntry", "pauseSidecar", "pauseOwner", "stallEntry",
		"cutEntry", "cutSidecar", "cutOwner", "outage", "slowLog", "lostAnswers", "doubledAppends",
	}
	return fmt.Sprintf("%s %d at %s for %s", names[f.kind], f.target, f.at, f.length)
}
