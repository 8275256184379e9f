// Package evacuation decides to which failure domains nothing may be sent: those that operators have evacuated and
// that were not released since, as far as a gateway knows from the store and from its peers.
package evacuation

import (
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/record"
)

// SettleTime is how long an evacuation stays in force that the store lost when it returned from a copy. Operators
// write again within that time what was lost, so that until then a missing record proves no withdrawal.
const SettleTime = 8 * time.Second

// firstEra is the era of a store that has never returned from a copy. Such a store may also name none.
const firstEra = 1

// Change is a record of the operators about one failure domain.
type Change struct {
	Domain string
	// Evacuated is whether the record evacuates the failure domain. Otherwise it withdraws that.
	Evacuated bool
	Offset    int64
}

// Snapshot is what a gateway tells its peers.
type Snapshot struct {
	// Era and Next are the position up to which the operators' topic was read.
	Era     int64    `json:"era,omitempty"`
	Next    int64    `json:"next"`
	Domains []Domain `json:"domains,omitempty"`
}

// Domain is an evacuated failure domain.
type Domain struct {
	Name string `json:"name"`
	// Left is how long the evacuation stays in force if its record doesn't appear again. It is 0 if the store has
	// the record.
	Left time.Duration `json:"leftNs,omitempty"`
}

func (s Snapshot) position() record.Position { return record.Position{Era: s.Era, Next: s.Next} }

// State is what a gateway knows of evacuations. All times are from the caller's clock.
type State struct {
	loaded bool
	// position is how far the operators' topic was read, by this gateway or a peer.
	position record.Position
	// domains are the evacuated failure domains. The value is the end of an evacuation that the store has lost, or
	// the zero value.
	domains map[string]time.Time
	// withdrawn are the failure domains whose withdrawal was read in the present era.
	withdrawn map[string]bool
	// joinedUntil is the time until which peers may know evacuations that the store has lost before this process
	// read anything, or the zero value if this process has observed the beginning of the era.
	joinedUntil time.Time
}

// New returns a state without evacuations, to which no record has been applied.
func New() *State { return &State{domains: map[string]time.Time{}, withdrawn: map[string]bool{}} }

// Reset replaces the evacuations by those of all records that the store has, read up to the position. It has no
// effect if a peer has read further. If the store returned from a copy, evacuations that it lost stay in force for
// the SettleTime.
func (s *State) Reset(now time.Time, changes []Change, at record.Position) {
	// Without eras, a lower offset may also mean that the store has returned from a copy.
	withoutEras := at.Era == 0 && s.position.Era == 0
	regressed := at.Before(s.position)
	if regressed && !withoutEras {
		return
	}
	restored := s.loaded && (regressed || at.Era > s.position.Era)
	before := s.domains
	s.domains = map[string]time.Time{}
	for _, c := range changes {
		if c.Evacuated {
			s.domains[c.Domain] = time.Time{}
		}
	}
	for domain, until := range before {
		ended := !until.IsZero() && !until.After(now)
		if restored && !ended {
			until = now.Add(SettleTime)
		}
		s.keep(now, domain, until)
	}
	switch {
	case restored:
		s.joinedUntil = time.Time{}
		clear(s.withdrawn)
	case !s.loaded:
		s.joinedUntil = now.Add(SettleTime)
	}
	s.loaded, s.position = true, at
}

// keep keeps the failure domain evacuated until the time, if that is later than now and than what is known.
func (s *State) keep(now time.Time, domain string, until time.Time) {
	known, evacuated := s.domains[domain]
	if !until.After(now) || (evacuated && (known.IsZero() || known.After(until))) {
		return
	}
	s.domains[domain] = until
}

// Apply applies records that follow those of the last Reset, read up to the position. Records that a peer has read
// before have no effect.
func (s *State) Apply(changes []Change, at record.Position) {
	for _, c := range changes {
		if (record.Position{Era: at.Era, Next: c.Offset}).Before(s.position) {
			continue
		}
		if c.Evacuated {
			s.domains[c.Domain] = time.Time{}
			delete(s.withdrawn, c.Domain)
			continue
		}
		delete(s.domains, c.Domain)
		s.withdrawn[c.Domain] = true
	}
	if s.position.Before(at) {
		s.position = at
	}
}

// Merge applies the snapshot of a peer. If the peer hasn't read further, it is asked only for what the store had lost
// before this process started: what the peer still keeps in this era, or knew in an earlier one.
func (s *State) Merge(now time.Time, peer Snapshot) {
	at := peer.position()
	if !s.loaded || s.position.Before(at) {
		var changes []Change
		for _, d := range peer.Domains {
			if d.Left == 0 {
				changes = append(changes, Change{Domain: d.Name, Evacuated: true})
			}
		}
		s.Reset(now, changes, at)
		for _, d := range peer.Domains {
			s.keep(now, d.Name, now.Add(min(d.Left, SettleTime)))
		}
		return
	}
	for _, d := range peer.Domains {
		until := s.joinedUntil
		if left := now.Add(d.Left); at.Era == s.position.Era && left.Before(until) {
			until = left
		}
		if !s.withdrawn[d.Name] {
			s.keep(now, d.Name, until)
		}
	}
}

// Joining reports whether peers may know evacuations that the store has lost before this process read anything. In its
// first era it has lost nothing.
func (s *State) Joining(now time.Time) bool {
	return s.loaded && s.position.Era > firstEra && now.Before(s.joinedUntil)
}

// Domains returns the names of the evacuated failure domains, sorted.
func (s *State) Domains(now time.Time) []string {
	var names []string
	for name, until := range s.domains {
		if until.IsZero() || until.After(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Snapshot returns what peers may learn, or nil if nothing was read yet.
func (s *State) Snapshot(now time.Time) *Snapshot {
	if !s.loaded {
		return nil
	}
	snapshot := &Snapshot{Era: s.position.Era, Next: s.position.Next}
	for _, name := range s.Domains(now) {
		d := Domain{Name: name}
		if until := s.domains[name]; !until.IsZero() {
			d.Left = until.Sub(now)
		}
		snapshot.Domains = append(snapshot.Domains, d)
	}
	return snapshot
}
