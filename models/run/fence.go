package run

import "time"

// FenceEntry refuses all further requests of an entry incarnation and ends its
// subscriptions. settled reports whether this sidecar can no longer charge a hold
// of the entry: each hold was charged in its shard's stream or will never be.
func (t *Tracker) FenceEntry(now time.Time, entry string) (settled bool, actions []Action) {
	t.fencedEntries[entry] = true
	settled = true
	for _, rec := range t.runs {
		actions = append(actions, t.disconnectFenced(now, rec, func(sub *subscription) bool { return sub.hold.Holder == entry })...)
		if rec.payer.hold.Holder == entry && rec.chargeable() {
			settled = false
		}
	}
	for _, p := range t.unsettled {
		if p.hold.Holder == entry {
			settled = false
		}
	}
	return settled, actions
}

// disconnectFenced ends the fenced subscriptions whose final frame was not
// prepared. Non-idempotent work is charged in any case, so its subscriptions
// continue.
func (t *Tracker) disconnectFenced(now time.Time, rec *record, isFenced func(*subscription) bool) []Action {
	if !rec.request.Idempotent {
		return nil
	}
	var actions []Action
	for id, sub := range rec.subscriptions {
		if isFenced(sub) && !sub.sendingFinalFrame {
			delete(rec.subscriptions, id)
			delete(t.subscriptions, id)
			actions = append(actions, Disconnect{Subscription: id})
		}
	}
	if len(actions) > 0 && len(rec.subscriptions) == 0 && !rec.done() {
		rec.unsubscribedAt = now
	}
	return actions
}

// Expire cancels the unfinished runs and discards the answers that have expired.
func (t *Tracker) Expire(now time.Time) []Action {
	actions := t.evictions
	t.evictions = nil
	for _, rec := range t.runs {
		at := rec.expiresAt(t.limits)
		if at.IsZero() || now.Before(at) {
			continue
		}
		actions = append(actions, t.expireRun(now, rec))
	}
	return actions
}

func (t *Tracker) expireRun(now time.Time, rec *record) Action {
	if rec.done() {
		t.discard(rec)
		return Discard{Run: rec.id}
	}
	cancel := Cancel{
		Run:     rec.id,
		Expired: !rec.deadline.IsZero() && !now.Before(rec.deadline),
		Started: rec.started,
	}
	t.open--
	if !rec.request.Idempotent {
		t.attempts.add(now, rec.request.attemptID(), Fenced)
	}
	t.remove(rec)
	return cancel
}

// evictForCapacity discards the oldest evictable answers until one more fits
// within the limits. It returns false when no further answer can be discarded.
func (t *Tracker) evictForCapacity() bool {
	for t.retained >= t.limits.MaxAnswers || t.retainedBytes >= t.limits.MaxAnswerBytes {
		oldest := t.oldestEvictable()
		if oldest == nil {
			return false
		}
		t.discard(oldest)
		t.evictions = append(t.evictions, Discard{Run: oldest.id})
	}
	return true
}

func (t *Tracker) oldestEvictable() *record {
	var oldest *record
	for _, rec := range t.runs {
		if !rec.done() || rec.mustRetain() {
			continue
		}
		if oldest == nil || rec.finishedAt.Before(oldest.finishedAt) {
			oldest = rec
		}
	}
	return oldest
}

func (t *Tracker) discard(rec *record) {
	t.retained--
	t.retainedBytes -= rec.result.MemoryBytes
	t.remove(rec)
}

// remove deletes a run with its subscriptions and index entries.
func (t *Tracker) remove(rec *record) {
	delete(t.runs, rec.id)
	delete(t.byIdentity, rec.request.identity())
	for _, id := range rec.requestIDs {
		delete(t.byRequestID, id)
	}
	for id := range rec.subscriptions {
		delete(t.subscriptions, id)
	}
}
