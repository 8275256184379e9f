package lease

import "time"

// Action is what a process does next for a shard that it does not own.
type Action interface {
	isAction()
}

// Wait is the action to do nothing.
type Wait struct{}

// Probe is the action to query the owner whether it still serves the shard.
type Probe struct{}

// Claim is the action to try to claim the shard.
type Claim struct{}

func (Wait) isAction()  {}
func (Probe) isAction() {}
func (Claim) isAction() {}

// Candidacy describes a shard's owner and this process's rank as a candidate.
type Candidacy struct {
	// Rank is the process's position in the shard's order, starting at 0.
	Rank int
	// Owned reports whether the shard has a known owner that is still a member.
	Owned bool
}

// MaxCandidates is how many processes, the first in the shard's order, monitor
// its owner.
const MaxCandidates = 3

// Monitor decides when a process claims a shard. The candidate of rank n claims
// n+1 timeouts after the last reset, or n timeouts if the shard has no owner, so
// that candidates rarely claim at the same time.
type Monitor struct {
	timeout time.Duration
	// resetAt is the time of the last reset.
	resetAt   time.Time
	lastProbe time.Time
	// resigned is set when the owner has responded that it does not serve the
	// shard.
	resigned bool
}

// probesPerTimeout is the number of probes sent per timeout. Several probes must
// remain without a response before a claim, so that one lost response does not
// cause one.
const probesPerTimeout = 3

// NewMonitor returns a monitor whose timeout starts now.
func NewMonitor(now time.Time, timeout time.Duration) *Monitor {
	return &Monitor{timeout: timeout, resetAt: now}
}

// Reset restarts the timeout. It is called when the owner confirms that it serves
// the shard, and whenever this process should not claim yet.
func (m *Monitor) Reset(now time.Time) {
	m.resetAt = now
	m.resigned = false
}

// OwnerResigned records the owner's response that it does not serve the shard.
func (m *Monitor) OwnerResigned() { m.resigned = true }

// Next returns the action to take now.
func (m *Monitor) Next(now time.Time, c Candidacy) Action {
	if c.Rank >= MaxCandidates {
		m.resetAt = now
		return Wait{}
	}
	elapsed := now.Sub(m.resetAt)
	if !c.Owned || m.resigned {
		if elapsed >= time.Duration(c.Rank)*m.timeout {
			return Claim{}
		}
		return Wait{}
	}
	if elapsed >= time.Duration(c.Rank+1)*m.timeout {
		return Claim{}
	}
	if now.Sub(m.lastProbe) >= m.timeout/probesPerTimeout {
		m.lastProbe = now
		return Probe{}
	}
	return Wait{}
}
