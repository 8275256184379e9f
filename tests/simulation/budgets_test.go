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
	domains          = 3
	entriesPerDomain = 2
	// runTime is the length of the workload. From partitionBegin to partitionEnd, one
	// failure domain is disconnected from the log.
	runTime        = 20 * time.Minute
	partitionBegin = 5 * time.Minute
	partitionEnd   = 15 * time.Minute
	// firstTopUp and laterTopUp are the periods whose demand a top-up covers. The sum
	// of the top-ups is a little less than the total demand.
	firstTopUp    = 8 * time.Minute
	laterTopUp    = 150 * time.Second
	topUpInterval = 4 * time.Minute
	// meanBill is the mean bill of a request in tokens.
	meanBill = 210
)

// workspaceLoad is the load of one workspace.
type workspaceLoad struct {
	name string
	// rate is the number of requests per second in each failure domain.
	rate [domains]float64
}

func (load workspaceLoad) total() (sum float64) {
	for _, rate := range load.rate {
		sum += rate
	}
	return sum
}

// deployment is a workload with several budgets.
type deployment struct {
	name       string
	workspaces []workspaceLoad
}

// deployments returns workloads like those of the two existing deployments, and one
// with a single budget that is used in all failure domains.
func deployments() []deployment {
	frost := deployment{name: "tropicFrost", workspaces: []workspaceLoad{
		{name: "cairnsHub", rate: [domains]float64{1.5, 0.3, 0.2}},
		{name: "townsvilleHub", rate: [domains]float64{0.2, 1.5, 0.3}},
	}}
	for i := range 8 {
		load := workspaceLoad{name: fmt.Sprint("store", i)}
		load.rate[i%domains] = 0.15
		load.rate[(i+1)%domains] = 0.02
		frost.workspaces = append(frost.workspaces, load)
	}
	kolplat := deployment{name: "kolplat", workspaces: []workspaceLoad{
		{name: "zilina", rate: [domains]float64{0.9, 0.1, 0.1}},
		{name: "trnava", rate: [domains]float64{0.1, 0.9, 0.1}},
		{name: "kosice", rate: [domains]float64{0.1, 0.1, 0.9}},
	}}
	for i := range 7 {
		load := workspaceLoad{name: fmt.Sprint("insurer", i), rate: [domains]float64{0.05, 0.05, 0.05}}
		kolplat.workspaces = append(kolplat.workspaces, load)
	}
	singleBudget := deployment{name: "oneBudget", workspaces: []workspaceLoad{
		{name: "shared", rate: [domains]float64{1.5, 1, 0.5}},
	}}
	return []deployment{frost, kolplat, singleBudget}
}

// budgetRecord is the actual state of a workspace's budget: tokens topped up,
// settled, held by running requests, and to be billed for running requests.
type budgetRecord struct{ toppedUp, settled, held, billsDue int64 }

// refusalCounts counts requests and refusals. A refusal is false if the budget
// covered the hold. holdExcess counts refusals where the budget covered the
// request's bill, but not its larger hold.
type refusalCounts struct {
	requests, refused                        int
	falseInPartition, falseOutsidePartition  int
	holdExcess, overspent                    int
	falsePartitionedSide, falseConnectedSide int
	unspent                                  int64
	appends                                  int
}

func (c refusalCounts) falseRefusals() int { return c.falseInPartition + c.falseOutsidePartition }

// policyRun runs one budget policy on one workload.
type policyRun struct {
	*environment
	policy budgetPolicy
	begin  time.Time

	lock    sync.Mutex
	budgets map[string]*budgetRecord
	counts  refusalCounts
}

func (r *policyRun) inPartition() bool {
	passed := time.Since(r.begin)
	return passed >= partitionBegin && passed < partitionEnd
}

func (r *policyRun) run(d deployment) {
	r.begin = time.Now()
	for _, load := range d.workspaces {
		r.budgets[load.name] = &budgetRecord{}
	}
	for _, load := range d.workspaces {
		r.tasks.Go(func() { r.topUpPeriodically(load) })
		for domain, rate := range load.rate {
			if rate > 0 {
				r.tasks.Go(func() { r.generateRequests(load, domain, rate) })
			}
		}
	}
	r.tasks.Go(func() {
		sleep(r.ctx, partitionBegin)
		r.policy.setPartitioned(0, true)
		sleep(r.ctx, partitionEnd-partitionBegin)
		r.policy.setPartitioned(0, false)
	})
	sleep(r.ctx, runTime+time.Minute)
}

// topUpPeriodically tops up a budget at the start and then at regular intervals.
func (r *policyRun) topUpPeriodically(load workspaceLoad) {
	for i := 0; time.Since(r.begin) < runTime; i++ {
		covers := laterTopUp
		if i == 0 {
			covers = firstTopUp
		}
		tokens := int64(load.total() * covers.Seconds() * meanBill)
		r.lock.Lock()
		r.budgets[load.name].toppedUp += tokens
		r.lock.Unlock()
		r.policy.topUp(fmt.Sprint("invoice", i), load.name, tokens)
		sleep(r.ctx, topUpInterval)
	}
}

func (r *policyRun) generateRequests(load workspaceLoad, domain int, rate float64) {
	source := r.newProcess(fmt.Sprint("caller-", load.name, domain))
	mean := time.Duration(float64(time.Second) / rate)
	for i := 0; time.Since(r.begin) < runTime; i++ {
		sleep(r.ctx, source.drawDuration("at", 0, 2*mean))
		entry := domain*entriesPerDomain + source.drawInt("entry", entriesPerDomain)
		hold := int64(100 + source.drawInt("hold", 500))
		bill := hold*int64(20+source.drawInt("bill", 81))/100 + 1
		length := source.drawDuration("length", 200*time.Millisecond, 3*time.Second)
		id := fmt.Sprintf("%s-%d-%d", load.name, domain, i)
		r.tasks.Go(func() { r.runRequest(load.name, id, entry, hold, min(bill, hold), length) })
	}
}

func (r *policyRun) runRequest(workspace, id string, entry int, tokens, bill int64, length time.Duration) {
	hold, ok := r.policy.reserve(entry, workspace, tokens)
	r.lock.Lock()
	budget := r.budgets[workspace]
	r.counts.requests++
	if !ok {
		r.recordRefusal(budget, entry, tokens, bill)
		r.lock.Unlock()
		return
	}
	budget.held += tokens
	budget.billsDue += bill
	if budget.settled+budget.held > budget.toppedUp {
		r.counts.overspent++
	}
	r.lock.Unlock()
	sleep(r.ctx, length)
	r.lock.Lock()
	budget.held -= tokens
	budget.billsDue -= bill
	budget.settled += bill
	r.lock.Unlock()
	r.policy.settle(entry, workspace, id, hold, bill)
}

// recordRefusal counts and classifies a refusal. The caller must hold lock.
func (r *policyRun) recordRefusal(budget *budgetRecord, entry int, tokens, bill int64) {
	r.counts.refused++
	if budget.toppedUp-budget.settled-budget.held < tokens {
		if budget.toppedUp-budget.settled-budget.billsDue >= bill {
			r.counts.holdExcess++
		}
		return
	}
	switch {
	case !r.inPartition():
		r.counts.falseOutsidePartition++
		return
	case entry < entriesPerDomain:
		r.counts.falsePartitionedSide++
	default:
		r.counts.falseConnectedSide++
	}
	r.counts.falseInPartition++
}

var policies = []string{"singleOwner", "staticSplit", "adaptive"}

func runPolicy(t *testing.T, d deployment, policy string) (result refusalCounts) {
	synctest.Test(t, func(t *testing.T) {
		env := newEmptyEnvironment(t, 7)
		r := &policyRun{environment: env, budgets: map[string]*budgetRecord{}}
		switch policy {
		case "singleOwner":
			r.policy = &singleOwner{free: map[string]int64{}, partitioned: map[int]bool{}}
		case "staticSplit":
			r.policy = newStaticSplit()
		default:
			r.policy = newAdaptive(env, sameDomainReserve)
		}
		r.run(d)
		for _, budget := range r.budgets {
			r.counts.unspent += budget.toppedUp - budget.settled
		}
		r.counts.appends = env.log.Appends()
		result = r.counts
		if policy == "adaptive" {
			for i := range shards {
				if _, err := newChecker().checkStream(env.log, ledger.StreamName(i)); err != nil {
					t.Error(err)
				}
			}
		}
		env.shutDown()
	})
	return result
}

func TestBudgetPolicies(t *testing.T) {
	var table strings.Builder
	out := tabwriter.NewWriter(&table, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(out, "deployment\tpolicy\trequests\trefused\toverspent\tfalse\tin cut\tcut side\tother side\toutside\thold excess\tunspent\tappends\t")
	for _, d := range deployments() {
		counts := map[string]refusalCounts{}
		for _, policy := range policies {
			c := runPolicy(t, d, policy)
			counts[policy] = c
			_, _ = fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", d.name, policy, c.requests, c.refused, c.overspent,
				c.falseRefusals(), c.falseInPartition, c.falsePartitionedSide, c.falseConnectedSide, c.falseOutsidePartition, c.holdExcess, c.unspent, c.appends)
			if c.overspent != 0 {
				t.Errorf("%s, %s: overspent %d times", d.name, policy, c.overspent)
			}
		}
		for _, policy := range policies {
			if got, limit := counts["adaptive"].falseRefusals(), counts[policy].falseRefusals(); got > limit {
				t.Errorf("%s: %d false refusals, %s has %d", d.name, got, policy, limit)
			}
		}
	}
	_ = out.Flush()
	if testing.Verbose() {
		_, _ = fmt.Fprint(os.Stdout, table.String())
	}
}
