package main

import (
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/standin/load"
)

// loadCommand simulates a workload in virtual time.
type loadCommand struct {
	file          string
	compare       string
	placement     string
	order         string
	plots         string
	seed          uint64
	duration      time.Duration
	scale         float64
	json          bool
	noPrediction  bool
	noPreemption  bool
	noGate        bool
	noRetryBudget bool
}

func newLoadCommand() *loadCommand { return &loadCommand{} }

func (c *loadCommand) flags() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("load")
	sub.Description = "Simulate a workload in virtual time with the production decision code."
	sub.AddPositionalValue(&c.file, "file", 1, true, "workload file, such as workloads/tropic_frost.yaml")
	sub.String(&c.compare, "", "compare", "run once for each value of: placement, order, prediction, preemption, gate or retryBudget")
	sub.String(&c.placement, "", "placement", "affinity, pureAffinity, twoChoices, roundRobin or random")
	sub.String(&c.order, "", "order", "fair, ranked or arrival")
	sub.String(&c.plots, "", "plots", "directory for plots by rank and workspace")
	sub.UInt64(&c.seed, "", "seed", "seed, overrides that of the file")
	sub.Duration(&c.duration, "", "duration", "duration of arrivals, overrides that of the file")
	sub.Float64(&c.scale, "", "scale", "factor for the arrival rates of all streams")
	sub.Bool(&c.json, "", "json", "write JSON lines")
	sub.Bool(&c.noPrediction, "", "noPrediction", "accept requests regardless of their predicted wait")
	sub.Bool(&c.noPreemption, "", "noPreemption", "disable preemption of running requests")
	sub.Bool(&c.noGate, "", "noGate", "disable overload throttling at the entries")
	sub.Bool(&c.noRetryBudget, "", "noRetryBudget", "disable the limit of retries")
	return sub
}

func (c *loadCommand) run(ctx context.Context, _ hclog.Logger) error {
	w, err := c.workload()
	if err != nil {
		return err
	}
	variants := []*load.Workload{w}
	if c.compare != "" {
		if variants, err = w.Variants(c.compare); err != nil {
			return err
		}
	}
	for _, variant := range variants {
		if err := ctx.Err(); err != nil {
			return errors.WithStack(err)
		}
		if err := c.report(load.Run(variant)); err != nil {
			return err
		}
	}
	return nil
}

// workload reads the workload file and applies the flags.
func (c *loadCommand) workload() (*load.Workload, error) {
	w, err := load.ReadFile(c.file)
	if err != nil {
		return nil, err
	}
	if c.seed != 0 {
		w.Seed = c.seed
	}
	if c.duration != 0 {
		w.Duration = c.duration
	}
	if c.scale != 0 {
		w.ScaleArrivals(c.scale)
	}
	p := &w.Policy
	if c.placement != "" {
		if p.Placement, err = placement.ParsePolicy(c.placement); err != nil {
			return nil, err
		}
	}
	if c.order != "" {
		if p.Order, err = queue.ParseOrder(c.order); err != nil {
			return nil, err
		}
	}
	p.Prediction = p.Prediction && !c.noPrediction
	p.Preemption = p.Preemption && !c.noPreemption
	p.Gate = p.Gate && !c.noGate
	p.RetryBudget = p.RetryBudget && !c.noRetryBudget
	return w, nil
}

func (c *loadCommand) report(r *load.Result) error {
	if c.plots != "" {
		if err := r.Plot(c.plots); err != nil {
			return err
		}
	}
	if c.json {
		return r.WriteJSON(os.Stdout)
	}
	return r.WriteTable(os.Stdout)
}
