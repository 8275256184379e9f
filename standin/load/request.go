package load

import (
	"time"

	"github.com/crocusline/crocusline/models/admission"
	"github.com/crocusline/crocusline/models/refusal"
)

// request is one caller's request. A caller who comes back starts it anew.
type request struct {
	run       *run
	stream    *Stream
	id        string
	workspace string
	// prompt is the part that placement sees; prefix names its shared beginning.
	prompt string
	prefix string
	output int

	arrival  time.Time
	asked    time.Time
	deadline time.Time
	first    time.Time
	last     time.Time
	// served is how much of the answer the caller holds, generated the tokens
	// that servers made for it.
	served    int
	generated []time.Time
	tries     int
	tried     []string
	returned  int
}

func (r *request) promptTokens() int { return r.stream.PrefixTokens + r.stream.TailTokens }

// flow is what the entries' gates go by.
func (r *request) flow() admission.Request {
	return admission.Request{Workspace: r.workspace, Kind: r.stream.Kind}
}

// submit asks at one entry, and at another each time the caller comes back.
func (r *request) submit() {
	r.asked = r.run.now
	r.first, r.last = time.Time{}, time.Time{}
	r.served, r.generated, r.tries, r.tried = 0, nil, 0, nil
	if r.stream.Deadline > 0 {
		r.deadline = r.asked.Add(r.stream.Deadline)
	}
	e := r.run.entries[r.run.turn%len(r.run.entries)]
	r.run.turn++
	r.run.result.asked++
	r.run.after(r.run.workload.Hop, func() { e.submit(r) })
}

// token takes in that a token reaches the entry.
func (r *request) token(at time.Time) {
	result := r.run.result
	if r.first.IsZero() {
		r.first = at
	} else {
		result.gap(r, at.Sub(r.last))
	}
	r.last = at
	r.generated = append(r.generated, at)
	result.served(r, at)
}

// end gives the caller the whole answer, or err.
func (r *request) end(err *refusal.Error) {
	result := r.run.result
	if err == nil {
		result.whole(r)
		return
	}
	result.broken(r, err)
	if err.RetryAfter > 0 && err.Outcome == refusal.NotRun && r.returned < r.stream.Returns {
		r.returned++
		r.run.after(err.RetryAfter+r.run.workload.Hop, r.submit)
		return
	}
	result.left(r, err)
}
