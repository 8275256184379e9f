package gateway

import (
	"maps"
	"time"
)

// maxCopyAge is the age of a copy from which the store returns at the most. The operators'
// copies are some seconds old.
const maxCopyAge = 10 * time.Second

// Registry is one gateway's view of the members of the fleet, and of the instances whose grants
// are unknown since the store returned from a copy. Grants that the store lost are known again
// only by the word of the process that had them. An entry that is missing says nothing: the copy
// may be older than the entry, its removal may be executed late, and a process may end before it
// has stated what its predecessor had. The load that it answers are planned stops, kills and late
// writes around a return of the store.
type Registry struct {
	self    string
	members map[string]Member
	loaded  bool
	era     int64
	// released is the latest era in which all grants are known by a release.
	released int64
	// began is whether the process has observed the beginning of the era.
	began bool
	// departed has the instances that were removed, with the time.
	departed map[string]time.Time
	// unknown are the instances other than this one that have been members, are not now, and
	// have not stated their grants in the era.
	unknown map[string]bool
}

// NewRegistry returns a registry of the instance without members.
func NewRegistry(self string) *Registry {
	return &Registry{self: self, members: map[string]Member{}, departed: map[string]time.Time{}, unknown: map[string]bool{}}
}

// Members returns the members by instance.
func (r *Registry) Members() map[string]Member { return r.members }

// Era returns the store's era of the last snapshot.
func (r *Registry) Era() int64 { return r.era }

// Load replaces the members by those of a snapshot of the store in the era.
func (r *Registry) Load(now time.Time, era int64, members map[string]Member) {
	before := r.members
	r.members = maps.Clone(members)
	switch {
	case !r.loaded:
		r.loaded, r.era = true, era
	case era != r.era:
		r.beginEra(now, era, before)
	default:
		for instance, m := range before {
			if _, exists := members[instance]; !exists {
				r.recordDeparture(now, instance, m)
			}
		}
	}
	for instance := range members {
		r.recordEntry(instance)
	}
	// The release may have been read before the entries.
	r.Release(r.released)
}

// beginEra records the instances that the store lost when it returned from a copy: those that
// were members, and those that left so short a time ago that the copy may be from before they
// had come.
func (r *Registry) beginEra(now time.Time, era int64, before map[string]Member) {
	r.era, r.began = era, true
	for instance := range before {
		r.unknown[instance] = true
	}
	for instance, left := range r.departed {
		if now.Sub(left) <= maxCopyAge {
			r.unknown[instance] = true
		}
	}
	delete(r.unknown, r.self)
}

// Put records an instance's entry.
func (r *Registry) Put(instance string, m Member) {
	r.members[instance] = m
	r.recordEntry(instance)
}

// recordEntry records that the instance is a member, which speaks for itself.
func (r *Registry) recordEntry(instance string) {
	delete(r.departed, instance)
	delete(r.unknown, instance)
}

// Remove records that an instance's entry was removed.
func (r *Registry) Remove(now time.Time, instance string) {
	if m, exists := r.members[instance]; exists {
		delete(r.members, instance)
		r.recordDeparture(now, instance, m)
	}
}

func (r *Registry) recordDeparture(now time.Time, instance string, last Member) {
	r.departed[instance] = now
	if r.began && !last.Removable(r.era, r.released) && instance != r.self {
		r.unknown[instance] = true
	}
}

// Release records that the grants of all are known in the era.
func (r *Registry) Release(era int64) {
	r.released = max(r.released, era)
	if era == r.era {
		clear(r.unknown)
	}
}

// MayState reports whether the process may state that nothing that it knows of is unknown in the
// era.
func (r *Registry) MayState() bool { return len(r.unknown) == 0 }

// AllStated reports whether the grants of all gateways are known in the store's era; own is the
// entry of this one. Only a process that has observed the era from its beginning can tell: to
// others, an instance that has left without a statement looks like one that never was.
func (r *Registry) AllStated(era int64, own Member) bool {
	if !r.began || r.era != era || !r.MayState() || own.StatedEra != era {
		return false
	}
	members := maps.Clone(r.members)
	members[r.self] = own
	return AllStated(members, era)
}

// Restored reports whether a process that starts with these members and the era can lack grants
// of others: the store has returned from a copy since one of them started, or one of them lacks
// them.
func (r *Registry) Restored() bool {
	for _, m := range r.members {
		if m.Era < r.era || m.Restored {
			return true
		}
	}
	return false
}

// Removable reports whether the entry of a process that ends may be removed in the era, in whose
// last release is that of the era released. An entry that says that the grants of its instance
// are unknown is evidence, and stays for the next process of the instance.
func (m Member) Removable(era, released int64) bool {
	lived := !m.Restored && m.Era == era
	return lived || m.StatedEra == era || released == era
}
