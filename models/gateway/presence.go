package gateway

import (
	"iter"
	"maps"
	"time"
)

// maxReadInterval is the longest time between the states of two reads in which the absence of records counts.
// All gateways read more often what others write.
const maxReadInterval = 1500 * time.Millisecond

// Presence is one gateway's view of which others still write to the store. Silence counts only while this gateway
// reads: time without the store is no evidence, nor is time in which the process did not run, as all may have been
// stopped together. The loads that it answers are gateways that are killed, stopped, replaced or cut off.
type Presence struct {
	// seenAt is when each other gateway was last known to live.
	seenAt map[string]time.Time
	// unreadable is whether the store stopped responding, and readAt the time whose state was read last,
	// or the zero value.
	unreadable bool
	readAt     time.Time
}

// NewPresence returns a view without gateways.
func NewPresence() *Presence { return &Presence{seenAt: map[string]time.Time{}} }

// Len returns the number of gateways that were seen.
func (p *Presence) Len() int { return len(p.seenAt) }

// All returns the gateways that were seen.
func (p *Presence) All() iter.Seq[string] { return maps.Keys(p.seenAt) }

// Record records that a gateway was seen.
func (p *Presence) Record(now time.Time, instance string) { p.seenAt[instance] = now }

// Keep forgets all gateways but those, of which ones that were not known before count as seen.
func (p *Presence) Keep(now time.Time, instances []string) {
	current := make(map[string]time.Time, len(instances))
	for _, instance := range instances {
		seenAt, known := p.seenAt[instance]
		if !known {
			seenAt = now
		}
		current[instance] = seenAt
	}
	p.seenAt = current
}

// Known reports whether the gateway was seen.
func (p *Presence) Known(instance string) bool {
	_, known := p.seenAt[instance]
	return known
}

// Watch begins to wait for signs of life: all gateways count as seen at the time.
func (p *Presence) Watch(at time.Time) {
	for instance, seenAt := range p.seenAt {
		if at.After(seenAt) {
			p.seenAt[instance] = at
		}
	}
}

// RecordRead records that what the others wrote was read up to the time.
func (p *Presence) RecordRead(at time.Time) {
	if !p.readAt.IsZero() && (p.unreadable || at.Sub(p.readAt) > maxReadInterval) {
		p.Watch(at)
	}
	p.unreadable = false
	if at.After(p.readAt) {
		p.readAt = at
	}
}

// RecordUnreadable records that the store doesn't respond to reads.
func (p *Presence) RecordUnreadable() { p.unreadable = true }

// Silence returns for how long a gateway was silent when the store was read last, or 0 if it was never seen.
func (p *Presence) Silence(instance string) time.Duration {
	seenAt, known := p.seenAt[instance]
	if !known {
		return 0
	}
	return max(0, p.readAt.Sub(seenAt))
}

// Current reports whether this gateway knows which others write now.
func (p *Presence) Current(now time.Time) bool {
	return !p.unreadable && !p.readAt.IsZero() && now.Sub(p.readAt) <= maxReadInterval
}

// Silent reports whether a gateway has been silent for longer than the time.
func (p *Presence) Silent(now time.Time, instance string, limit time.Duration) bool {
	seenAt, known := p.seenAt[instance]
	return known && p.Current(now) && now.Sub(seenAt) > limit
}
