package simulation

import (
	"fmt"
	"strings"
	"sync"

	"github.com/crocusline/crocusline/models/ledger"
	client "github.com/crocusline/crocusline/services/ledger"
)

// scheme is a budget policy. Its calls name the entry.
type scheme interface {
	topUp(id, workspace string, tokens int64)
	reserve(entry int, workspace string, tokens int64) (ledger.Hold, bool)
	settle(entry int, workspace, id string, hold ledger.Hold, bill int64)
	setCut(domain int, cut bool)
}

// central is one owner that decides on each hold at once, on the uncut side.
type central struct {
	mu   sync.Mutex
	free map[string]int64
	cut  map[int]bool
}

func (c *central) topUp(_, workspace string, tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free[workspace] += tokens
}

func (c *central) reserve(entry int, workspace string, tokens int64) (ledger.Hold, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[entry/domainEntries] || c.free[workspace] < tokens {
		return ledger.Hold{}, false
	}
	c.free[workspace] -= tokens
	return ledger.Hold{Tokens: tokens}, true
}

func (c *central) settle(_ int, workspace, _ string, hold ledger.Hold, bill int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free[workspace] += hold.Tokens - bill
}

func (c *central) setCut(domain int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[domain] = cut
}

// split gives each entry the same part of each top-up, for good.
type split struct {
	mu    sync.Mutex
	free  [domains * domainEntries]map[string]int64
	cut   map[int]bool
	later [domains * domainEntries]map[string]int64
}

func newSplit() *split {
	s := &split{cut: map[int]bool{}}
	for i := range s.free {
		s.free[i], s.later[i] = map[string]int64{}, map[string]int64{}
	}
	return s
}

func (s *split) topUp(_, workspace string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.free {
		if s.cut[i/domainEntries] {
			s.later[i][workspace] += tokens / int64(len(s.free))
			continue
		}
		s.free[i][workspace] += tokens / int64(len(s.free))
	}
}

func (s *split) reserve(entry int, workspace string, tokens int64) (ledger.Hold, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free[entry][workspace] < tokens {
		return ledger.Hold{}, false
	}
	s.free[entry][workspace] -= tokens
	return ledger.Hold{Tokens: tokens}, true
}

func (s *split) settle(entry int, workspace, _ string, hold ledger.Hold, bill int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free[entry][workspace] += hold.Tokens - bill
}

func (s *split) setCut(domain int, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[domain] = cut
	for i := range s.later {
		for workspace, tokens := range s.later[i] {
			s.free[i][workspace] += tokens
		}
		s.later[i] = map[string]int64{}
	}
}

// escrowed is the policy of the product: the ledger's client at each entry.
type escrowed struct {
	world    *world
	entries  []*process
	clients  []*client.Client
	operator *process
	ops      *client.Client
}

func newEscrowed(w *world, opts func(entry int) []client.Option) *escrowed {
	e := &escrowed{world: w, operator: w.start("operator")}
	e.ops = w.client(e.operator)
	for i := range domains * domainEntries {
		p := w.start(fmt.Sprintf("domain%d-entry%d", i/domainEntries, i))
		e.entries = append(e.entries, p)
		e.clients = append(e.clients, w.client(p, opts(i)...))
	}
	return e
}

func (e *escrowed) topUp(id, workspace string, tokens int64) {
	entry := ledger.TopUp{ID: id, Workspace: workspace, Tokens: tokens}
	post(e.operator, e.ops, e.ops.ShardOf(workspace), entry)
}

func (e *escrowed) reserve(entry int, workspace string, tokens int64) (ledger.Hold, bool) {
	hold, err := e.clients[entry].Reserve(e.world.ctx, workspace, tokens)
	return hold, err == nil
}

func (e *escrowed) settle(entry int, workspace, id string, hold ledger.Hold, bill int64) {
	post(e.entries[entry], e.clients[entry], hold.Shard,
		ledger.Bill{RequestID: id, Workspace: workspace, Hold: hold, Tokens: bill})
}

func (e *escrowed) setCut(domain int, cut bool) {
	for i, p := range e.entries {
		if i/domainEntries == domain {
			p.set(func() { p.cut = cut })
		}
	}
}

// adaptiveOptions makes the entries of one failure domain neighbours.
func adaptiveOptions(entry int) []client.Option {
	domain := fmt.Sprintf("domain%d-", entry/domainEntries)
	return []client.Option{client.WithStandingReserve(func(incarnation string) bool {
		return strings.HasPrefix(incarnation, domain)
	})}
}
