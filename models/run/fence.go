package run

import "time"

// FenceEntry refuses all later requests of an entry incarnation and cuts its
// relays. settled says that no hold of the entry can be charged by this sidecar
// any more: each is either in its shard's stream or will never be used.
func (b *Tracker) FenceEntry(now time.Time, entry string) (settled bool, actions []Action) {
	b.fenced[entry] = true
	settled = true
	for _, rec := range b.runs {
		actions = append(actions, b.cutRelays(now, rec, func(r *relay) bool { return r.hold.Holder == entry })...)
		if rec.payer.hold.Holder == entry && rec.chargeable() {
			settled = false
		}
	}
	for _, p := range b.unsettled {
		if p.hold.Holder == entry {
			settled = false
		}
	}
	return settled, actions
}

// cutRelays ends the fenced relays that are not being sent the last frame.
// Non-idempotent work is charged in any case, so its relays may go on.
func (b *Tracker) cutRelays(now time.Time, rec *record, isFenced func(*relay) bool) []Action {
	if !rec.request.Idempotent {
		return nil
	}
	var actions []Action
	for id, r := range rec.relays {
		if isFenced(r) && !r.handing {
			delete(rec.relays, id)
			delete(b.relays, id)
			actions = append(actions, Disconnect{Subscription: id})
		}
	}
	if len(actions) > 0 && len(rec.relays) == 0 && !rec.done() {
		rec.interrupted = now
	}
	return actions
}

// Expire cancels the runs and forgets the answers whose time is over.
func (b *Tracker) Expire(now time.Time) []Action {
	actions := b.evicted
	b.evicted = nil
	for _, rec := range b.runs {
		at := rec.expiry(b.limits)
		if at.IsZero() || now.Before(at) {
			continue
		}
		actions = append(actions, b.expireRun(now, rec))
	}
	return actions
}

func (b *Tracker) expireRun(now time.Time, rec *record) Action {
	if rec.done() {
		b.forget(rec)
		return Discard{Run: rec.id}
	}
	cancel := Cancel{
		Run:     rec.id,
		Expired: !rec.deadline.IsZero() && !now.Before(rec.deadline),
		Started: rec.started,
	}
	b.open--
	if !rec.request.Idempotent {
		b.attempts.add(now, rec.request.attemptID(), Fenced)
	}
	b.drop(rec)
	return cancel
}

// evict makes room for one more answer among the settled ones that nobody
// reads. It returns false when there is none.
func (b *Tracker) evict() bool {
	for b.kept >= b.limits.MaxAnswers || b.keptBytes >= b.limits.MaxAnswerBytes {
		oldest := b.oldestSettled()
		if oldest == nil {
			return false
		}
		b.forget(oldest)
		b.evicted = append(b.evicted, Discard{Run: oldest.id})
	}
	return true
}

func (b *Tracker) oldestSettled() *record {
	var oldest *record
	for _, rec := range b.runs {
		if !rec.done() || rec.needed() {
			continue
		}
		if oldest == nil || rec.finished.Before(oldest.finished) {
			oldest = rec
		}
	}
	return oldest
}

func (b *Tracker) forget(rec *record) {
	b.kept--
	b.keptBytes -= rec.result.MemoryBytes
	b.drop(rec)
}

// drop removes a run, its relays and its names.
func (b *Tracker) drop(rec *record) {
	delete(b.runs, rec.id)
	delete(b.byID, rec.request.identity())
	for _, id := range rec.requestIDs {
		delete(b.byRequest, id)
	}
	for id := range rec.relays {
		delete(b.relays, id)
	}
}
