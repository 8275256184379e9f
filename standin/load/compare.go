package load

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/queue"
)

// Variants returns a copy of the workload for each choice of one decision,
// including the baselines.
func (w *Workload) Variants(decision string) ([]*Workload, error) {
	var all []*Workload
	add := func(name string, change func(*Policy)) {
		v := *w
		v.Name = w.Name + ", " + decision + " " + name
		change(&v.Policy)
		all = append(all, &v)
	}
	onAndOff := func(field func(*Policy) *bool) {
		add("on", func(p *Policy) { *field(p) = true })
		add("off", func(p *Policy) { *field(p) = false })
	}
	switch decision {
	case "placement":
		for p := placement.Affinity; p <= placement.Random; p++ {
			add(p.String(), func(policy *Policy) { policy.Placement = p })
		}
	case "order":
		for o := queue.Fair; o <= queue.Arrival; o++ {
			add(o.String(), func(policy *Policy) { policy.Order = o })
		}
	case "prediction":
		onAndOff(func(p *Policy) *bool { return &p.Prediction })
	case "preemption":
		onAndOff(func(p *Policy) *bool { return &p.Preemption })
	case "gate":
		onAndOff(func(p *Policy) *bool { return &p.Gate })
	case "retryBudget":
		onAndOff(func(p *Policy) *bool { return &p.RetryBudget })
	default:
		return nil, errors.Errorf("unknown decision %q: use placement, order, prediction, preemption, gate or retryBudget", decision)
	}
	return all, nil
}

// ScaleArrivals multiplies the arrival rates of all streams.
func (w *Workload) ScaleArrivals(factor float64) {
	w.Streams = slices.Clone(w.Streams)
	for i := range w.Streams {
		w.Streams[i].Load *= factor
	}
}
