package prepaid

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/services/follower"
)

const (
	// reportInterval is how often the entry reports what changed, in a fleet of up
	// to smallFleet entries. In larger ones, where each entry's part of the load is
	// smaller, the interval grows with their number, so that calls don't.
	reportInterval = 250 * time.Millisecond
	smallFleet     = 8
	// responders is the number of entries that return tokens at once when another
	// lacks some. If all did, their writes would meet.
	responders = 3.0
	// longestReportInterval keeps terms from growing between two reports.
	longestReportInterval = 600 * time.Millisecond
	// repeatPause is the time before a report without an answer is sent again.
	repeatPause = 100 * time.Millisecond
)

// reporter writes the entry's reports, one write at a time and in order. A write
// without an answer is repeated until its outcome is known.
type reporter struct {
	service  *Service
	follower *follower.Follower
	pacer    *pacer
	sequence int64
	// ended says that a later process of the instance reports.
	ended bool
	// known says that the topic was read. The service's lock guards it.
	known bool
	// reporting are the instances that report. The service's lock guards it.
	reporting map[string]bool
}

func newReporter(s *Service) *reporter {
	r := &reporter{service: s, reporting: map[string]bool{}, pacer: newPacer()}
	r.follower = follower.New(s.log, s.store, r.partition(), r, follower.WithMinInterval(reportPace))
	return r
}

func (r *reporter) partition() record.Partition {
	return record.Partition{Topic: r.service.topics.Reports}
}

func (r *reporter) run(ctx context.Context) {
	for !r.ended && r.pacer.wait(ctx, r.interval()) {
		if b := r.plan(time.Now()); b != nil {
			r.write(ctx, b)
		}
	}
}

// interval is the time between two reports.
func (r *reporter) interval() time.Duration {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	entries := len(r.reporting)
	return min(max(reportInterval, reportInterval*time.Duration(entries)/smallFleet), longestReportInterval)
}

// batch is a write of some workspaces' reports.
type batch struct {
	reports map[string]prepaid.Report
	write   record.Write
}

// plan returns the reports to write, or nil.
func (r *reporter) plan(now time.Time) *batch {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.tables.Table()
	if table == nil || !s.known() {
		return nil
	}
	b := &batch{reports: map[string]prepaid.Report{}}
	clock := s.clock()
	for _, w := range table.Workspaces {
		if !w.Limited {
			continue
		}
		report, changed := s.planner.Report(s.accounts[w.Name], w.Prepaid, s.holder(w, now, clock))
		if !changed {
			continue
		}
		rec, err := s.record(w, report)
		if err != nil {
			s.log.Error("report not encoded", "workspace", w.Name, "error", err)
			continue
		}
		b.reports[w.Name] = report
		b.write.Records = append(b.write.Records, rec)
		s.purse(w, now).BeginReportWrite(now, report.SpendLimit)
	}
	if len(b.reports) == 0 {
		return nil
	}
	slices.SortFunc(b.write.Records, func(a, b record.Record) int { return strings.Compare(a.Key, b.Key) })
	b.write.Partition = r.partition()
	b.write.Condition = record.ProducerSequence{Producer: s.instance, Epoch: s.incarnation, Sequence: r.sequence}
	return b
}

// write sends the batch until its outcome is known.
func (r *reporter) write(ctx context.Context, b *batch) {
	for ctx.Err() == nil {
		err := r.service.store.Append(ctx, b.write)
		var order *record.SequenceError
		var refused *record.RefusedError
		switch {
		case err == nil:
			r.settle(b, true)
			return
		case errors.As(err, &order):
			r.disordered(b, order)
			return
		case errors.As(err, &refused):
			r.service.log.Debug("report refused", "error", err)
			r.settle(b, false)
			delay.Wait(ctx, repeatPause)
			return
		}
		r.service.log.Debug("report outcome unknown", "sequence", r.sequence, "error", err)
		if !delay.Wait(ctx, repeatPause) {
			return
		}
	}
}

// disordered ends a write whose sequence did not follow: it took effect before,
// or a later process reports.
func (r *reporter) disordered(b *batch, e *record.SequenceError) {
	if e.Fenced {
		r.ended = true
		r.service.log.Error("a later process reports for this instance", "instance", r.service.instance)
		return
	}
	applied := e.Expected == r.sequence+1
	r.service.log.Warn("report out of order", "sequence", r.sequence, "expected", e.Expected)
	r.settle(b, applied)
	r.sequence = e.Expected
}

// settle notes the outcome of a write.
func (r *reporter) settle(b *batch, made bool) {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if made {
		r.sequence++
	}
	for workspace, report := range b.reports {
		if !made {
			s.purses[workspace].DiscardReport()
			continue
		}
		s.purses[workspace].ConfirmReport()
		s.accounts[workspace] = s.accounts[workspace].WithReport(s.instance, report)
	}
	if made {
		s.notify()
	}
}

// Reset implements follower.Handler.
func (r *reporter) Reset(records []record.Record, next int64) {
	r.Apply(records, next)
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.known = true
}

// Apply implements follower.Handler. If another entry lacks tokens, some plan
// their grants anew at once.
func (r *reporter) Apply(records []record.Record, _ int64) {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range records {
		workspace, instance, found := strings.Cut(rec.Key, keySeparator)
		report, err := prepaid.ParseReport(rec.Value)
		if err != nil || !found {
			s.log.Error("report not readable", "key", rec.Key, "offset", rec.Offset, "error", err)
			if instance == s.instance {
				// What a former process of this instance spent is not known.
				s.broken[workspace] = true
			}
			continue
		}
		if instance == s.instance && report.Incarnation == s.incarnation && s.incarnation != 0 {
			continue
		}
		r.reporting[instance] = true
		s.accounts[workspace] = s.accounts[workspace].WithReport(instance, report)
		if report.Shortfall > 0 && rand.Float64() < responders/float64(len(r.reporting)) {
			s.granter(workspace).pacer.urge()
		}
	}
}

// SetReachable implements follower.Handler.
func (r *reporter) SetReachable(bool) {}
