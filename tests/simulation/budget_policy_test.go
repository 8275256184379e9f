package simulation

import (
	"fmt"
	"strings"
	"sync"

	"github.com/crocusline/crocusline/models/ledger"
	client "github.com/crocusline/crocusline/services/ledger"
)

// budgetPolicy is a policy for sharing workspaces' budgets among entries, which are
// identified by their index.
type budgetPolicy interface {
	topUp(id, workspace string, tokens int64)
	reserve(entry int, workspace string, tokens int64) (ledger.Hold, bool)
	settle(entry int, workspace, id string, hold ledger.Hold, bill int64)
	setPartitioned(domain int, partitioned bool)
}

// singleOwner has one owner that decides on each hold immediately. Entries in a
// partitioned failure domain cannot reach it.
type singleOwner struct {
	mu          sync.Mutex
	free        map[string]int64
	partitioned map[int]bool
}

func (c *singleOwner) topUp(_, workspace string, tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free[workspace] += tokens
}

func (c *singleOwner) reserve(entry int, workspace string, tokens int64) (ledger.Hold, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned[entry/entriesPerDomain] || c.free[workspace] < tokens {
		return ledger.Hold{}, false
	}
	c.free[workspace] -= tokens
	return ledger.Hold{Tokens: tokens}, true
}

func (c *singleOwner) settle(_ int, workspace, _ string, hold ledger.Hold, bill int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free[workspace] += hold.Tokens - bill
}

func (c *singleOwner) setPartitioned(domain int, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[domain] = partitioned
}

// staticSplit gives each entry an equal, fixed share of each top-up.
type staticSplit struct {
	mu          sync.Mutex
	free        [domains * entriesPerDomain]map[string]int64
	partitioned map[int]bool
	// deferredTopUps are top-ups during a partition, applied at its end.
	deferredTopUps [domains * entriesPerDomain]map[string]int64
}

func newStaticSplit() *staticSplit {
	s := &staticSplit{partitioned: map[int]bool{}}
	for i := range s.free {
		s.free[i], s.deferredTopUps[i] = map[string]int64{}, map[string]int64{}
	}
	return s
}

func (s *staticSplit) topUp(_, workspace string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.free {
		if s.partitioned[i/entriesPerDomain] {
			s.deferredTopUps[i][workspace] += tokens / int64(len(s.free))
			continue
		}
		s.free[i][workspace] += tokens / int64(len(s.free))
	}
}

func (s *staticSplit) reserve(entry int, workspace string, tokens int64) (ledger.Hold, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free[entry][workspace] < tokens {
		return ledger.Hold{}, false
	}
	s.free[entry][workspace] -= tokens
	return ledger.Hold{Tokens: tokens}, true
}

func (s *staticSplit) settle(entry int, workspace, _ string, hold ledger.Hold, bill int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free[entry][workspace] += hold.Tokens - bill
}

func (s *staticSplit) setPartitioned(domain int, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[domain] = partitioned
	for i := range s.deferredTopUps {
		for workspace, tokens := range s.deferredTopUps[i] {
			s.free[i][workspace] += tokens
		}
		s.deferredTopUps[i] = map[string]int64{}
	}
}

// adaptive is the policy that crocusline implements, with a ledger client at each
// entry.
type adaptive struct {
	env            *environment
	entries        []*process
	clients        []*client.Client
	operator       *process
	operatorClient *client.Client
}

func newAdaptive(env *environment, opts func(entry int) []client.Option) *adaptive {
	e := &adaptive{env: env, operator: env.newProcess("operator")}
	e.operatorClient = env.startClient(e.operator)
	for i := range domains * entriesPerDomain {
		p := env.newProcess(fmt.Sprintf("domain%d-entry%d", i/entriesPerDomain, i))
		e.entries = append(e.entries, p)
		e.clients = append(e.clients, env.startClient(p, opts(i)...))
	}
	return e
}

func (e *adaptive) topUp(id, workspace string, tokens int64) {
	entry := ledger.TopUp{ID: id, Workspace: workspace, Tokens: tokens}
	post(e.operator, e.operatorClient, e.operatorClient.ShardOf(workspace), entry)
}

func (e *adaptive) reserve(entry int, workspace string, tokens int64) (ledger.Hold, bool) {
	hold, err := e.clients[entry].Reserve(e.env.ctx, workspace, tokens)
	return hold, err == nil
}

func (e *adaptive) settle(entry int, workspace, id string, hold ledger.Hold, bill int64) {
	post(e.entries[entry], e.clients[entry], hold.Shard,
		ledger.Bill{RequestID: id, Workspace: workspace, Hold: hold, Tokens: bill})
}

func (e *adaptive) setPartitioned(domain int, partitioned bool) {
	for i, p := range e.entries {
		if i/entriesPerDomain == domain {
			p.update(func() { p.disconnected = partitioned })
		}
	}
}

// sameDomainReserve makes an entry keep a standing reserve of the budgets used in
// its failure domain.
func sameDomainReserve(entry int) []client.Option {
	domain := fmt.Sprintf("domain%d-", entry/entriesPerDomain)
	return []client.Option{client.WithStandingReserve(func(incarnation string) bool {
		return strings.HasPrefix(incarnation, domain)
	})}
}
