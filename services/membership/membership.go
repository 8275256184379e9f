// Package membership fences the entry incarnations that died and were not
// replaced, so that their budget tokens can come back.
package membership

import (
	"context"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/lease"
	"github.com/crocusline/crocusline/models/membership"
	"github.com/crocusline/crocusline/modules/peer"
	"github.com/crocusline/crocusline/modules/platform"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
)

// Name is the service's name in the kernel.
const Name = "membership"

const (
	// DefaultListInterval is the time between two reads of the platform's list.
	DefaultListInterval = 30 * time.Second
	// probeInterval is the time between two probes of a suspect.
	probeInterval = 5 * time.Second
	// callTimeout bounds each call.
	callTimeout = 2 * time.Second
)

var (
	listsFailed = metrics.NewCounter("crocusline_membership_lists_failed_total")
	probes      = metrics.NewCounter("crocusline_membership_probes_total")
	unanswered  = metrics.NewCounter("crocusline_membership_probes_unanswered_total")
	fences      = metrics.NewCounter("crocusline_membership_fences_total")
)

// Lister reads the platform's list of instances.
type Lister interface {
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// Fleet is the process's copy of the fleet's state.
type Fleet interface {
	State() *fleet.State
	Publish(ctx context.Context, event fleet.Event) (fleet.Result, error)
}

// Watcher fences the members that are gone. Each suspect falls to one of the
// entries that are none. It is a kernel.Service.
type Watcher struct {
	self     fleet.Member
	lister   Lister
	fleet    Fleet
	http     *http.Client
	logger   hclog.Logger
	interval time.Duration
	suspects *membership.Suspects
	cancel   context.CancelFunc
	done     chan struct{}
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithListInterval sets the time between two reads of the platform's list.
func WithListInterval(d time.Duration) Option { return func(w *Watcher) { w.interval = d } }

// WithPatience sets how long a member that is not listed may leave probes
// unanswered.
func WithPatience(d time.Duration) Option {
	return func(w *Watcher) { w.suspects = membership.NewSuspects(d) }
}

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(w *Watcher) { w.logger = l.Named(Name) } }

// New returns the watcher of the process that self describes. client reaches
// peers.
func New(self fleet.Member, lister Lister, state Fleet, client *http.Client, opts ...Option) *Watcher {
	w := &Watcher{
		self:     self,
		lister:   lister,
		fleet:    state,
		http:     client,
		logger:   hclog.NewNullLogger(),
		interval: DefaultListInterval,
		suspects: membership.NewSuspects(membership.DefaultPatience),
		done:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Name implements kernel.Service.
func (w *Watcher) Name() string { return Name }

// Start implements kernel.Service.
func (w *Watcher) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, w.cancel = context.WithCancel(ctx)
	go w.serve(ctx)
	return nil
}

// Close implements kernel.Service.
func (w *Watcher) Close() error {
	if w.cancel == nil {
		return nil
	}
	w.cancel()
	<-w.done
	return nil
}

func (w *Watcher) serve(ctx context.Context) {
	defer close(w.done)
	lists, checks := time.NewTicker(w.interval), time.NewTicker(probeInterval)
	defer lists.Stop()
	defer checks.Stop()
	for {
		select {
		case <-lists.C:
			w.list(ctx)
		case <-checks.C:
			w.check(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// list reads the platform's list. By one that does not name this process itself
// it is a suspect, and judges nobody.
func (w *Watcher) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	instances, err := w.lister.Instances(ctx)
	if err != nil {
		listsFailed.Inc()
		return
	}
	named := map[string]bool{}
	for _, i := range instances {
		named[i.Name] = true
	}
	var unnamed []string
	for incarnation, m := range w.fleet.State().Members {
		if m.Role == fleet.Entry && !named[m.Name] {
			unnamed = append(unnamed, incarnation)
		}
	}
	w.suspects.Listed(unnamed)
}

// check probes the suspects that fall to this process.
func (w *Watcher) check(ctx context.Context) {
	state := w.fleet.State()
	suspects := w.suspects.Probes()
	judges := judges(state, suspects)
	for _, incarnation := range suspects {
		member, known := state.Members[incarnation]
		if !known || lease.First(incarnation, judges) != w.self.Incarnation {
			continue
		}
		if w.answers(ctx, member) {
			w.suspects.Answered(incarnation)
			continue
		}
		unanswered.Inc()
		if ctx.Err() == nil && w.suspects.Unanswered(time.Now(), incarnation) {
			w.fence(ctx, incarnation)
		}
	}
}

// judges returns the entries that are not suspects.
func judges(state *fleet.State, suspects []string) []string {
	suspected := map[string]bool{}
	for _, s := range suspects {
		suspected[s] = true
	}
	var names []string
	for incarnation, m := range state.Members {
		if m.Role == fleet.Entry && !suspected[incarnation] {
			names = append(names, incarnation)
		}
	}
	return names
}

// answers says whether a process answers at the member's address.
func (w *Watcher) answers(ctx context.Context, m fleet.Member) bool {
	probes.Inc()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	tables := peerv1connect.NewTableServiceClient(w.http, peer.URL(m.Address))
	// A peer that holds no more than this answers without the state.
	req := &peerv1.CurrentRequest{Next: math.MaxInt64}
	_, err := tables.Current(ctx, connect.NewRequest(req))
	return err == nil || connect.IsWireError(err)
}

func (w *Watcher) fence(ctx context.Context, incarnation string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := w.fleet.Publish(ctx, fleet.Fence{Incarnation: incarnation, By: w.self.Incarnation})
	if err != nil {
		w.logger.Warn("fence not published", "incarnation", incarnation, "error", err)
		return
	}
	if _, applied := result.(fleet.Applied); applied {
		fences.Inc()
		w.logger.Warn("entry fenced", "incarnation", incarnation)
	}
}
