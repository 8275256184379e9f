package prepaid

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/gateway"
	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/services/follower"
)

const (
	// reportInterval is the time between two reports in a fleet of up to smallFleetSize
	// gateways. In larger fleets, where each gateway serves a smaller part of the load,
	// the interval grows with the number of gateways, so that the rate of calls to the
	// store doesn't.
	reportInterval = 250 * time.Millisecond
	smallFleetSize = 8
	// responders is the expected number of gateways that adjust their grants immediately
	// when another one lacks tokens. If all did, their writes would conflict.
	responders = 3.0
	// maxReportInterval is shorter than the delay after which spending limits grow, so
	// that they don't grow between two reports.
	maxReportInterval = 600 * time.Millisecond
	// retryInterval is the time before a report without a response is sent again.
	retryInterval = 100 * time.Millisecond
)

// reportWriter writes the gateway's reports, one write at a time and in sequence. A
// write without a response is repeated until its outcome is known.
type reportWriter struct {
	service  *Service
	follower *follower.Follower
	pacer    *pacer
	sequence int64
	// superseded is set when a later process of the instance writes reports.
	superseded bool
	// loaded is set once the topic was read. The service's lock guards it.
	loaded bool
	// others are the instances whose reports were read. The service's lock guards it.
	others *gateway.Presence
	// reachable is whether the last read succeeded. The service's lock guards it.
	reachable bool
}

func newReportWriter(s *Service) *reportWriter {
	r := &reportWriter{service: s, others: gateway.NewPresence(), pacer: newPacer()}
	r.follower = follower.New(s.log, s.store, r.partition(), r, follower.WithPace(r.readPace))
	return r
}

func (r *reportWriter) partition() record.Partition {
	return record.Partition{Topic: r.service.topics.Reports}
}

func (r *reportWriter) run(ctx context.Context) {
	for !r.superseded && r.pacer.wait(ctx, r.interval()) {
		if b := r.plan(); b != nil {
			r.write(ctx, b)
		}
	}
}

// interval returns the time between two reports.
func (r *reportWriter) interval() time.Duration {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	return r.currentInterval()
}

// currentInterval returns the interval with the service locked.
func (r *reportWriter) currentInterval() time.Duration {
	gateways := r.others.Len()
	return min(max(reportInterval, reportInterval*time.Duration(gateways)/smallFleetSize), maxReportInterval)
}

// readPace returns how often reports are read: about as often as they are written.
func (r *reportWriter) readPace() follower.Pace {
	return follower.Pace{MinInterval: max(minReportReadInterval, r.interval()), PollTimeout: follower.DefaultPollTimeout}
}

// batch is a write of the reports on one or more workspaces.
type batch struct {
	reports map[string]prepaid.Report
	write   record.Write
}

// plan returns the reports that should be written, or nil if there are none.
func (r *reportWriter) plan() *batch {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.tables.Table()
	if table == nil || !s.loaded() {
		return nil
	}
	b := &batch{reports: map[string]prepaid.Report{}}
	// A successor counts from the clock. The limits of this process must not begin earlier, also if it is stopped
	// meanwhile.
	clock := s.clockReading()
	now := time.Now()
	for _, w := range table.Workspaces {
		if !w.Limited {
			continue
		}
		h := s.holderState(w, now, clock)
		if len(b.reports) == 0 {
			// One report of a write is enough.
			h.PeerClocks = s.witnesses.LatestClocks()
		}
		report, changed := s.planner.Report(s.accounts[w.Name], w.Prepaid, h)
		if !changed {
			continue
		}
		rec, err := s.record(w, report)
		if err != nil {
			s.log.Error("cannot encode report", "workspace", w.Name, "error", err)
			continue
		}
		b.reports[w.Name] = report
		b.write.Records = append(b.write.Records, rec)
		s.budget(w, now).BeginReportWrite(now, report.SpendLimit)
	}
	if len(b.reports) == 0 {
		return nil
	}
	slices.SortFunc(b.write.Records, func(a, b record.Record) int { return strings.Compare(a.Key, b.Key) })
	b.write.Partition = r.partition()
	b.write.Condition = record.ProducerSequence{Producer: s.instance, Epoch: s.incarnation, Sequence: r.sequence}
	return b
}

// write writes the batch, and repeats that until the outcome is known.
func (r *reportWriter) write(ctx context.Context, b *batch) {
	for ctx.Err() == nil {
		err := r.service.store.Append(ctx, b.write)
		var sequence *record.SequenceError
		var refused *record.RefusedError
		switch {
		case err == nil:
			r.complete(b, true)
			return
		case errors.As(err, &sequence):
			r.handleSequenceError(b, sequence)
			return
		case errors.As(err, &refused):
			r.service.log.Debug("report refused", "error", err)
			r.complete(b, false)
			delay.Wait(ctx, retryInterval)
			return
		}
		r.service.log.Debug("report outcome unknown", "sequence", r.sequence, "error", err)
		if !delay.Wait(ctx, retryInterval) {
			return
		}
	}
}

// handleSequenceError completes a write whose sequence number was not the next one:
// either the write had already taken effect, or a later process writes reports.
func (r *reportWriter) handleSequenceError(b *batch, e *record.SequenceError) {
	if e.Fenced {
		r.superseded = true
		r.service.log.Error("a later process reports for this instance", "instance", r.service.instance)
		return
	}
	applied := e.Expected == r.sequence+1
	r.service.log.Warn("report out of order", "sequence", r.sequence, "expected", e.Expected)
	r.complete(b, applied)
	r.sequence = e.Expected
}

// complete records the outcome of a write.
func (r *reportWriter) complete(b *batch, applied bool) {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if applied {
		r.sequence++
	}
	for workspace, report := range b.reports {
		if !applied {
			s.budgets[workspace].DiscardReport()
			continue
		}
		s.budgets[workspace].ConfirmReport()
		s.accounts[workspace] = s.accounts[workspace].WithReport(s.instance, report)
	}
	if applied {
		s.notify()
	}
}

// Reset implements follower.Handler.
func (r *reportWriter) Reset(records []record.Record, next int64) {
	r.Apply(records, next)
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.service.enterEra(r.follower.Era())
	if !r.loaded {
		r.loaded = true
		r.service.witnesses.MarkLoaded()
	}
}

// triggerGrants compares the grants with their targets soon.
func (s *Service) triggerGrants() {
	for _, g := range s.grantWriters {
		g.pacer.trigger()
	}
}

// Apply implements follower.Handler. If another gateway lacks tokens, this one
// adjusts its own grant immediately with a probability that makes the expected number
// of gateways that do so equal to responders.
func (r *reportWriter) Apply(records []record.Record, _ int64) {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.witnesses.RecordRead(now)
	for _, rec := range records {
		workspace, instance, found := strings.Cut(rec.Key, keySeparator)
		report, err := prepaid.ParseReport(rec.Value)
		decoded := err == nil && found
		if instance == s.instance {
			// Without its report the spending of an earlier process of this instance is unknown.
			s.markDecoded(workspace, recordID{s.topics.Reports, rec.Key}, decoded)
		}
		if !decoded {
			s.log.Error("cannot decode report", "key", rec.Key, "offset", rec.Offset, "error", err)
			continue
		}
		if instance == s.instance && report.Incarnation == s.incarnation && s.incarnation != 0 {
			continue
		}
		if isVoid(report.Era, s.accounts[workspace].Reports[instance].Era) {
			continue
		}
		r.others.Record(now, instance)
		if s.witnesses.Record(instance, report) && s.witnesses.Awaited() {
			s.triggerGrants()
		}
		s.accounts[workspace] = s.accounts[workspace].WithReport(instance, report)
		if b, exists := s.budgets[workspace]; exists {
			delete(b.observed, instance)
		}
		s.latestWallTime = max(s.latestWallTime, report.SentAt.Wall)
		if report.Shortfall > 0 && rand.Float64() < responders/float64(r.others.Len()) {
			s.grantWriter(workspace).pacer.trigger()
		}
	}
}

// SetReachable implements follower.Handler.
func (r *reportWriter) SetReachable(ok bool) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if ok && !r.reachable {
		r.service.witnesses.RecordOutage()
	}
	if ok {
		r.others.RecordRead(time.Now().Add(-r.follower.Age()))
	} else {
		r.others.RecordUnreadable()
	}
	r.reachable = ok
}
