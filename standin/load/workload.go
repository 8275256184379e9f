// Package load runs a workload in virtual time against the decision code of
// entries and sidecars, with simulated engines, and measures latency, goodput and
// fairness as callers see them.
package load

import (
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/modules/setting"
)

// Workload describes the servers, arrivals and faults of a run. Runs of the same
// workload give the same result.
type Workload struct {
	// Base names a workload file in the same directory. Its values apply unless this
	// workload overrides them. Streams and faults of both are combined.
	Base string `yaml:"base"`
	Name string `yaml:"name" validate:"required"`
	Seed uint64 `yaml:"seed"`
	// Duration is the time for which requests arrive. Measures exclude WarmUp.
	Duration time.Duration `yaml:"duration" validate:"gt=0"`
	WarmUp   time.Duration `yaml:"warmUp" validate:"gte=0"`
	Entries  int           `yaml:"entries" validate:"gte=1"`
	// Domains are the failure domains, to which entries and servers are assigned in
	// turn.
	Domains []string `yaml:"failureDomains" validate:"min=1"`
	// Hop is the one-way latency between two processes.
	Hop time.Duration `yaml:"hop" validate:"gte=0"`
	// Detect is the time until an entry detects the loss of a server.
	Detect time.Duration `yaml:"detect" validate:"gte=0"`
	Policy Policy        `yaml:"policy"`
	// Workspaces gives each workspace's share of the arrivals, for streams without
	// shares of their own.
	Workspaces map[string]float64 `yaml:"workspaces"`
	Pools      []Pool             `yaml:"pools" validate:"min=1,dive"`
	Streams    []Stream           `yaml:"streams" validate:"dive"`
	Faults     []Fault            `yaml:"faults" validate:"dive"`
}

// Policy selects the decisions under test, or the baselines they are compared with.
type Policy struct {
	Placement placement.Policy `yaml:"placement"`
	Order     queue.Order      `yaml:"order"`
	// Prediction refuses requests at once that are predicted to miss their deadline.
	Prediction bool `yaml:"prediction"`
	// Preemption lets urgent requests preempt running requests of other ranks.
	Preemption bool `yaml:"preemption"`
	// Gate throttles requests at the entry during overload.
	Gate bool `yaml:"gate"`
	// RetryBudget limits retries to a share of the successful requests.
	RetryBudget bool    `yaml:"retryBudget"`
	NormalFloor float64 `yaml:"normalFloor" validate:"gte=0,lte=0.5"`
	BulkFloor   float64 `yaml:"bulkFloor" validate:"gte=0,lte=0.4"`
}

// DefaultPolicy returns the policy of crocusline's default settings.
func DefaultPolicy() Policy {
	return Policy{
		Prediction: true, Preemption: true, Gate: true, RetryBudget: true,
		NormalFloor: 0.2, BulkFloor: 0.05,
	}
}

// Pool is a group of identical servers. A plain service is a pool whose calls take
// one step and generate one token.
type Pool struct {
	Name    string `yaml:"name" validate:"required"`
	Servers int    `yaml:"servers" validate:"gte=1"`
	Slots   int    `yaml:"slots" validate:"gte=1"`
	// Step is the time between two tokens of a single running stream. Each running
	// stream adds StepPerStream to it.
	Step          time.Duration `yaml:"step" validate:"gt=0"`
	StepPerStream time.Duration `yaml:"stepPerStream" validate:"gte=0"`
	// PrefillStep is the maximum number of prompt tokens processed in a step. Each of
	// them adds PrefillTime to the step.
	PrefillStep int           `yaml:"prefillStep" validate:"gte=0"`
	PrefillTime time.Duration `yaml:"prefillTime" validate:"gte=0"`
	// CacheTokens is the capacity of a server's prefix cache.
	CacheTokens int `yaml:"cacheTokens" validate:"gte=0"`
	// LoadLag is the delay, in addition to Hop, after which an entry knows a server's
	// load.
	LoadLag time.Duration `yaml:"loadLag" validate:"gte=0"`
}

// fullStep is the time between two tokens with all slots in use.
func (p *Pool) fullStep() time.Duration {
	return p.Step + time.Duration(p.Slots)*p.StepPerStream
}

// Stream is a stream of arrivals.
type Stream struct {
	Kind       string    `yaml:"kind" validate:"required"`
	Pool       string    `yaml:"pool" validate:"required"`
	Rank       rank.Rank `yaml:"rank"`
	Idempotent bool      `yaml:"idempotent"`
	// Load is the mean arrival rate as a multiple of the pool's throughput without a
	// prefix cache.
	Load float64 `yaml:"load" validate:"gt=0"`
	// Workspaces gives each workspace's share of the arrivals.
	Workspaces map[string]float64 `yaml:"workspaces"`
	From       time.Duration      `yaml:"from" validate:"gte=0"`
	Until      time.Duration      `yaml:"until" validate:"gte=0"`
	Deadline   time.Duration      `yaml:"deadline" validate:"gte=0"`
	// Returns is how often a refused request is submitted again after its
	// retry-after time.
	Returns int `yaml:"returns" validate:"gte=0"`
	// Prefixes is the number of shared prompt prefixes, each PrefixTokens long, with
	// the first one the most frequent. Each prompt has TailTokens after its prefix.
	Prefixes     int `yaml:"prefixes" validate:"gte=0"`
	PrefixTokens int `yaml:"prefixTokens" validate:"gte=0"`
	TailTokens   int `yaml:"tailTokens" validate:"gte=0"`
	// MinOutput and MaxOutput are the bounds of the response length in tokens.
	MinOutput int `yaml:"minOutput" validate:"gte=1"`
	MaxOutput int `yaml:"maxOutput" validate:"gtefield=MinOutput"`
}

// rate returns the number of arrivals per second.
func (s *Stream) rate(p *Pool) float64 {
	output := float64(s.MinOutput+s.MaxOutput) / 2 * float64(p.fullStep())
	prefill := float64(s.PrefixTokens+s.TailTokens) * float64(p.PrefillTime)
	return s.Load * float64(p.Servers*p.Slots) * float64(time.Second) / (output + prefill)
}

// Fault makes servers fail for a time. It affects one server, one failure domain
// or, if neither is named, all servers.
type Fault struct {
	Server string        `yaml:"server"`
	Domain string        `yaml:"failureDomain"`
	From   time.Duration `yaml:"from" validate:"gte=0"`
	Until  time.Duration `yaml:"until" validate:"gtfield=From"`
	// EachNth makes every nth call fail. If it is 0, the servers are unreachable.
	EachNth int `yaml:"eachNth" validate:"gte=0"`
}

func (f *Fault) affects(s *server) bool {
	return (f.Server == "" || f.Server == s.name) && (f.Domain == "" || f.Domain == s.domain)
}

// ReadFile reads and validates a workload file and the base files it refers to.
func ReadFile(file string) (*Workload, error) {
	w, err := readBase(file)
	if err != nil {
		return nil, err
	}
	streams, faults := w.Streams, w.Faults
	w.Streams, w.Faults = nil, nil
	doc, err := setting.DecodeFile(file, w)
	if err != nil {
		return nil, err
	}
	w.Streams, w.Faults = append(streams, w.Streams...), append(faults, w.Faults...)
	if len(w.Streams) == 0 {
		return nil, doc.Errorf("streams", "at least one stream of arrivals is required")
	}
	for i := range w.Streams {
		if w.pool(w.Streams[i].Pool) == nil {
			return nil, doc.Errorf("streams", "no pool is named %q", w.Streams[i].Pool)
		}
		if len(w.shares(&w.Streams[i])) == 0 {
			return nil, doc.Errorf("workspaces", "no workspaces for the stream of kind %q", w.Streams[i].Kind)
		}
	}
	return w, nil
}

// readBase returns the workload named by the file's base key, or an empty one with
// the default policy.
func readBase(file string) (*Workload, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var header struct {
		Base string `yaml:"base"`
	}
	if err := yaml.Unmarshal(data, &header); err != nil {
		return nil, errors.Wrap(err, file)
	}
	if header.Base == "" {
		return &Workload{Policy: DefaultPolicy()}, nil
	}
	return ReadFile(filepath.Join(filepath.Dir(file), filepath.Base(header.Base)))
}

// shares returns each workspace's share of a stream's arrivals.
func (w *Workload) shares(s *Stream) map[string]float64 {
	if len(s.Workspaces) > 0 {
		return s.Workspaces
	}
	return w.Workspaces
}

func (w *Workload) pool(name string) *Pool {
	for i := range w.Pools {
		if w.Pools[i].Name == name {
			return &w.Pools[i]
		}
	}
	return nil
}
