package prepaid

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/services/follower"
)

const (
	// grantInterval is the time between two comparisons of the grants with their targets, and
	// awaitingInterval while it may become known when the predecessor exited.
	grantInterval    = 400 * time.Millisecond
	awaitingInterval = 50 * time.Millisecond
	// staleAfter is the time without a successful read after which the store is assumed unreachable.
	staleAfter = 900 * time.Millisecond
	// keySeparator separates workspace and instance in record keys.
	keySeparator = "\x1f"
)

func recordKey(workspace, instance string) string { return workspace + keySeparator + instance }

// recordID identifies a grant or a report.
type recordID struct{ topic, key string }

// markDecoded records whether the latest grant or report with the id can be decoded. Only a later
// one with the same id makes up for one that can't.
func (s *Service) markDecoded(workspace string, id recordID, decoded bool) {
	switch {
	case decoded:
		delete(s.undecodable[workspace], id)
	case s.undecodable[workspace] == nil:
		s.undecodable[workspace] = map[recordID]bool{id: true}
	default:
		s.undecodable[workspace][id] = true
	}
}

// grantWriter writes the grants of the workspaces of one partition.
type grantWriter struct {
	service  *Service
	number   int
	follower *follower.Follower
	pacer    *pacer
	// next is the offset up to which the partition was read. The service's lock
	// guards it.
	next   int64
	loaded bool
	// era is the store's era of next. The service's lock guards it.
	era int64
	// conflicted is whether the last write conflicted with that of another gateway. The
	// service's lock guards it.
	conflicted bool
}

func newGrantWriter(s *Service, number int) *grantWriter {
	g := &grantWriter{service: s, number: number, pacer: newPacer()}
	g.follower = follower.New(s.log, s.store, g.partition(), g, follower.WithPace(s.grantReadPace))
	return g
}

func (g *grantWriter) partition() record.Partition {
	return record.Partition{Topic: g.service.topics.Grants, Number: g.number}
}

// run compares the grants with their targets, periodically and when a request lacks
// tokens.
func (g *grantWriter) run(ctx context.Context) {
	for g.pacer.wait(ctx, g.service.planInterval()) {
		if g.follower.Reachable() && g.follower.Silence() < staleAfter {
			g.write(ctx)
			g.service.stateEra()
		}
	}
}

// planInterval returns the time until the grants are compared with their targets again.
func (s *Service) planInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.witnesses.Awaited() {
		return grantInterval
	}
	if s.directory != nil {
		for instance, m := range s.directory.Members() {
			if m.Start != (prepaid.ClockReading{}) {
				s.witnesses.RecordStart(instance, m.Start)
			}
		}
	}
	return awaitingInterval
}

// write writes the grants that should change, in one conditional write.
func (g *grantWriter) write(ctx context.Context) {
	records, at, era := g.plan(time.Now())
	if len(records) == 0 {
		return
	}
	err := g.service.store.Append(ctx, record.Write{Partition: g.partition(), Condition: record.ExpectedEnd(at), Records: records, Era: era})
	var conflict *record.ConflictError
	var refused *record.RefusedError
	log := g.service.log
	switch {
	case err == nil:
		g.applyWritten(records, at)
	case errors.As(err, &conflict):
		// Another gateway wrote first. Its records are read before the next attempt.
		log.Debug("grant conflicted", "partition", g.number, "at", at, "end", conflict.End)
		g.service.mu.Lock()
		g.conflicted = true
		g.service.mu.Unlock()
		g.follower.TriggerRead()
	case errors.As(err, &refused):
		log.Warn("grant refused", "partition", g.number, "at", at, "error", err)
	default:
		// The write may still take effect. Until the partition was read beyond the
		// offset, the smaller of the old and the new grant applies.
		log.Warn("grant outcome unknown", "partition", g.number, "at", at, "error", err)
	}
}

// plan returns the records to write, the offset at which they must be written, and the era
// in which they were decided.
func (g *grantWriter) plan(now time.Time) (records []record.Record, at, era int64) {
	s := g.service
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.tables.Table()
	// The offset must be one of the current era.
	if table == nil || !s.loaded() || g.era != s.era {
		return nil, 0, 0
	}
	clock := s.clockReading()
	for _, w := range g.workspaces(table) {
		if len(s.undecodable[w.Name]) > 0 {
			continue
		}
		grant, changed := s.planner.Grant(s.accounts[w.Name], w.Prepaid, s.holderState(w, now, clock))
		if !changed {
			continue
		}
		rec, err := s.record(w, grant)
		if err != nil {
			s.log.Error("cannot encode grant", "workspace", w.Name, "error", err)
			continue
		}
		s.budget(w, now).BeginGrantWrite(grant.Sequence, g.next, grant.Total)
		records = append(records, rec)
	}
	return records, g.next, g.era
}

// encoder is implemented by grants and reports.
type encoder interface{ Encode() ([]byte, error) }

// record returns the record of a grant or report of this gateway on the workspace.
func (s *Service) record(w route.Workspace, e encoder) (record.Record, error) {
	value, err := e.Encode()
	return record.Record{Key: recordKey(w.Name, s.instance), Value: value}, err
}

// workspaces returns the workspaces of the partition that have a prepaid total, in the
// order of their names.
func (g *grantWriter) workspaces(t *route.Table) []route.Workspace {
	var all []route.Workspace
	for _, w := range t.Workspaces {
		if w.Limited && g.service.grantWriter(w.Name) == g {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b route.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// applyWritten applies this gateway's own write, which was acknowledged at the offset.
func (g *grantWriter) applyWritten(records []record.Record, at int64) {
	g.service.mu.Lock()
	defer g.service.mu.Unlock()
	if g.next != at {
		return
	}
	for i := range records {
		records[i].Offset = at + int64(i)
	}
	g.apply(records, at+int64(len(records)))
}

// apply applies the records from g.next on. The offset after the last one is next.
func (g *grantWriter) apply(records []record.Record, next int64) {
	for _, r := range records {
		if r.Offset >= g.next && r.Value != nil {
			g.applyGrant(r)
		}
	}
	if next <= g.next {
		return
	}
	g.next = next
	for workspace, b := range g.service.budgets {
		if g.service.grantWriter(workspace) == g {
			b.DropGrantWritesBefore(next)
		}
	}
	if g.conflicted {
		// The next attempt follows the read at once, before others write again.
		g.conflicted = false
		g.pacer.trigger()
	}
	g.service.notify()
}

func (g *grantWriter) applyGrant(r record.Record) {
	s := g.service
	workspace, instance, found := strings.Cut(r.Key, keySeparator)
	grant, err := prepaid.ParseGrant(r.Value)
	decoded := err == nil && found
	// No tokens may be granted while the sum of the grants is unknown.
	s.markDecoded(workspace, recordID{s.topics.Grants, r.Key}, decoded)
	if !decoded {
		s.log.Error("cannot decode grant", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	known := s.accounts[workspace].Grants[instance]
	if s.ownGrantOutdated(instance, grant, known) {
		known.Era = grant.Era
		s.accounts[workspace] = s.accounts[workspace].WithGrant(instance, known)
		return
	}
	if isVoid(grant.Era, known.Era) {
		s.log.Warn("grant of an earlier era ignored", "key", r.Key, "era", grant.Era, "known", known.Era, "offset", r.Offset)
		return
	}
	s.accounts[workspace] = s.accounts[workspace].WithGrant(instance, grant)
	if instance == s.instance && grant.Incarnation == s.incarnation && known.Incarnation != 0 && known.Incarnation != grant.Incarnation {
		s.recordClosed(workspace, known, grant)
	}
	if b, exists := s.budgets[workspace]; exists && instance == s.instance && grant.Incarnation == s.incarnation {
		b.ConfirmGrant(grant)
		s.reportWriter.pacer.trigger()
		s.log.Debug("grant read", "workspace", workspace, "total", grant.Total, "closed", grant.PriorSpent, "offset", r.Offset)
	}
}

// returnUnused repeats writing the grants until they equal what was spent.
func (g *grantWriter) returnUnused(ctx context.Context) {
	for g.follower.Reachable() && ctx.Err() == nil {
		g.service.mu.Lock()
		unused, changed := g.unused(), g.service.changed
		g.service.mu.Unlock()
		if unused == 0 {
			return
		}
		g.write(ctx)
		awaitChange(ctx, changed, minTriggerInterval)
	}
	g.service.log.Warn("tokens not returned", "partition", g.number, "reachable", g.follower.Reachable())
}

// unused returns the number of granted tokens that this gateway neither spent nor
// reserved.
func (g *grantWriter) unused() int64 {
	s := g.service
	var sum int64
	for workspace, b := range s.budgets {
		grant, exists := s.accounts[workspace].Grants[s.instance]
		if exists && grant.Incarnation == s.incarnation && s.grantWriter(workspace) == g {
			sum += b.GrantRemaining()
		}
	}
	return sum
}

// Reset implements follower.Handler.
func (g *grantWriter) Reset(records []record.Record, next int64) {
	g.service.mu.Lock()
	defer g.service.mu.Unlock()
	g.era = g.follower.Era()
	g.service.enterEra(g.era)
	g.next = 0
	g.apply(records, next)
	g.loaded = true
}

// Apply implements follower.Handler.
func (g *grantWriter) Apply(records []record.Record, next int64) {
	g.service.mu.Lock()
	defer g.service.mu.Unlock()
	g.apply(records, next)
}

// SetReachable implements follower.Handler.
func (g *grantWriter) SetReachable(bool) {}
