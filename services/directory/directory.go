// Package directory lists the gateways of the fleet. Each gateway registers itself in
// the platform's store when it starts, and removes its entry when it ends in order. The
// entry of one that was killed stays, as nobody can prove that it is not merely
// disconnected.
package directory

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/gateway"
	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/services/follower"
)

// Name is the service's name.
const Name = "directory"

const (
	// pollTimeout is how long the store may hold a read open. Entries change seldom, and
	// nothing depends on how soon a change is known.
	pollTimeout = 5 * time.Second
	// registerInterval is the time between two attempts to register.
	registerInterval = 300 * time.Millisecond
	// DefaultRemoveTimeout bounds the removal of the entry at shutdown.
	DefaultRemoveTimeout = 300 * time.Millisecond
	// releaseKey is the key of the fleet's release. It can't be the name of an instance.
	releaseKey = "\x1frelease"
)

// Store is the platform's store of records.
type Store interface {
	follower.Log
	// Append performs a write if its condition holds.
	Append(ctx context.Context, w record.Write) error
}

// Service is the directory.
type Service struct {
	log      hclog.Logger
	store    Store
	topic    string
	instance string
	self     gateway.Member
	follower *follower.Follower
	// removeTimeout bounds the removal of the entry at shutdown.
	removeTimeout time.Duration

	mu       sync.Mutex
	registry *gateway.Registry
	count    gateway.Count
	// loaded is set once the entries were read, and restored if grants of others may have
	// been unknown then.
	loaded   bool
	restored bool
	// stated is the era in which this gateway has stated its grants.
	stated int64
	// released is the fleet's latest release, and known the latest that this gateway knows
	// to be true.
	released gateway.Release
	known    gateway.Release
	// unregistered is signalled when the entry of this gateway or the release is missing.
	unregistered chan struct{}

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Option configures a Service.
type Option func(*Service)

// WithStart sets the clock of the machine at the start of the process.
func WithStart(c prepaid.ClockReading) Option { return func(s *Service) { s.self.Start = c } }

// WithAddress sets where other gateways call this one, and its failure domain.
func WithAddress(address netip.AddrPort, domain string) Option {
	return func(s *Service) {
		s.self.FailureDomain = domain
		if address.IsValid() {
			s.self.Address = address.String()
		}
	}
}

// WithRemoveTimeout sets how long the removal of the entry may take at shutdown. 0 keeps the default.
func WithRemoveTimeout(d time.Duration) Option {
	return func(s *Service) { s.removeTimeout = cmp.Or(d, s.removeTimeout) }
}

// New returns the directory of a gateway with the capacity in thousandths of a core.
func New(log hclog.Logger, store Store, topic, instance string, capacity int64, opts ...Option) *Service {
	s := &Service{
		log: log.Named(Name), store: store, topic: topic, instance: instance,
		self:     gateway.Member{Capacity: capacity},
		registry: gateway.NewRegistry(instance), unregistered: make(chan struct{}, 1),
		removeTimeout: DefaultRemoveTimeout,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.follower = follower.New(s.log, store, s.partition(), s, follower.WithPace(func() follower.Pace {
		return follower.Pace{MinInterval: follower.DefaultMinInterval, PollTimeout: pollTimeout}
	}))
	return s
}

func (s *Service) partition() record.Partition { return record.Partition{Topic: s.topic} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.follower.Start(ctx)
	s.running.Go(func() { s.register(ctx) })
	return nil
}

// Close implements kernel.Service. It removes the entry if the store is reachable, unless the
// entry says that grants are unknown.
func (s *Service) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.running.Wait()
	err := s.follower.Close()
	if !s.removable() {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.removeTimeout)
	defer cancel()
	if removeErr := s.write(ctx, []record.Record{{Key: s.instance}}); removeErr != nil {
		s.log.Warn("entry not removed", "instance", s.instance, "error", removeErr)
	}
	return err
}

// removable reports whether the entry of this gateway may be removed, and logs why not.
func (s *Service) removable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.registry.Era()
	if s.self.Removable(era, max(s.released.Era, s.known.Era)) {
		return true
	}
	s.log.Warn("entry kept, as grants of the instance are unknown", "instance", s.instance, "era", era,
		"startedIn", s.self.Era, "statedIn", s.self.StatedEra)
	return false
}

// Members returns the gateways that are registered, by instance, with this one.
func (s *Service) Members() map[string]gateway.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := maps.Clone(s.registry.Members())
	members[s.instance] = s.self
	return members
}

// Count returns the largest number of gateways that was observed.
func (s *Service) Count() gateway.Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// AllStated reports whether the grants of all gateways are known in the store's era, by what
// this process has observed since the era began.
func (s *Service) AllStated(era int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.AllStated(era, s.self)
}

// Restored reports whether the store had returned from a copy between the start of another
// gateway and the start of this one.
func (s *Service) Restored() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restored
}

// Ready reports whether the entries were loaded.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// StateEra records that the process has stated all its grants in the store's era. The other
// gateways read this once all that were known before the era have registered again.
func (s *Service) StateEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stated = era
	s.checkEntry()
}

// checkEntry updates the entry of this gateway, and requests that it and the release are
// written if they are missing in the store or differ.
func (s *Service) checkEntry() {
	if s.registry.Era() == s.stated && s.registry.MayState() {
		s.self.StatedEra = s.stated
	}
	if s.registry.Members()[s.instance] != s.self || s.released.Era < s.known.Era {
		s.requestRegistration()
	}
}

// ReleasedEra returns the latest era of the store of which a gateway has recorded that the
// grants of all are known in it.
func (s *Service) ReleasedEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.released.Era, s.known.Era)
}

// Release records that the grants of all gateways are known in the store's era.
func (s *Service) Release(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known.Era < era {
		s.known.Era = era
		s.registry.Release(era)
		s.checkEntry()
	}
}

// register writes the entry of this gateway, or the release, whenever it is missing.
func (s *Service) register(ctx context.Context) {
	for {
		select {
		case <-s.unregistered:
		case <-ctx.Done():
			return
		}
		records, err := s.missing()
		if err != nil {
			s.log.Error("cannot encode entry", "instance", s.instance, "error", err)
			return
		}
		if err := s.write(ctx, records); err != nil {
			s.log.Debug("not registered", "instance", s.instance, "error", err)
			s.requestRegistration()
		}
		if !delay.Wait(ctx, registerInterval) {
			return
		}
	}
}

// missing returns the records that this gateway should write.
func (s *Service) missing() ([]record.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, err := s.self.Encode()
	if err != nil {
		return nil, err
	}
	records := []record.Record{{Key: s.instance, Value: entry}}
	if s.released.Era < s.known.Era {
		release, err := s.known.Encode()
		if err != nil {
			return nil, err
		}
		records = append(records, record.Record{Key: releaseKey, Value: release})
	}
	return records, nil
}

func (s *Service) requestRegistration() {
	select {
	case s.unregistered <- struct{}{}:
	default:
	}
}

func (s *Service) write(ctx context.Context, records []record.Record) error {
	return s.store.Append(ctx, record.Write{Partition: s.partition(), Records: records})
}

// Reset implements follower.Handler.
func (s *Service) Reset(records []record.Record, _ int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := map[string]gateway.Member{}
	s.released = gateway.Release{}
	for _, r := range records {
		if m, ok := s.decode(r); ok {
			members[r.Key] = m
		}
	}
	s.registry.Load(time.Now(), s.follower.Era(), members)
	if !s.loaded {
		s.loaded = true
		s.enterFirstEra()
	}
	s.recordChange()
}

// enterFirstEra is called when the entries of the era in which the process started were read.
func (s *Service) enterFirstEra() {
	era := s.registry.Era()
	s.restored = s.registry.Restored()
	s.self.Era, s.self.Restored = era, s.restored && s.released.Era != era
	if s.registry.Members()[s.instance].StatedEra == era {
		// What the predecessor stated in this era is in the store.
		s.self.StatedEra = era
	}
}

// Apply implements follower.Handler.
func (s *Service) Apply(records []record.Record, _ int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if r.Value == nil {
			s.registry.Remove(time.Now(), r.Key)
		} else if m, ok := s.decode(r); ok {
			s.registry.Put(r.Key, m)
		}
	}
	s.recordChange()
}

// recordChange is called when entries were read.
func (s *Service) recordChange() {
	s.count = s.count.Observe(len(s.registry.Members()))
	s.checkEntry()
}

// decode returns the entry of a record. It returns false for the release, which it records, and
// for records without a readable entry.
func (s *Service) decode(r record.Record) (gateway.Member, bool) {
	var m gateway.Member
	var release gateway.Release
	var err error
	switch {
	case r.Value == nil:
		return m, false
	case r.Key == releaseKey:
		release, err = gateway.ParseRelease(r.Value)
		s.released.Era = max(s.released.Era, release.Era)
		s.registry.Release(release.Era)
	default:
		m, err = gateway.ParseMember(r.Value)
	}
	if err != nil {
		s.log.Error("cannot decode entry", "instance", r.Key, "offset", r.Offset, "error", err)
	}
	return m, err == nil && r.Key != releaseKey
}

// SetReachable implements follower.Handler.
func (s *Service) SetReachable(bool) {}
