// Package load runs a workload in virtual time against the decision code of
// entries and sidecars, with small fakes of the engines behind it, and measures
// what callers get.
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

// Workload is what a run plays: servers, arrivals and faults. The same workload
// gives the same run.
type Workload struct {
	// Base names a workload in the same directory. What it holds applies unless
	// this one changes it; streams and faults of both are played.
	Base string `yaml:"base"`
	Name string `yaml:"name" validate:"required"`
	Seed uint64 `yaml:"seed"`
	// Duration is how long requests arrive. Measures leave out WarmUp.
	Duration time.Duration `yaml:"duration" validate:"gt=0"`
	WarmUp   time.Duration `yaml:"warmUp" validate:"gte=0"`
	Entries  int           `yaml:"entries" validate:"gte=1"`
	// Domains are the failure domains that entries and servers are spread over.
	Domains []string `yaml:"failureDomains" validate:"min=1"`
	// Hop is the time from one process to the next.
	Hop time.Duration `yaml:"hop" validate:"gte=0"`
	// Detect is the time until an entry notices that a server is lost.
	Detect time.Duration `yaml:"detect" validate:"gte=0"`
	Policy Policy        `yaml:"policy"`
	// Workspaces are the callers of the streams that name none, with their shares
	// of the arrivals.
	Workspaces map[string]float64 `yaml:"workspaces"`
	Pools      []Pool             `yaml:"pools" validate:"min=1,dive"`
	Streams    []Stream           `yaml:"streams" validate:"dive"`
	Faults     []Fault            `yaml:"faults" validate:"dive"`
}

// Policy selects the decisions under test and the baselines for them.
type Policy struct {
	Placement placement.Policy `yaml:"placement"`
	Order     queue.Order      `yaml:"order"`
	// Prediction refuses at once what would miss its deadline.
	Prediction bool `yaml:"prediction"`
	// Preemption lets urgent work displace the rest.
	Preemption bool `yaml:"preemption"`
	// Gate limits floods at the entry.
	Gate bool `yaml:"gate"`
	// RetryBudget limits retries to a share of the successes.
	RetryBudget bool    `yaml:"retryBudget"`
	NormalFloor float64 `yaml:"normalFloor" validate:"gte=0,lte=0.5"`
	BulkFloor   float64 `yaml:"bulkFloor" validate:"gte=0,lte=0.4"`
}

// DefaultPolicy is what crocusline does unless settings say otherwise.
func DefaultPolicy() Policy {
	return Policy{
		Prediction: true, Preemption: true, Gate: true, RetryBudget: true,
		NormalFloor: 0.2, BulkFloor: 0.05,
	}
}

// Pool is a group of equal servers. A plain service is a pool whose calls take
// one step and give one token.
type Pool struct {
	Name    string `yaml:"name" validate:"required"`
	Servers int    `yaml:"servers" validate:"gte=1"`
	Slots   int    `yaml:"slots" validate:"gte=1"`
	// Step is the time between two tokens of a lone stream, and StepPerStream
	// what each running stream adds to it.
	Step          time.Duration `yaml:"step" validate:"gt=0"`
	StepPerStream time.Duration `yaml:"stepPerStream" validate:"gte=0"`
	// PrefillStep is how many prompt tokens one step reads at most, and
	// PrefillTime what each of them adds to the step.
	PrefillStep int           `yaml:"prefillStep" validate:"gte=0"`
	PrefillTime time.Duration `yaml:"prefillTime" validate:"gte=0"`
	// CacheTokens bounds the prefix cache.
	CacheTokens int `yaml:"cacheTokens" validate:"gte=0"`
	// LoadLag is how much later than an answer the load it carries is known.
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
	// Load is the mean arrival rate as a multiple of what the pool's servers
	// finish without a prefix cache.
	Load float64 `yaml:"load" validate:"gt=0"`
	// Workspaces are the callers with their shares of the arrivals.
	Workspaces map[string]float64 `yaml:"workspaces"`
	From       time.Duration      `yaml:"from" validate:"gte=0"`
	Until      time.Duration      `yaml:"until" validate:"gte=0"`
	Deadline   time.Duration      `yaml:"deadline" validate:"gte=0"`
	// Returns is how often a refused caller comes back at the time it is told.
	Returns int `yaml:"returns" validate:"gte=0"`
	// Prefixes are shared beginnings of prompts, each PrefixTokens long, the
	// first the most frequent. Each prompt goes on with TailTokens of its own.
	Prefixes     int `yaml:"prefixes" validate:"gte=0"`
	PrefixTokens int `yaml:"prefixTokens" validate:"gte=0"`
	TailTokens   int `yaml:"tailTokens" validate:"gte=0"`
	// MinOutput and MaxOutput bound the lengths of the answers.
	MinOutput int `yaml:"minOutput" validate:"gte=1"`
	MaxOutput int `yaml:"maxOutput" validate:"gtefield=MinOutput"`
}

// rate is the number of arrivals a second.
func (s *Stream) rate(p *Pool) float64 {
	output := float64(s.MinOutput+s.MaxOutput) / 2 * float64(p.fullStep())
	prefill := float64(s.PrefixTokens+s.TailTokens) * float64(p.PrefillTime)
	return s.Load * float64(p.Servers*p.Slots) * float64(time.Second) / (output + prefill)
}

// Fault disturbs servers for a time. It hits one server, one failure domain or,
// with neither named, all.
type Fault struct {
	Server string        `yaml:"server"`
	Domain string        `yaml:"failureDomain"`
	From   time.Duration `yaml:"from" validate:"gte=0"`
	Until  time.Duration `yaml:"until" validate:"gtfield=From"`
	// EachNth lets each nth call fail. 0 takes the servers away altogether.
	EachNth int `yaml:"eachNth" validate:"gte=0"`
}

func (f *Fault) hits(s *server) bool {
	return (f.Server == "" || f.Server == s.name) && (f.Domain == "" || f.Domain == s.domain)
}

// ReadFile reads and checks a workload.
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
		return nil, doc.Errorf("streams", "want at least one stream of arrivals")
	}
	for i := range w.Streams {
		if w.pool(w.Streams[i].Pool) == nil {
			return nil, doc.Errorf("streams", "no pool is named %q", w.Streams[i].Pool)
		}
		if len(w.shares(&w.Streams[i])) == 0 {
			return nil, doc.Errorf("workspaces", "name the callers of %q", w.Streams[i].Kind)
		}
	}
	return w, nil
}

// readBase returns the workload that the file builds on.
func readBase(file string) (*Workload, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var named struct {
		Base string `yaml:"base"`
	}
	if err := yaml.Unmarshal(data, &named); err != nil {
		return nil, errors.Wrap(err, file)
	}
	if named.Base == "" {
		return &Workload{Policy: DefaultPolicy()}, nil
	}
	return ReadFile(filepath.Join(filepath.Dir(file), filepath.Base(named.Base)))
}

// shares are the callers of a stream.
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
