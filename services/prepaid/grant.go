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
	// grantInterval is how often grants are compared with what they should be.
	grantInterval = 400 * time.Millisecond
	// staleAfter is the age of what was read at which the store is probably lost.
	staleAfter = 900 * time.Millisecond
	// keySeparator stands between workspace and instance in the key of a record.
	keySeparator = "\x1f"
)

func recordKey(workspace, instance string) string { return workspace + keySeparator + instance }

// granter writes the grants of the workspaces of one partition.
type granter struct {
	service  *Service
	number   int
	follower *follower.Follower
	pacer    *pacer
	// next is the offset up to which the partition was read. The service's lock
	// guards it.
	next  int64
	known bool
}

func newGranter(s *Service, number int) *granter {
	g := &granter{service: s, number: number, pacer: newPacer()}
	g.follower = follower.New(s.log, s.store, g.partition(), g, follower.WithMinInterval(grantPace))
	return g
}

func (g *granter) partition() record.Partition {
	return record.Partition{Topic: g.service.topics.Grants, Number: g.number}
}

// run compares the grants with what they should be, from time to time and when
// tokens are lacking.
func (g *granter) run(ctx context.Context) {
	for g.pacer.wait(ctx, grantInterval) {
		if g.follower.Reachable() && g.follower.Age() < staleAfter {
			g.write(ctx)
		}
	}
}

// write makes one conditional write of the grants that should change.
func (g *granter) write(ctx context.Context) {
	records, at := g.plan(time.Now())
	if len(records) == 0 {
		return
	}
	err := g.service.store.Append(ctx, record.Write{Partition: g.partition(), Condition: record.ExpectedEnd(at), Records: records})
	var conflict *record.ConflictError
	var refused *record.RefusedError
	log := g.service.log
	switch {
	case err == nil:
		g.wrote(records, at)
	case errors.As(err, &conflict):
		// Others wrote first; what they wrote is read before the next try.
		log.Debug("grant conflicted", "partition", g.number, "at", at, "end", conflict.End)
		g.follower.TriggerRead()
	case errors.As(err, &refused):
		log.Warn("grant refused", "partition", g.number, "at", at, "error", err)
	default:
		// The write may still take effect. Until the partition was read beyond the
		// offset, the smaller of the old and the new grants bind.
		log.Warn("grant outcome unknown", "partition", g.number, "at", at, "error", err)
	}
}

// plan returns the records to write and the offset at which they may be.
func (g *granter) plan(now time.Time) ([]record.Record, int64) {
	s := g.service
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.tables.Table()
	if table == nil || !s.known() {
		return nil, 0
	}
	clock := s.clock()
	var records []record.Record
	for _, w := range g.workspaces(table) {
		if s.broken[w.Name] {
			continue
		}
		grant, changed := s.planner.Grant(s.accounts[w.Name], w.Prepaid, s.holder(w, now, clock))
		if !changed {
			continue
		}
		rec, err := s.record(w, grant)
		if err != nil {
			s.log.Error("grant not encoded", "workspace", w.Name, "error", err)
			continue
		}
		s.purse(w, now).BeginGrantWrite(grant.Sequence, g.next, grant.Total)
		records = append(records, rec)
	}
	return records, g.next
}

// encoder is a grant or a report.
type encoder interface{ Encode() ([]byte, error) }

// record returns this entry's record of the workspace.
func (s *Service) record(w route.Workspace, e encoder) (record.Record, error) {
	value, err := e.Encode()
	return record.Record{Key: recordKey(w.Name, s.instance), Value: value}, err
}

// workspaces returns those of the partition that have a prepaid total, by name.
func (g *granter) workspaces(t *route.Table) []route.Workspace {
	var all []route.Workspace
	for _, w := range t.Workspaces {
		if w.Limited && g.service.granter(w.Name) == g {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b route.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// wrote applies a write of this entry's own that was acknowledged at the offset.
func (g *granter) wrote(records []record.Record, at int64) {
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

// apply takes records that begin where the known ones end.
func (g *granter) apply(records []record.Record, next int64) {
	for _, r := range records {
		if r.Offset >= g.next && r.Value != nil {
			g.applyGrant(r)
		}
	}
	if next <= g.next {
		return
	}
	g.next = next
	for workspace, p := range g.service.purses {
		if g.service.granter(workspace) == g {
			p.DropGrantWritesBefore(next)
		}
	}
	g.service.notify()
}

func (g *granter) applyGrant(r record.Record) {
	s := g.service
	workspace, instance, found := strings.Cut(r.Key, keySeparator)
	grant, err := prepaid.ParseGrant(r.Value)
	if err != nil || !found {
		// Nobody may hand out tokens while it is not known what was granted.
		s.log.Error("grant not readable", "key", r.Key, "offset", r.Offset, "error", err)
		s.broken[workspace] = true
		return
	}
	delete(s.broken, workspace)
	s.accounts[workspace] = s.accounts[workspace].WithGrant(instance, grant)
	if p, known := s.purses[workspace]; known && instance == s.instance && grant.Incarnation == s.incarnation {
		p.ConfirmGrant(grant)
		s.reporter.pacer.urge()
		s.log.Debug("grant read", "workspace", workspace, "total", grant.Total, "closed", grant.PriorSpent, "offset", r.Offset)
	}
}

// giveBack writes until the grants are what was spent.
func (g *granter) giveBack(ctx context.Context) {
	for g.follower.Reachable() && ctx.Err() == nil {
		g.service.mu.Lock()
		kept, changed := g.kept(), g.service.changed
		g.service.mu.Unlock()
		if kept == 0 {
			return
		}
		g.write(ctx)
		await(ctx, changed, urgentInterval)
	}
	g.service.log.Warn("tokens not returned", "partition", g.number, "reachable", g.follower.Reachable())
}

// kept is the number of tokens that this entry holds and does not use.
func (g *granter) kept() int64 {
	s := g.service
	var sum int64
	for workspace, p := range s.purses {
		grant, held := s.accounts[workspace].Grants[s.instance]
		if held && grant.Incarnation == s.incarnation && s.granter(workspace) == g {
			sum += p.GrantRemaining()
		}
	}
	return sum
}

// Reset implements follower.Handler.
func (g *granter) Reset(records []record.Record, next int64) {
	g.service.mu.Lock()
	defer g.service.mu.Unlock()
	g.next = 0
	g.apply(records, next)
	g.known = true
}

// Apply implements follower.Handler.
func (g *granter) Apply(records []record.Record, next int64) {
	g.service.mu.Lock()
	defer g.service.mu.Unlock()
	g.apply(records, next)
}

// SetReachable implements follower.Handler.
func (g *granter) SetReachable(bool) {}
