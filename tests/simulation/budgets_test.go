package simulation

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/crocusline/crocusline/models/ledger"
	client "github.com/crocusline/crocusline/services/ledger"
)

const (
	domains       = 3
	domainEntries = 2
	// runTime is the length of the workload, of which a failure domain is cut
	// from the log from cutBegin to cutEnd.
	runTime  = 20 * time.Minute
	cutBegin = 5 * time.Minute
	cutEnd   = 15 * time.Minute
	// firstTopUp and laterTopUp are the demand that a top-up covers, topUpEvery
	// the time between two. The sum covers a little less than the demand.
	firstTopUp = 8 * time.Minute
	laterTopUp = 150 * time.Second
	topUpEvery = 4 * time.Minute
	// meanBill is the mean of a request's bill in tokens.
	meanBill = 210
)

// payer is one workspace in the workload.
type payer struct {
	name string
	// rate is the number of requests a second in each failure domain.
	rate [domains]float64
}

func (p payer) total() (sum float64) {
	for _, rate := range p.rate {
		sum += rate
	}
	return sum
}

// deployment is a workload on budgets.
type deployment struct {
	name   string
	payers []payer
}

// deployments are the two of today, and one budget drawn on from everywhere.
func deployments() []deployment {
	frost := deployment{name: "tropicFrost", payers: []payer{
		{name: "cairnsHub", rate: [domains]float64{1.5, 0.3, 0.2}},
		{name: "townsvilleHub", rate: [domains]float64{0.2, 1.5, 0.3}},
	}}
	for i := range 8 {
		p := payer{name: fmt.Sprint("store", i)}
		p.rate[i%domains] = 0.15
		p.rate[(i+1)%domains] = 0.02
		frost.payers = append(frost.payers, p)
	}
	kolplat := deployment{name: "kolplat", payers: []payer{
		{name: "zilina", rate: [domains]float64{0.9, 0.1, 0.1}},
		{name: "trnava", rate: [domains]float64{0.1, 0.9, 0.1}},
		{name: "kosice", rate: [domains]float64{0.1, 0.1, 0.9}},
	}}
	for i := range 7 {
		p := payer{name: fmt.Sprint("insurer", i), rate: [domains]float64{0.05, 0.05, 0.05}}
		kolplat.payers = append(kolplat.payers, p)
	}
	everywhere := deployment{name: "oneBudget", payers: []payer{
		{name: "shared", rate: [domains]float64{1.5, 1, 0.5}},
	}}
	return []deployment{frost, kolplat, everywhere}
}

// scheme is a budget policy. Its calls name the entry.
type scheme interface {
	topUp(id, workspace string, tokens int64)
	reserve(entry int, workspace string, tokens int64) (ledger.Hold, bool)
	settle(entry int, workspace, id string, hold ledger.Hold, bill int64)
	setCut(domain int, cut bool)
}

// purse is what really happened to one workspace's budget.
type purse struct{ topped, settled, held, owed int64 }

// score counts refusals.
type score struct {
	requests, refused           int
	falseInCut, falseOutside    int
	holdExcess, overspent       int
	falseCutSide, falseFreeSide int
	unspent                     int64
	appends                     int
}

func (s score) falseRefusals() int { return s.falseInCut + s.falseOutside }

// trial is one policy on one workload.
type trial struct {
	*world
	scheme scheme
	begin  time.Time

	lock   sync.Mutex
	purses map[string]*purse
	score  score
}

func (t *trial) inCut() bool {
	passed := time.Since(t.begin)
	return passed >= cutBegin && passed < cutEnd
}

func (t *trial) run(d deployment) {
	t.begin = time.Now()
	for _, p := range d.payers {
		t.purses[p.name] = &purse{}
	}
	for _, p := range d.payers {
		t.tasks.Go(func() { t.fund(p) })
		for domain, rate := range p.rate {
			if rate > 0 {
				t.tasks.Go(func() { t.callers(p, domain, rate) })
			}
		}
	}
	t.tasks.Go(func() {
		sleep(t.ctx, cutBegin)
		t.scheme.setCut(0, true)
		sleep(t.ctx, cutEnd-cutBegin)
		t.scheme.setCut(0, false)
	})
	sleep(t.ctx, runTime+time.Minute)
}

// fund tops a budget up at the start and in steps afterwards.
func (t *trial) fund(p payer) {
	for i := 0; time.Since(t.begin) < runTime; i++ {
		covers := laterTopUp
		if i == 0 {
			covers = firstTopUp
		}
		tokens := int64(p.total() * covers.Seconds() * meanBill)
		t.lock.Lock()
		t.purses[p.name].topped += tokens
		t.lock.Unlock()
		t.scheme.topUp(fmt.Sprint("invoice", i), p.name, tokens)
		sleep(t.ctx, topUpEvery)
	}
}

func (t *trial) callers(p payer, domain int, rate float64) {
	source := t.start(fmt.Sprint("caller-", p.name, domain))
	mean := time.Duration(float64(time.Second) / rate)
	for i := 0; time.Since(t.begin) < runTime; i++ {
		sleep(t.ctx, source.between("at", 0, 2*mean))
		entry := domain*domainEntries + source.draw("entry", domainEntries)
		hold := int64(100 + source.draw("hold", 500))
		bill := hold*int64(20+source.draw("bill", 81))/100 + 1
		length := source.between("length", 200*time.Millisecond, 3*time.Second)
		id := fmt.Sprintf("%s-%d-%d", p.name, domain, i)
		t.tasks.Go(func() { t.request(p.name, id, entry, hold, min(bill, hold), length) })
	}
}

func (t *trial) request(workspace, id string, entry int, tokens, bill int64, length time.Duration) {
	hold, ok := t.scheme.reserve(entry, workspace, tokens)
	t.lock.Lock()
	purse := t.purses[workspace]
	t.score.requests++
	if !ok {
		t.refuse(purse, entry, tokens, bill)
		t.lock.Unlock()
		return
	}
	purse.held += tokens
	purse.owed += bill
	if purse.settled+purse.held > purse.topped {
		t.score.overspent++
	}
	t.lock.Unlock()
	sleep(t.ctx, length)
	t.lock.Lock()
	purse.held -= tokens
	purse.owed -= bill
	purse.settled += bill
	t.lock.Unlock()
	t.scheme.settle(entry, workspace, id, hold, bill)
}

// refuse counts a refusal. The caller holds lock.
func (t *trial) refuse(p *purse, entry int, tokens, bill int64) {
	t.score.refused++
	if p.topped-p.settled-p.held < tokens {
		if p.topped-p.settled-p.owed >= bill {
			t.score.holdExcess++
		}
		return
	}
	switch {
	case !t.inCut():
		t.score.falseOutside++
		return
	case entry < domainEntries:
		t.score.falseCutSide++
	default:
		t.score.falseFreeSide++
	}
	t.score.falseInCut++
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

var policies = []string{"singleOwner", "staticSplit", "adaptive"}

func tryPolicy(t *testing.T, d deployment, policy string) (result score) {
	synctest.Test(t, func(t *testing.T) {
		w := emptyWorld(t, 7)
		tr := &trial{world: w, purses: map[string]*purse{}}
		switch policy {
		case "singleOwner":
			tr.scheme = &central{free: map[string]int64{}, cut: map[int]bool{}}
		case "staticSplit":
			tr.scheme = newSplit()
		default:
			tr.scheme = newEscrowed(w, adaptiveOptions)
		}
		tr.run(d)
		for _, p := range tr.purses {
			tr.score.unspent += p.topped - p.settled
		}
		tr.score.appends = w.log.Appends()
		result = tr.score
		if policy == "adaptive" {
			for i := range shards {
				if _, err := newChecker().check(w.log, ledger.StreamOf(i)); err != nil {
					t.Error(err)
				}
			}
		}
		w.stop()
	})
	return result
}

func TestBudgetPolicies(t *testing.T) {
	var table strings.Builder
	out := tabwriter.NewWriter(&table, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(out, "deployment\tpolicy\trequests\trefused\toverspent\tfalse\tin cut\tcut side\tother side\toutside\thold excess\tunspent\tappends\t")
	for _, d := range deployments() {
		scores := map[string]score{}
		for _, policy := range policies {
			s := tryPolicy(t, d, policy)
			scores[policy] = s
			_, _ = fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", d.name, policy, s.requests, s.refused, s.overspent,
				s.falseRefusals(), s.falseInCut, s.falseCutSide, s.falseFreeSide, s.falseOutside, s.holdExcess, s.unspent, s.appends)
			if s.overspent != 0 {
				t.Errorf("%s, %s: overspent %d times", d.name, policy, s.overspent)
			}
		}
		for _, policy := range policies {
			if got, limit := scores["adaptive"].falseRefusals(), scores[policy].falseRefusals(); got > limit {
				t.Errorf("%s: %d false refusals, %s has %d", d.name, got, policy, limit)
			}
		}
	}
	_ = out.Flush()
	if testing.Verbose() {
		_, _ = fmt.Fprint(os.Stdout, table.String())
	}
}

func adaptiveOptions(entry int) []client.Option {
	domain := fmt.Sprintf("domain%d-", entry/domainEntries)
	return []client.Option{client.WithNeighbours(func(incarnation string) bool {
		return strings.HasPrefix(incarnation, domain)
	})}
}
