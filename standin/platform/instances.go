package platform

import (
	"slices"
	"time"

	"github.com/crocusline/crocusline/modules/platform"
)

// snapshot is the list of instances that is valid from a time on.
type snapshot struct {
	validFrom time.Time
	list      []platform.Instance
}

// SetInstances replaces the list of instances. The change becomes visible to
// clients after Faults.InstanceLag.
func (s *Store) SetInstances(list []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstances(slices.Clone(list))
}

// PutInstance adds an instance to the list, or replaces the one with the same
// name.
func (s *Store) PutInstance(instance platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.listWithout(instance.Name)
	s.setInstances(append(list, instance))
}

// RemoveInstance removes an instance from the list.
func (s *Store) RemoveInstance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstances(s.listWithout(name))
}

// Instances returns the list as of Faults.InstanceLag ago.
func (s *Store) Instances() []platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.now().Add(-time.Duration(s.faults.InstanceLag))
	for _, snap := range slices.Backward(s.instances) {
		if !snap.validFrom.After(limit) {
			return slices.Clone(snap.list)
		}
	}
	return nil
}

// maxSnapshots is the maximum length of the history of the list of instances.
const maxSnapshots = 10_000

func (s *Store) setInstances(list []platform.Instance) {
	s.instances = append(s.instances, snapshot{validFrom: s.now(), list: list})
	if len(s.instances) > maxSnapshots {
		s.instances = s.instances[1:]
	}
}

// listWithout returns a copy of the latest list without the named instance.
func (s *Store) listWithout(name string) []platform.Instance {
	if len(s.instances) == 0 {
		return nil
	}
	list := slices.Clone(s.instances[len(s.instances)-1].list)
	return slices.DeleteFunc(list, func(i platform.Instance) bool { return i.Name == name })
}
