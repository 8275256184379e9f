package lease

import "time"

// Action is what a process does about a shard that it does not own.
type Action interface {
	isAction()
}

// Rest means to do nothing.
type Rest struct{}

// Probe means to ask the owner whether it still serves the shard.
type Probe struct{}

// Claim means to try to claim the shard.
type Claim struct{}

func (Rest) isAction()  {}
func (Probe) isAction() {}
func (Claim) isAction() {}

// Standing is what a process knows of a shard's owner and of its own turn.
type Standing struct {
	// Rank is the process's place in the shard's order, from 0.
	Rank int
	// Owned says whether the shard has a known owner that is still a member.
	Owned bool
}

// Candidates is how many processes of a shard's order watch its owner.
const Candidates = 3

// Watch decides when a process claims a shard. Candidate n claims n+1 timeouts
// after the owner was last heard of, so that candidates seldom collide.
type Watch struct {
	timeout time.Duration
	// since is when the owner was last heard of or the watch began.
	since  time.Time
	probed time.Time
	// resigned is set when the owner said that it does not serve the shard.
	resigned bool
}

// probesPerTimeout is how many probes go unanswered before a claim.
const probesPerTimeout = 3

// NewWatch returns a watch that begins now.
func NewWatch(now time.Time, timeout time.Duration) *Watch {
	return &Watch{timeout: timeout, since: now}
}

// Heard says that the owner answered that it serves the shard.
func (w *Watch) Heard(now time.Time) {
	w.since = now
	w.resigned = false
}

// Resigned says that the owner answered that it does not serve the shard.
func (w *Watch) Resigned() { w.resigned = true }

// Next returns what to do now.
func (w *Watch) Next(now time.Time, s Standing) Action {
	if s.Rank >= Candidates {
		w.since = now
		return Rest{}
	}
	silent := now.Sub(w.since)
	if !s.Owned || w.resigned {
		if silent >= time.Duration(s.Rank)*w.timeout {
			return Claim{}
		}
		return Rest{}
	}
	if silent >= time.Duration(s.Rank+1)*w.timeout {
		return Claim{}
	}
	if now.Sub(w.probed) >= w.timeout/probesPerTimeout {
		w.probed = now
		return Probe{}
	}
	return Rest{}
}
