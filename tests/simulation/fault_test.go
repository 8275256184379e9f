package simulation

import (
	"fmt"
	"time"
)

// faultKind is a kind of fault.
type faultKind int

const (
	killEntry faultKind = iota
	killSidecar
	killOwner
	pauseEntry
	pauseSidecar
	pauseOwner
	// stallEntry pauses an entry between the decision to dispatch and the call.
	stallEntry
	// cutEntry, cutSidecar and cutOwner disconnect a process from the log.
	cutEntry
	cutSidecar
	cutOwner
	outage
	slowLog
	// lostAnswers drops responses to appends that took effect.
	lostAnswers
	// doubledAppends repeats appends after a delay.
	doubledAppends
	faultKindCount
)

// faultEvent is a fault injected at a given time.
type faultEvent struct {
	kind   faultKind
	at     time.Duration
	length time.Duration
	target int
}

// drawFaults draws one to three faults of each of one or two kinds. Consecutive
// seeds cover all pairs of kinds.
func (env *environment) drawFaults() []faultEvent {
	first, second := faultKind(env.seed%uint64(faultKindCount)), faultKind(env.seed/uint64(faultKindCount)%uint64(faultKindCount))
	var all []faultEvent
	for _, kind := range []faultKind{first, second} {
		for range 1 + env.random.IntN(3) {
			all = append(all, faultEvent{
				kind:   kind,
				at:     2*time.Second + time.Duration(env.random.Int64N(int64(18*time.Second))),
				length: time.Second + time.Duration(env.random.Int64N(int64(12*time.Second))),
				target: env.random.IntN(3),
			})
		}
		if first == second {
			break
		}
	}
	return all
}

// inject applies a fault and removes it at its end.
func (env *environment) inject(fault faultEvent) {
	sleep(env.ctx, fault.at)
	switch fault.kind {
	case killEntry:
		env.replaceEntry(fault.target, fault.length/5)
	case killSidecar:
		env.replaceSidecar(fault.target, fault.length/5)
	case killOwner:
		env.replaceOwner(fault.target%2, fault.length)
	case pauseEntry, pauseSidecar, pauseOwner:
		p := env.targetProcess(fault)
		p.pause()
		sleep(env.ctx, fault.length)
		p.unpause()
	case stallEntry:
		p := env.targetProcess(fault)
		p.update(func() { p.dispatchStall = fault.length })
	case cutEntry, cutSidecar, cutOwner:
		p := env.targetProcess(fault)
		p.update(func() { p.disconnected = true })
		sleep(env.ctx, fault.length)
		p.update(func() { p.disconnected = false })
	case outage:
		env.log.SetUnavailable(true)
		sleep(env.ctx, fault.length)
		env.log.SetUnavailable(false)
	case slowLog:
		env.setLogDelay(200 * time.Millisecond)
		sleep(env.ctx, fault.length)
		env.setLogDelay(0)
	case lostAnswers:
		for _, p := range env.processes() {
			p.update(func() { p.responsesToDrop = 1 + fault.target })
		}
	case doubledAppends:
		for _, p := range env.processes() {
			p.update(func() { p.appendsToDuplicate = 1 + fault.target })
		}
	case faultKindCount:
	}
}

func (env *environment) setLogDelay(d time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.logDelay = d
}

func (env *environment) targetProcess(fault faultEvent) *process {
	switch fault.kind {
	case pauseEntry, stallEntry, cutEntry:
		return env.entry(fault.target).process
	case pauseSidecar, cutSidecar:
		return env.allSidecars()[fault.target].process
	default:
		return env.owner(fault.target % 2).process
	}
}

func (env *environment) owner(i int) *owner {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.owners[i]
}

func (env *environment) processes() []*process {
	var all []*process
	for i := range entries {
		all = append(all, env.entry(i).process)
	}
	for _, s := range env.allSidecars() {
		all = append(all, s.process)
	}
	return append(all, env.owner(0).process, env.owner(1).process)
}

// killProcess kills a process and records its incarnation as killed.
func (env *environment) killProcess(p *process) {
	p.kill()
	p.unpause()
	env.mu.Lock()
	defer env.mu.Unlock()
	env.killed[p.incarnation] = true
}

func (env *environment) replaceEntry(i int, after time.Duration) {
	old := env.entry(i)
	if old.dead() {
		return
	}
	env.killProcess(old.process)
	env.mu.Lock()
	env.suspects[old.incarnation] = old.process
	env.mu.Unlock()
	sleep(env.ctx, after)
	fresh := env.startEntry(old.name)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.entries[i] = fresh
}

func (env *environment) replaceSidecar(i int, after time.Duration) {
	old := env.allSidecars()[i]
	if old.dead() {
		return
	}
	env.killProcess(old.process)
	sleep(env.ctx, after)
	env.setSidecar(i, env.startSidecar(old.name, joinDelay))
}

func (env *environment) replaceOwner(i int, after time.Duration) {
	old := env.owner(i)
	if old.dead() {
		return
	}
	env.killProcess(old.process)
	sleep(env.ctx, after)
	old.close()
	fresh := env.startOwner(old.name)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.owners[i] = fresh
}

// restartFailedEntries replaces entries whose ledger client has failed, for example
// because the entry was closed while it was paused.
func (env *environment) restartFailedEntries() {
	for env.ctx.Err() == nil {
		sleep(env.ctx, time.Second)
		for i := range entries {
			if e := env.entry(i); !e.dead() && e.client.Err() != nil {
				env.replaceEntry(i, time.Second)
			}
		}
	}
}

func (fault faultEvent) String() string {
	names := [...]string{
		"killEntry", "killSidecar", "killOwner", "pauseEntry", "pauseSidecar", "pauseOwner", "stallEntry",
		"cutEntry", "cutSidecar", "cutOwner", "outage", "slowLog", "lostAnswers", "doubledAppends",
	}
	return fmt.Sprintf("%s %d at %s for %s", names[fault.kind], fault.target, fault.at, fault.length)
}
