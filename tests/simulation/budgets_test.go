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
				if _, err := newChecker().check(w.log, ledger.StreamName(i)); err != nil {
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
